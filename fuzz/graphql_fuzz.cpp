// libFuzzer's entry: cmake -B build-fuzz -DDOCKLIFT_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++, then
// build-fuzz/graphql_fuzz -max_total_time=60 -max_len=4096 CORPUS fuzz/corpus/graphql
#include <cstddef>
#include <cstdint>

#include "graphql_input.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  docklift::fuzz::graphql_input({reinterpret_cast<const char*>(data), size});
  return 0;
}
