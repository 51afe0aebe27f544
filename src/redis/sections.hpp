// The sections of the operator's file for the store of counts, and the store that they describe.
#pragma once

#include "config/schema.hpp"
#include "store/count_store.hpp"

namespace docklift::redis {

Section store_section();  // [store]: which one
Section redis_section();  // [redis]: where and how

// None where the file keeps to the platform's counter, which is at `counter`. Throws std::runtime_error, naming the key, if
// the password's file can't be read.
snowknot::StoreFactory store_factory(const Config& config, std::uint64_t seed,
                                     const std::optional<snowknot::Tcp::endpoint>& counter);

}  // namespace docklift::redis
