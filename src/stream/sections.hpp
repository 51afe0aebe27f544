// [stream] of the operator's file.
#pragma once

#include <memory>

#include "config/schema.hpp"
#include "stream/front.hpp"

namespace docklift::stream {

Section stream_section();
StreamOptions options_of(const Config& config);
// None where no class is named. Throws std::runtime_error for a class that the platform does not have.
std::unique_ptr<StreamFront> front_of(const Config& config, boost::asio::io_context& io, snowknot::Node& node);

}  // namespace docklift::stream
