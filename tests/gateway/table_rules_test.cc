#include "gateway/table_rules.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <catch2/catch.hpp>

#include "platform/platform_dialect.h"

namespace quincewick::gateway {
namespace {

constexpr const char* kEntry =
    R"({"service":"pool","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,"state":"ready","born":1700000000000,)"
    R"("models":[{"name":"m","version":1}],"sequence":7})";

forwarding::StoreRow rowOf(const std::string& key, const std::string& value, uint64_t version = 1) {
  return {"servers", key, value, version, false};
}

struct Rules {
  std::unique_ptr<forwarding::Dialect> dialect = platform_dialect::makePlatformDialect();
  ConfigurationParser parser{*dialect};
};

// Guards against copies of the list that count as equal although a server moved, drains or was upgraded.
TEST_CASE_METHOD(Rules, "every field of a server's entry that gateways use is part of its row's content") {
  const auto rules = serverRowRules(*dialect);
  const uint64_t content = rules.content(rowOf("i-1", kEntry));
  const std::vector<std::pair<std::string, std::string>> changes = {
      {"pool", "other"},     {"10.0.0.1", "10.0.0.2"},
      {":80\"", ":81\""},    {"\"z\"", "\"y\""},
      {"\"v1\"", "\"v2\""},  {"\"slots\":4", "\"slots\":5"},
      {"ready", "draining"}, {"1700000000000", "1700000000001"},
      {"\"m\"", "\"n\""},    {"\"version\":1", "\"version\":2"}};
  for (const auto& change : changes) {
    CAPTURE(change.first);
    CHECK(rules.content(rowOf("i-1", absl::StrReplaceAll(kEntry, {change}))) != content);
  }
  CHECK(rules.content(rowOf("i-2", kEntry)) != content);
  CHECK(rules.content(rowOf("i-1", "nonsense")) != content);
}

TEST_CASE_METHOD(Rules, "a server's heartbeat doesn't change its row's content") {
  const auto rules = serverRowRules(*dialect);
  const std::string heartbeat = absl::StrReplaceAll(kEntry, {{"\"sequence\":7", "\"sequence\":8"}});
  CHECK(rules.content(rowOf("i-1", heartbeat, 9)) == rules.content(rowOf("i-1", kEntry)));
  CHECK(rules.is_renewed);
}

TEST_CASE_METHOD(Rules, "configurations and named weights rank by the operator's numbers") {
  const auto rules = operatorRowRules(*dialect, parser);
  const auto configuration = [](uint64_t version) {
    return absl::StrCat(R"({"version":)", version, R"(,"routes":[],"services":[]})");
  };
  CHECK(rules.rank(rowOf("config", configuration(7))) == 7);
  CHECK(rules.rank(rowOf("config", configuration(8))) == 8);
  CHECK_FALSE(rules.rank(rowOf("config", "nonsense")));
  CHECK(rules.rank(rowOf(dialect->tables().weights_prefix + "m", R"({"model":"m","version":3})")) == 3);
  CHECK_FALSE(rules.rank(rowOf("other", configuration(7))));
  CHECK(rules.content(rowOf("config", configuration(7), 1)) !=
        rules.content(rowOf("config", configuration(7), 2)));
}

}  // namespace
}  // namespace quincewick::gateway
