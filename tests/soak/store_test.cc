// The stand-in store as a gateway sees it, in particular after a restore from a copy.
#include "store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "reactor/http_client.h"

namespace quincewick::soak {
namespace {

struct Site {
  boost::asio::io_context reactor;
  reactor::TimerQueue timers{reactor};
  Store store;
  reactor::HttpClient gateway;

  explicit Site(bool sends_era = true)
      : store(
            reactor, timers, 1,
            [](const std::string& /*table*/, const std::string& /*key*/, const std::string& value,
               size_t /*gateway*/) { return value; },
            sends_era),
        gateway(reactor, timers, store.addressFor(0), uint64_t{1} << 20) {}

  reactor::HttpResponse sendRequest(const HttpCall& call) {
    std::optional<reactor::HttpResponse> reply;
    gateway.call(call, absl::Seconds(5),
                 [&reply](const Result<reactor::HttpResponse>& given) { reply = given.value(); });
    while (!reply) {
      reactor.run_one();
    }
    return *reply;
  }
  nlohmann::json rowsOf(const std::string& table) {
    return nlohmann::json::parse(sendRequest({"GET", "/v1/rows-get?table=" + table, {}, ""}).body);
  }
  int write(const std::string& value, uint64_t expected) {
    const nlohmann::json row = {{"table", "own"}, {"key", "row"}};
    nlohmann::json condition = row;
    condition["ver"] = expected;
    nlohmann::json put = row;
    put["value"] = absl::Base64Escape(value);
    const nlohmann::json transaction = {{"expectedRevision", {condition}}, {"put", {put}}};
    return sendRequest({"POST", "/v1/rows-tx", {}, transaction.dump()}).head.status;
  }
  std::string era() {
    const reactor::HttpResponse reply = sendRequest({"GET", "/v1/rows-get?table=own", {}, ""});
    const std::string* const field = findField(reply.head.fields, "Store-Era");
    return field == nullptr ? "" : *field;
  }
  void pass(absl::Duration time) {
    bool is_finished = false;
    timers.schedule(reactor::steadyNow() + time, [&is_finished] { is_finished = true; });
    while (!is_finished) {
      reactor.run_one();
    }
  }
};

TEST_CASE("a store restored to empty assigns versions again, and other writers' rows are written again") {
  Site site;
  site.store.put("op", "config", "one");
  CHECK(site.write("first", 0) == 200);
  const uint64_t version = site.rowsOf("own")["ver"];
  CHECK(site.era() == "1");
  site.store.restoreCopy(absl::InfiniteDuration());
  CHECK(site.era() == "2");
  CHECK(site.rowsOf("own")["rows"].empty());
  CHECK(site.rowsOf("op")["rows"].size() == 1);
  CHECK(site.sendRequest(
                {"GET", absl::StrCat("/v1/rows-feed?table=own&after=", version, "&waitMs=9000"), {}, ""})
            .head.status == 410);
  CHECK(site.write("second", 0) == 200);
  CHECK(site.rowsOf("own")["ver"].get<uint64_t>() == version);
}

TEST_CASE("a store restored from a copy holds exactly what gateways had written by then") {
  Site site;
  CHECK(site.write("first", 0) == 200);
  site.store.put("servers", "s-1", "ready");
  const nlohmann::json before = site.rowsOf("own");
  site.pass(absl::Milliseconds(600));
  CHECK(site.write("second", before["rows"][0]["ver"]) == 200);
  site.store.remove("servers", "s-1");
  site.store.restoreCopy(absl::Milliseconds(100));
  const nlohmann::json after = site.rowsOf("own");
  CHECK(after["rows"] == before["rows"]);
  CHECK(site.rowsOf("servers")["rows"].empty());
}

TEST_CASE("lost rows are written again later, except those that were written since the restore") {
  Site site;
  site.store.put("op", "kept", "one");
  site.store.put("op", "changed", "one");
  site.store.restoreCopyOnly(absl::InfiniteDuration());
  CHECK(site.rowsOf("op")["rows"].empty());
  site.store.put("op", "changed", "two");
  site.store.writeLostRows();
  CHECK(site.store.value("op", "kept") == "one");
  CHECK(site.store.value("op", "changed") == "two");
}

TEST_CASE("a long poll after a version that a restore removed gets its response at once") {
  Site site;
  CHECK(site.write("first", 0) == 200);
  const uint64_t version = site.rowsOf("own")["ver"];
  site.timers.schedule(reactor::steadyNow() + absl::Milliseconds(100),
                       [&site] { site.store.restoreCopy(absl::InfiniteDuration()); });
  CHECK(site.sendRequest(
                {"GET", absl::StrCat("/v1/rows-feed?table=own&after=", version, "&waitMs=9000"), {}, ""})
            .head.status == 410);
}

TEST_CASE("a store that sends no era is restored without notice") {
  Site site(false);
  CHECK(site.era().empty());
  site.store.restoreCopy(absl::InfiniteDuration());
  CHECK(site.era().empty());
}

}  // namespace
}  // namespace quincewick::soak
