// The list of servers as rows come, without a network: restarts, and rows that others wrote.
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
    list.take(news, kNow);
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

TEST_CASE("a row that can't be read names no server, and the others hold") {
  Fixture fixture;
  fixture.take("a", Fixture::entry(kFirstStart), true);
  fixture.take("b", "\xff{nonsense");
  CHECK(fixture.core.directory.find("b") == nullptr);
  CHECK(fixture.isEligible("a"));
}

TEST_CASE("an unreadable row is told once, not at each heartbeat") {
  Fixture fixture;
  for (int heartbeat = 0; heartbeat < 5; ++heartbeat) {
    fixture.take("b", R"({"service":"pool","sequence":)" + std::to_string(heartbeat) + "}");
  }
  CHECK(fixture.linesWith("row_refused") == 1);
}

TEST_CASE("a sound server whose entry turns unreadable gets nothing new until it can be read") {
  Fixture fixture;
  fixture.take("a", Fixture::entry(kFirstStart), true);
  const auto server = fixture.core.directory.find("a");
  fixture.take("a", Fixture::entry(kFirstStart, "draning"));
  CHECK_FALSE(fixture.isEligible("a"));
  fixture.take("a", Fixture::entry(kFirstStart));
  CHECK(fixture.isEligible("a"));
  CHECK(fixture.core.directory.find("a") == server);
}

TEST_CASE("a whole reading with an unreadable row does not take its server for gone") {
  Fixture fixture;
  fixture.take("a", Fixture::entry(kFirstStart), true);
  fixture.take("a", "{}", true);
  CHECK(fixture.core.directory.find("a") != nullptr);
}

TEST_CASE("a server that drained and started again is used, and its slot is as new") {
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

TEST_CASE("a row of an earlier start is passed over and told once") {
  Fixture fixture;
  fixture.take("a", Fixture::entry(kFirstStart), true);
  for (int told = 0; told < 3; ++told) {
    fixture.take("a", Fixture::entry(kFirstStart - 1, "draining"));
  }
  CHECK(fixture.isEligible("a"));
  CHECK(fixture.linesWith("row_refused") == 1);
}

TEST_CASE("a start in the future counts as not told: the server is used, and its true start counts later") {
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
