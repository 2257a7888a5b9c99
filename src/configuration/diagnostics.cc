#include "configuration/diagnostics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

namespace quincewick::configuration {

std::string printDiagnostic(const std::string& file, const Diagnostic& diagnostic) {
  std::string out = file;
  if (diagnostic.line > 0) {
    absl::StrAppend(&out, ":", diagnostic.line, ":", diagnostic.column);
  }
  if (!diagnostic.path.empty()) {
    absl::StrAppend(&out, ": ", diagnostic.path);
  }
  absl::StrAppend(&out, ": ", diagnostic.message);
  return out;
}

std::string printDiagnostics(const std::string& file, const std::vector<Diagnostic>& diagnostics) {
  return absl::StrJoin(diagnostics, "\n", [&file](std::string* out, const Diagnostic& diagnostic) {
    out->append(printDiagnostic(file, diagnostic));
  });
}

}  // namespace quincewick::configuration
