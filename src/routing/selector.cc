#include "routing/selector.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace quincewick::routing {
namespace {

bool isWordCharacter(char character) {
  constexpr std::string_view punctuation = "_-./:";
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
         punctuation.find(character) != std::string_view::npos;
}

bool isWord(std::string_view text) {
  return std::all_of(text.begin(), text.end(), isWordCharacter);
}

void normalise(std::vector<std::string>& values) {
  std::sort(values.begin(), values.end());
  values.erase(std::unique(values.begin(), values.end()), values.end());
}

bool needsValues(SelectorOperator comparison) {
  return comparison == SelectorOperator::kIn || comparison == SelectorOperator::kNotIn;
}

bool holds(const SelectorRequirement& requirement, std::optional<std::string_view> value) {
  const auto listed = [&] {
    return value.has_value() &&
           std::binary_search(requirement.values.begin(), requirement.values.end(), *value);
  };
  switch (requirement.comparison) {
    case SelectorOperator::kIn:
      return listed();
    case SelectorOperator::kNotIn:
      return !listed();
    case SelectorOperator::kExists:
      return value.has_value();
    case SelectorOperator::kAbsent:
      return !value.has_value();
  }
  return false;
}

// Reads the text form from left to right.
class SelectorReader {
 public:
  explicit SelectorReader(std::string_view text) : text_(text) {}

  Result<std::vector<SelectorRequirement>> readAll() {
    std::vector<SelectorRequirement> requirements;
    skipSpace();
    if (atEnd()) {
      return requirements;
    }
    while (true) {
      BOOST_OUTCOME_TRY(requirement, readRequirement());
      requirements.push_back(std::move(requirement));
      skipSpace();
      if (atEnd()) {
        return requirements;
      }
      if (!take(',')) {
        return expected("',' or the end");
      }
    }
  }

 private:
  bool atEnd() const { return position_ == text_.size(); }

  void skipSpace() {
    while (!atEnd() && absl::ascii_isspace(static_cast<unsigned char>(text_[position_]))) {
      ++position_;
    }
  }

  bool take(char character) {
    if (atEnd() || text_[position_] != character) {
      return false;
    }
    ++position_;
    return true;
  }

  // The longest word from here; may be empty.
  std::string takeWord() {
    const size_t begin = position_;
    while (!atEnd() && isWordCharacter(text_[position_])) {
      ++position_;
    }
    return std::string(text_.substr(begin, position_ - begin));
  }

  outcome::failure_type<Error> expected(std::string_view what) const {
    return fail(ErrorCode::kInvalidArgument, absl::StrCat("selector: offset ", position_, ": expected ",
                                                          absl::string_view(what.data(), what.size())));
  }

  Result<std::string> readKey() {
    skipSpace();
    std::string key = takeWord();
    if (key.empty()) {
      return expected("a key");
    }
    return key;
  }

  Result<SelectorRequirement> readRequirement() {
    skipSpace();
    if (take('!')) {
      BOOST_OUTCOME_TRY(key, readKey());
      return SelectorRequirement{std::move(key), SelectorOperator::kAbsent, {}};
    }
    BOOST_OUTCOME_TRY(key, readKey());
    skipSpace();
    if (take('=')) {
      take('=');
      return readSingleValue(std::move(key), SelectorOperator::kIn);
    }
    if (take('!')) {
      if (!take('=')) {
        return expected("'=' after '!'");
      }
      return readSingleValue(std::move(key), SelectorOperator::kNotIn);
    }
    if (atEnd() || text_[position_] == ',') {
      return SelectorRequirement{std::move(key), SelectorOperator::kExists, {}};
    }
    return readSet(std::move(key));
  }

  SelectorRequirement readSingleValue(std::string key, SelectorOperator comparison) {
    skipSpace();
    return SelectorRequirement{std::move(key), comparison, {takeWord()}};
  }

  Result<SelectorRequirement> readSet(std::string key) {
    const size_t word_begin = position_;
    const std::string word = takeWord();
    if (word != "in" && word != "notin") {
      position_ = word_begin;
      return expected("'=', '!=', 'in', 'notin', ',' or the end");
    }
    const auto comparison = word == "in" ? SelectorOperator::kIn : SelectorOperator::kNotIn;
    skipSpace();
    if (!take('(')) {
      return expected("'('");
    }
    SelectorRequirement requirement{std::move(key), comparison, {}};
    while (true) {
      skipSpace();
      requirement.values.push_back(takeWord());
      skipSpace();
      if (take(')')) {
        normalise(requirement.values);
        return requirement;
      }
      if (!take(',')) {
        return expected("',' or ')'");
      }
    }
  }

  std::string_view text_;
  size_t position_ = 0;
};

}  // namespace

std::string printRequirement(const SelectorRequirement& requirement) {
  const bool single = requirement.values.size() == 1;
  switch (requirement.comparison) {
    case SelectorOperator::kExists:
      return requirement.key;
    case SelectorOperator::kAbsent:
      return absl::StrCat("!", requirement.key);
    case SelectorOperator::kIn:
      return single ? absl::StrCat(requirement.key, "=", requirement.values.front())
                    : absl::StrCat(requirement.key, " in (", absl::StrJoin(requirement.values, ","), ")");
    case SelectorOperator::kNotIn:
      return single ? absl::StrCat(requirement.key, "!=", requirement.values.front())
                    : absl::StrCat(requirement.key, " notin (", absl::StrJoin(requirement.values, ","), ")");
  }
  return {};
}

Result<Selector> Selector::parse(std::string_view text) {
  BOOST_OUTCOME_TRY(requirements, SelectorReader(text).readAll());
  return Selector(std::move(requirements));
}

Result<Selector> Selector::make(std::vector<SelectorRequirement> requirements) {
  for (SelectorRequirement& requirement : requirements) {
    normalise(requirement.values);
    if (requirement.key.empty() || !isWord(requirement.key)) {
      return fail(ErrorCode::kInvalidArgument, "selector: a key is empty or has a character that it may not");
    }
    if (!std::all_of(requirement.values.begin(), requirement.values.end(), isWord)) {
      return fail(ErrorCode::kInvalidArgument, "selector: a value has a character that it may not");
    }
    if (requirement.values.empty() == needsValues(requirement.comparison)) {
      return fail(ErrorCode::kInvalidArgument,
                  "selector: 'in' and 'notin' take values, the others take none");
    }
  }
  return Selector(std::move(requirements));
}

std::string Selector::print() const {
  return absl::StrJoin(requirements_, ",", [](std::string* out, const SelectorRequirement& requirement) {
    out->append(printRequirement(requirement));
  });
}

bool Selector::matches(const Labels& labels) const {
  return matches([&labels](std::string_view key) { return labels.get(key); });
}

const SelectorRequirement* Selector::firstUnmet(LabelLookup lookup) const {
  for (const SelectorRequirement& requirement : requirements_) {
    if (!holds(requirement, lookup(requirement.key))) {
      return &requirement;
    }
  }
  return nullptr;
}

}  // namespace quincewick::routing
