#include "framing_input.hpp"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  docklift::fuzz::check_framing(data, size);
  return 0;
}
