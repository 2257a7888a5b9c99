// Reads the files that commands are given.
#pragma once

#include <string>

#include "types/error.h"

namespace quincewick::cli {

// The whole file. kNotFound if it can't be read.
Result<std::string> readTextFile(const std::string& path);

}  // namespace quincewick::cli
