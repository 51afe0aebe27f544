// What must hold of a body's framing for any bytes.
#pragma once

#include <cstddef>
#include <cstdint>

namespace docklift::fuzz {

// The first byte says how the body is told and where the input is split; the rest is the input. Ends the process where
// the decoder reads on after an end, gives other bytes for another split, or what it has read is not read again the same.
void check_framing(const std::uint8_t* data, std::size_t size);

}  // namespace docklift::fuzz
