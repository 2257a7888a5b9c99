// What is wrong in a text that an operator wrote, and where.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace quincewick::configuration {

// One fault of a text. Lines and columns count from 1; 0 means that the fault has no single place.
struct Diagnostic {
  uint32_t line = 0;
  uint32_t column = 0;
  std::string path;     // of the faulty value, such as "tenants.airport.weight"; empty: the whole text
  std::string message;  // what was expected, and what was found

  friend bool operator==(const Diagnostic&, const Diagnostic&) = default;
};

// Faults listed for one text; more than these are not worth reading at once.
inline constexpr size_t kMaximumDiagnostics = 100;

// Returns "FILE:LINE:COLUMN: PATH: MESSAGE", leaving out what is not known.
std::string printDiagnostic(const std::string& file, const Diagnostic& diagnostic);

// Returns all faults, one a line, without a line break at the end.
std::string printDiagnostics(const std::string& file, const std::vector<Diagnostic>& diagnostics);

// The outcome of reading a text: a value when there are no faults, and otherwise all of them.
template <class T>
struct Parsed {
  std::optional<T> value;
  std::vector<Diagnostic> diagnostics;

  bool ok() const { return value.has_value(); }
};

}  // namespace quincewick::configuration
