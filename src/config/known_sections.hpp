// All sections of the operator's file, each declared by the subsystem that it configures.
#pragma once

#include "config/schema.hpp"

namespace docklift {

// The schema of this build. It has to live as long as any Config read by it.
const Schema& schema_of_docklift();

}  // namespace docklift
