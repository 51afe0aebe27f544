// One input of the fuzzer of GraphQL documents, for libFuzzer and for the tests, which play its findings and random
// changes of good documents. What must hold for any bytes is checked here; a breach ends the process.
#pragma once

#include <string_view>

namespace docklift::fuzz {

void graphql_input(std::string_view bytes);

}  // namespace docklift::fuzz
