// Reads files that are given as arguments.
#pragma once

#include <string>

#include "types/error.h"

namespace quincewick::cli {

// Returns the contents of the file. kNotFound if it can't be read.
Result<std::string> readTextFile(const std::string& path);

}  // namespace quincewick::cli
