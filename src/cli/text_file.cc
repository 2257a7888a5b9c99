#include "cli/text_file.h"

#include <fstream>
#include <sstream>

namespace quincewick::cli {

Result<std::string> readTextFile(const std::string& path) {
  std::ifstream input(path);
  if (!input) {
    return fail(ErrorCode::kNotFound, path + ": can't be read");
  }
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

}  // namespace quincewick::cli
