#include "routing/selector.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

namespace quincewick::routing {
namespace {

rc::Gen<std::string> genWord(int minimum_size) {
  return rc::gen::mapcat(rc::gen::inRange(minimum_size, 4), [](int size) {
    return rc::gen::container<std::string>(size, rc::gen::elementOf(std::string("abinot-./:_9")));
  });
}

rc::Gen<SelectorRequirement> genRequirement() {
  return rc::gen::apply(
      [](std::string key, SelectorOperator comparison, std::vector<std::string> values) {
        SelectorRequirement requirement{std::move(key), comparison, {}};
        if (comparison == SelectorOperator::kIn || comparison == SelectorOperator::kNotIn) {
          requirement.values = std::move(values);
        }
        return requirement;
      },
      genWord(1),
      rc::gen::element(SelectorOperator::kIn, SelectorOperator::kNotIn, SelectorOperator::kExists,
                       SelectorOperator::kAbsent),
      rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(genWord(0))));
}

TEST_CASE("a printed selector parses to an equal one, also with spaces between its parts") {
  rc::prop("round trip", [] {
    const auto requirements = *rc::gen::container<std::vector<SelectorRequirement>>(genRequirement());
    const Selector selector = Selector::make(requirements).value();
    RC_ASSERT(Selector::parse(selector.print()).value() == selector);
    std::string spaced;
    for (const char character : selector.print()) {
      const bool separator = character == ',' || character == '(' || character == ')';
      absl::StrAppend(&spaced, separator ? " " : "", std::string(1, character), separator ? "  " : "");
    }
    RC_ASSERT(Selector::parse(spaced).value() == selector);
  });
}

TEST_CASE("matching agrees with the definition of each operator") {
  rc::prop("against sets", [] {
    const auto requirement = *genRequirement();
    const auto value = *rc::gen::maybe(
        rc::gen::oneOf(genWord(0), rc::gen::elementOf(std::vector<std::string>{"", "a", "in"})));
    Labels labels;
    if (value) {
      labels.set(requirement.key, *value);
    }
    const std::set<std::string> values(requirement.values.begin(), requirement.values.end());
    const bool listed = value && values.count(*value) == 1;
    bool expected = false;
    switch (requirement.comparison) {
      case SelectorOperator::kIn:
        expected = listed;
        break;
      case SelectorOperator::kNotIn:
        expected = !listed;
        break;
      case SelectorOperator::kExists:
        expected = bool(value);
        break;
      case SelectorOperator::kAbsent:
        expected = !value;
        break;
    }
    RC_ASSERT(Selector::make({requirement}).value().matches(labels) == expected);
  });
}

TEST_CASE("the usual text form is read") {
  const Selector selector =
      Selector::parse("tier=gold, kind in (quote,barrier), zone!=hall-c, !legacy").value();
  CHECK(selector.requirements().size() == 4);
  CHECK(selector.matches(Labels{{"tier", "gold"}, {"kind", "barrier"}}));
  CHECK_FALSE(selector.matches(Labels{{"tier", "gold"}, {"kind", "barrier"}, {"legacy", ""}}));
  CHECK_FALSE(selector.matches(Labels{{"tier", "gold"}, {"kind", "barrier"}, {"zone", "hall-c"}}));
  CHECK_FALSE(selector.matches(Labels{{"tier", "gold"}, {"kind", "report"}}));
  CHECK(Selector::parse("  ").value().matches(Labels{}));
}

TEST_CASE("an error names the offset of what could not be read") {
  struct Case {
    std::string text;
    size_t offset;
  };
  const auto wrong = GENERATE(values<Case>({{"tier=gold,", 10},
                                            {"tier gold", 5},
                                            {"a in b", 5},
                                            {"a in (b", 7},
                                            {"a in (b c)", 8},
                                            {"a!b", 2},
                                            {"!", 1},
                                            {"a=b?c", 3},
                                            {"=b", 0}}));
  const auto parsed = Selector::parse(wrong.text);
  REQUIRE(parsed.has_error());
  CHECK(parsed.error().code == ErrorCode::kInvalidArgument);
  CHECK(absl::StartsWith(parsed.error().message, absl::StrCat("selector: offset ", wrong.offset, ":")));
}

TEST_CASE("any text either parses to what prints and parses again, or fails") {
  rc::prop("no crash", [] {
    const auto text = *rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab in(),=!\t\"")));
    const auto parsed = Selector::parse(text);
    if (parsed.has_value()) {
      RC_ASSERT(Selector::parse(parsed.value().print()).value() == parsed.value());
    }
  });
}

}  // namespace
}  // namespace quincewick::routing
