// Entries and reports of servers that others may have written: whole, or refused.
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

// What no field of an entry may be, each of another type or out of range.
const std::vector<Json> kInvalidValues = {nullptr, true, -1, "", Json::array({1}), Json::object({{"a", 1}})};

bool isRefused(const Json& entry) {
  return serverFrom("i-1", entry.dump()).has_error();
}

TEST_CASE("a sound entry tells its start") {
  const auto entry = serverFrom("i-1", validEntry().dump());
  REQUIRE(entry.has_value());
  CHECK(entry.value().started == absl::FromUnixMillis(1'764'700'000'123));
  CHECK(entry.value().slots == 6);
  CHECK_FALSE(entry.value().is_draining);
}

TEST_CASE("an entry that tells no start, or nothing that routing does without, can be used") {
  Json entry = validEntry();
  for (const char* name : {"born", "models", "version", "coldRemainingMs", "sequence"}) {
    entry.erase(name);
  }
  const auto read = serverFrom("i-1", entry.dump());
  REQUIRE(read.has_value());
  CHECK(read.value().started == absl::InfinitePast());
}

TEST_CASE("an entry that lacks what routing needs names no server") {
  for (const char* name : {"service", "address", "zone", "slots", "state"}) {
    Json entry = validEntry();
    entry.erase(name);
    INFO(name);
    CHECK(isRefused(entry));
  }
}

TEST_CASE("a field of another type refuses its entry") {
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

TEST_CASE("a state that isn't named, slots and starts out of range") {
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

TEST_CASE("bytes that can't be read are refused, cut anywhere or changed anywhere") {
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

TEST_CASE("a report tells its start; one that can't be read is refused whole") {
  Json report = {{"busy", false}, {"sequence", 2}, {"born", 1'764'700'000'123}, {"models", Json::array()}};
  REQUIRE(reportFrom(report.dump()).has_value());
  CHECK(reportFrom(report.dump()).value().started == absl::FromUnixMillis(1'764'700'000'123));
  report["models"] = 3;
  CHECK(reportFrom(report.dump()).has_error());
}

}  // namespace
}  // namespace quincewick::platform_dialect
