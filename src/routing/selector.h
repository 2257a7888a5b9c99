// Label selectors: which labelled things an operator's rule applies to.
//
// The text form is the one operators know from cluster schedulers: requirements joined by commas, all of
// which must hold.
//
//   key=value, key==value     the key has this value
//   key!=value                the key has another value, or is absent
//   key in (a,b)              the key has one of the values
//   key notin (a,b)           the key has none of the values, or is absent
//   key                       the key is present
//   !key                      the key is absent
//
// Keys and values are made of letters, digits and "_-./:"; a key is never empty, a value may be. The empty
// selector matches everything.
#pragma once

#include <absl/functional/function_ref.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "types/error.h"
#include "types/labels.h"

namespace quincewick::routing {

enum class SelectorOperator : uint8_t { kIn, kNotIn, kExists, kAbsent };

// One condition on one key. `values` is sorted, without duplicates, and empty for kExists and kAbsent.
struct SelectorRequirement {
  std::string key;
  SelectorOperator comparison = SelectorOperator::kExists;
  std::vector<std::string> values;

  friend bool operator==(const SelectorRequirement&, const SelectorRequirement&) = default;
};

// Returns a key's value, or nothing where the key is absent.
using LabelLookup = absl::FunctionRef<std::optional<std::string_view>(std::string_view key)>;

// Returns the requirement in the text form.
std::string printRequirement(const SelectorRequirement& requirement);

// An immutable conjunction of requirements.
class Selector {
 public:
  // Matches everything.
  Selector() = default;

  // Parses the text form. The error is kInvalidArgument and its message names the offset, counted from 0, of
  // the first character that can't be read, and what was expected there.
  static Result<Selector> parse(std::string_view text);

  // Makes a selector of requirements made by code. Fails with kInvalidArgument where the text form could not
  // spell one of them.
  static Result<Selector> make(std::vector<SelectorRequirement> requirements);

  // Returns the canonical text: `parse(print())` gives an equal selector.
  std::string print() const;

  bool matches(const Labels& labels) const;
  bool matches(LabelLookup lookup) const { return firstUnmet(lookup) == nullptr; }

  // The first requirement that does not hold, or null where all hold. Owned by the selector.
  const SelectorRequirement* firstUnmet(LabelLookup lookup) const;

  const std::vector<SelectorRequirement>& requirements() const { return requirements_; }

  friend bool operator==(const Selector&, const Selector&) = default;

 private:
  explicit Selector(std::vector<SelectorRequirement> requirements) : requirements_(std::move(requirements)) {}

  std::vector<SelectorRequirement> requirements_;
};

}  // namespace quincewick::routing
