// The list of servers under row updates, without a network: restarts, and rows of other writers.
#include "gateway/server_list.h"

#include <catch2/catch.hpp>

#include <string>

#include "platform/platform_dialect.h"

namespace quincewick::gateway {
namespace {

const absl::Time kNow = absl::UnixEpoch() + absl::Hours(1);
constexpr int64_t kFirstStart = 1'700'000'000'000;

struct Fixture {
  Core core{GatewaySettings(), platform_dialect::makePlatformDialect(), -1};
  ServerList list{core};
  uint64_t version = 0;

  void take(const std::string& id, const std::string& value, bool is_whole = false) {
    forwarding::TableUpdate news;
    news.rows.push_back({"servers", id, value, ++version, false});
    news.is_whole = is_whole;
    news.version = version;
    list.applyUpdate(news, kNow);
  }
  static std::string entry(int64_t born, const std::string& state = "ready") {
    return R"({"service":"pool","address":"10.0.0.1:80","zone":"z","slots":4,"state":")" + state +
           R"(","born":)" + std::to_string(born) + "}";
  }
  bool isEligible(const std::string& id) const {
    const auto server = core.directory.find(id);
    return server != nullptr && server->isEligible(kNow);
  }
  size_t linesWith(const std::string& text) const {
    size_t count = 0;
    for (size_t at = core.log.buffered().find(text); at != std::string::npos;
         at = core.log.buffered().find(text, at + 1)) {
      ++count;
    }
    return count;
  }
};

TEST_CASE("an unreadable row adds no server and affects no other") {
  Fixture fixture;
  fixture.take("a", Fixture::entry(kFirstStart), true);
  fixture.take("b", "\xff{nonsense");
  CHECK(fixture.core.directory.find("b") == nullptr);
  CHECK(fixture.isEligible("a"));
}

TEST_CASE("an unreadable row is logged once, not at each heartbeat") {
  Fixture fixture;
  for (int heartbeat = 0; heartbeat < 5; ++heartbeat) {
    fixture.take("b", R"({"service":"pool","sequence":)" + std::to_string(heartbeat) + "}");
  }
  CHECK(fixture.linesWith("row_refused") == 1);
}

TEST_CASE("a known server whose entry becomes unreadable gets no new requests until it is readable") {
  Fixture fixture;
  fixture.take("a", Fixture::entry(kFirstStart), true);
  const auto server = fixture.core.directory.find("a");
  fixture.take("a", Fixture::entry(kFirstStart, "draning"));
  CHECK_FALSE(fixture.isEligible("a"));
  fixture.take("a", Fixture::entry(kFirstStart));
  CHECK(fixture.isEligible("a"));
  CHECK(fixture.core.directory.find("a") == server);
}

TEST_CASE("a snapshot with an unreadable row does not remove its server") {
  Fixture fixture;
  fixture.take("a", Fixture::entry(kFirstStart), true);
  fixture.take("a", "{}", true);
  CHECK(fixture.core.directory.find("a") != nullptr);
}

TEST_CASE("a server that restarted after draining is used again, as a new server object") {
  Fixture fixture;
  fixture.take("a", Fixture::entry(kFirstStart), true);
  const auto earlier = fixture.core.directory.find("a");
  fixture.take("a", Fixture::entry(kFirstStart, "draining"));
  CHECK_FALSE(fixture.isEligible("a"));
  fixture.take("a", Fixture::entry(kFirstStart + 5000));
  CHECK(fixture.isEligible("a"));
  CHECK(fixture.core.directory.find("a") != earlier);
  CHECK(fixture.linesWith("server_restarted") == 1);
}

TEST_CASE("a row of an earlier start is ignored and logged once") {
  Fixture fixture;
  fixture.take("a", Fixture::entry(kFirstStart), true);
  for (int repetition = 0; repetition < 3; ++repetition) {
    fixture.take("a", Fixture::entry(kFirstStart - 1, "draining"));
  }
  CHECK(fixture.isEligible("a"));
  CHECK(fixture.linesWith("row_refused") == 1);
}

TEST_CASE("a start time in the future is ignored: the server is used, and a valid start time applies later") {
  Fixture fixture;
  const int64_t ahead = absl::ToUnixMillis(absl::Now() + absl::Hours(24 * 365));
  fixture.take("a", Fixture::entry(ahead), true);
  CHECK(fixture.isEligible("a"));
  CHECK(fixture.linesWith("row_refused") == 1);
  fixture.take("a", Fixture::entry(kFirstStart));
  CHECK(fixture.core.directory.find("a")->entry.started == absl::FromUnixMillis(kFirstStart));
}

}  // namespace
}  // namespace quincewick::gateway
