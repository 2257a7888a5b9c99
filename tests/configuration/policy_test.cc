#include "configuration/policy.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "configuration/policy_objects.h"
#include "configuration/yaml_cursor.h"
#include "tests/configuration/policy_generators.h"

namespace quincewick::configuration {
namespace {

std::string readFile(const std::string& path) {
  std::ifstream input(path);
  REQUIRE(input);
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

TEST_CASE("a printed policy reads back as the same policy") {
  rc::prop("parse(print(p)) == p", [] {
    const Policy policy = *genPolicy();
    const std::string text = printPolicy(policy);
    const Parsed<Policy> parsed = parsePolicy(text);
    RC_LOG() << text << printDiagnostics("policy", parsed.diagnostics);
    RC_ASSERT(parsed.ok());
    RC_ASSERT(*parsed.value == policy);
    RC_ASSERT(printPolicy(*parsed.value) == text);
  });
}

TEST_CASE("the difference of two policies turns one into the other") {
  rc::prop("apply(a, difference(a, b)) == b", [] {
    const Policy from = *genPolicy();
    const Policy to = *genPolicy();
    const std::vector<ObjectChange> changes = policyDifference(from, to);
    const Parsed<Policy> changed = changedPolicy(from, changes);
    RC_LOG() << printDiagnostics("policy", changed.diagnostics);
    RC_ASSERT(changed.ok());
    RC_ASSERT(*changed.value == to);
    RC_ASSERT(policyDifference(to, *changed.value).empty());
    for (size_t index = 1; index < changes.size(); ++index) {
      RC_ASSERT(changes[index - 1].key < changes[index].key);
    }
  });
}

TEST_CASE("any text is either a policy or has faults") {
  rc::prop("broken texts never pass silently", [] {
    std::string text = printPolicy(*genPolicy());
    const auto place = *rc::gen::inRange<size_t>(0, text.size());
    text[place] = *rc::gen::element('{', ':', '"', '-', ' ', '\n', 'x', '\xff', '&', '*');
    const Parsed<Policy> parsed = parsePolicy(text);
    RC_ASSERT(parsed.ok() == parsed.diagnostics.empty());
    if (parsed.ok()) {
      RC_ASSERT(parsePolicy(printPolicy(*parsed.value)).value == parsed.value);
    }
  });
}

// Guards against a policy that differs after it was printed: the YAML emitter replaces such text.
TEST_CASE("text that isn't UTF-8 or can't be printed is a fault at its place") {
  const std::vector<std::string> texts = {"\xff",         "\xc3",         "\xc0\x80",
                                          "\xed\xa0\x80", "\xef\xbf\xbe", "\\ufffe"};
  for (const std::string& text : texts) {
    const Parsed<YAML::Node> parsed = loadYaml("first: 1\nsecond: \"a" + text + "\"\n");
    CAPTURE(text);
    REQUIRE(parsed.diagnostics.size() == 1);
    CHECK(parsed.diagnostics.front().line == 2);
    CHECK(parsed.diagnostics.front().message == "not UTF-8 text");
  }
  CHECK(loadYaml("first: \"\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80\"\n").ok());
}

TEST_CASE("parts that do not fit together are faults at their place") {
  const std::string hash(64, 'a');
  const Parsed<Policy> parsed = parsePolicy(
      "tenants:\n"
      "  one: {labels: {kind: x}, caller_keys: [{sha256: " +
      hash +
      "}]}\n"
      "  two: {caller_keys: [{sha256: " +
      hash +
      "}]}\n"
      "routes:\n"
      "  r.1: {selector: \"a=b\", groups: [nowhere]}\n"
      "admission:\n"
      "  shortest_retry_after: 10s\n"
      "  longest_retry_after: 1s\n");
  CHECK(printDiagnostics("f", parsed.diagnostics) ==
        "f:2:18: tenants.one.labels.kind: this key is built in and can't be a label\n"
        "f:3:9: tenants.two.caller_keys: a key of tenants.one is used again\n"
        "f:5:26: routes.r.1.groups: no group \"nowhere\" in groups\n"
        "f:8:3: admission.longest_retry_after: shorter than shortest_retry_after");
  const Parsed<Policy> selector = parsePolicy("groups: {g: {back_ends: \"a in b\"}}");
  CHECK_THAT(printDiagnostics("f", selector.diagnostics),
             Catch::StartsWith("f:1:25: groups.g.back_ends: not a selector: "));
  const Parsed<Policy> cut =
      changedPolicy({}, {{ObjectKey("tenants/a"), "{weight: 0}"}, {ObjectKey("x"), "{}"}});
  CHECK(printDiagnostics("f", cut.diagnostics) ==
        "f:1:10: tenants/a.weight: expected a value within [0.001, 1000]\nf: x: a policy has no such object");
}

TEST_CASE("the policies that ship are fine") {
  for (const std::string site : {"budapest", "dakar"}) {
    const Parsed<Policy> parsed = parsePolicy(
        readFile(std::string(QUINCEWICK_SOURCE_FOLDER) + "/deployments/" + site + ".policy.yaml"));
    INFO(printDiagnostics(site, parsed.diagnostics));
    REQUIRE(parsed.ok());
    CHECK(parsed.value->tenants.size() == 8);
    CHECK(routeTableSpecification(*parsed.value).routes.size() == parsed.value->routes.size());
    CHECK(admissionConfiguration(*parsed.value).tenant_weights.size() == 8);
  }
}

}  // namespace
}  // namespace quincewick::configuration
