// Server entries and reports may be written by other programs: each is accepted as a whole or rejected.
#include "platform/server_codec.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace quincewick::platform_dialect {
namespace {

using Json = nlohmann::json;

Json validEntry() {
  return {{"service", "pool"},
          {"address", "10.0.0.1:80"},
          {"zone", "z"},
          {"version", "v1"},
          {"slots", 6},
          {"state", "ready"},
          {"coldRemainingMs", 0.5},
          {"sequence", 4},
          {"born", 1'764'700'000'123},
          {"models", Json::array({{{"name", "m"}, {"version", 3}, {"adapters", Json::array()}}})}};
}

// Values that no field of an entry may have: of a wrong type or out of range.
const std::vector<Json> kInvalidValues = {nullptr, true, -1, "", Json::array({1}), Json::object({{"a", 1}})};

bool isRefused(const Json& entry) {
  return serverFrom("i-1", entry.dump()).has_error();
}

TEST_CASE("a valid entry gives the start time") {
  const auto entry = serverFrom("i-1", validEntry().dump());
  REQUIRE(entry.has_value());
  CHECK(entry.value().started == absl::FromUnixMillis(1'764'700'000'123));
  CHECK(entry.value().slots == 6);
  CHECK_FALSE(entry.value().is_draining);
}

TEST_CASE("an entry without the start time or other optional fields is accepted") {
  Json entry = validEntry();
  for (const char* name : {"born", "models", "version", "coldRemainingMs", "sequence"}) {
    entry.erase(name);
  }
  const auto read = serverFrom("i-1", entry.dump());
  REQUIRE(read.has_value());
  CHECK(read.value().started == absl::InfinitePast());
}

TEST_CASE("an entry without a required field is rejected") {
  for (const char* name : {"service", "address", "zone", "slots", "state"}) {
    Json entry = validEntry();
    entry.erase(name);
    INFO(name);
    CHECK(isRefused(entry));
  }
}

TEST_CASE("an entry with a field of a wrong type is rejected") {
  for (const char* name : {"service", "address", "zone", "slots", "state"}) {
    for (const Json& value : kInvalidValues) {
      Json entry = validEntry();
      entry[name] = value;
      INFO(entry.dump());
      CHECK(isRefused(entry));
    }
  }
  for (const char* name : {"born", "coldRemainingMs", "sequence"}) {
    Json entry = validEntry();
    entry[name] = "7";
    INFO(entry.dump());
    CHECK(isRefused(entry));
  }
}

TEST_CASE("unknown states and out-of-range slots and start times are rejected") {
  const auto with = [](const char* name, const Json& value) {
    Json entry = validEntry();
    entry[name] = value;
    return entry;
  };
  for (const char* state : {"READY", "gone", "drained", "ready "}) {
    CHECK(isRefused(with("state", state)));
  }
  for (const Json& slots : std::vector<Json>{0, 1.5, 1e30, 4'294'967'296, -3}) {
    CHECK(isRefused(with("slots", slots)));
  }
  for (const Json& born : std::vector<Json>{0, -5, 1.5, 1e300, UINT64_MAX}) {
    CHECK(isRefused(with("born", born)));
  }
  CHECK(isRefused(with("models", Json::array({{{"name", "m"}}}))));
  CHECK(isRefused(with("models", "m")));
  CHECK(isRefused(with("address", "10.0.0.1")));
}

TEST_CASE("truncated entries are rejected, and corrupted ones are rejected or usable") {
  CHECK(rc::check([] {
    std::string bytes = validEntry().dump();
    if (*rc::gen::arbitrary<bool>()) {
      bytes.resize(*rc::gen::inRange<size_t>(0, bytes.size()));
      RC_ASSERT(serverFrom("i-1", bytes).has_error());
      RC_ASSERT(reportFrom(bytes).has_error());
      return;
    }
    bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = static_cast<char>(*rc::gen::inRange(0, 256));
    const auto entry = serverFrom("i-1", bytes);
    if (entry.has_value()) {
      RC_ASSERT(entry.value().slots >= 1U);
      RC_ASSERT(!entry.value().service.empty());
    }
  }));
}

TEST_CASE("a report gives the start time; a malformed one is rejected as a whole") {
  Json report = {{"busy", false}, {"sequence", 2}, {"born", 1'764'700'000'123}, {"models", Json::array()}};
  REQUIRE(reportFrom(report.dump()).has_value());
  CHECK(reportFrom(report.dump()).value().started == absl::FromUnixMillis(1'764'700'000'123));
  report["models"] = 3;
  CHECK(reportFrom(report.dump()).has_error());
}

}  // namespace
}  // namespace quincewick::platform_dialect
