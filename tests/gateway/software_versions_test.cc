// Guards against streams that hold events from servers of two software versions, which don't fit together: a
// gateway went on with a stream at any server, and so did callers that took theirs up again.
#include <absl/strings/numbers.h>
#include <absl/strings/str_replace.h>

#include <atomic>
#include <boost/asio/read_until.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <set>

#include "gateway/software_record.h"
#include "partition_site.h"

namespace quincewick::gateway {
namespace {

constexpr int kEvents = 3;  // of a whole stream

std::string valueOf(const HttpHead& head, const char* name) {
  const std::string* const value = findField(head.fields, name);
  return value == nullptr ? "" : *value;
}

// What a server does after the first event of an attempt.
enum class AfterFirst : uint8_t { kGoesOn, kBreaksOff, kStalls };

// Sends the events that follow the last one that the request names, with the version in each.
Script serveStream(const Seen& seen, const std::string& software, AfterFirst after_first) {
  int last = 0;
  const int first = absl::SimpleAtoi(valueOf(seen.head, "Last-Event-Id"), &last) ? last + 1 : 1;
  Script script{printResponseHead(200, "OK",
                                  {{"Quincewick-Response-Signature", "s"},
                                   {"Quincewick-Attempt-Id", valueOf(seen.head, "Quincewick-Attempt-Id")},
                                   {"Content-Type", "text/event-stream"},
                                   {"Transfer-Encoding", "chunked"}})};
  for (int id = first; id <= kEvents; ++id) {
    script.answer += printChunk(absl::StrCat("id: ", id, "\ndata: ", software, "\n\n"));
    if (after_first != AfterFirst::kGoesOn) {
      script.closes = after_first == AfterFirst::kBreaksOff;
      return script;
    }
  }
  script.answer += kLastChunk;
  return script;
}

// Four servers, two of each of two versions.
struct VersionedSite : Fixture {
  std::atomic<AfterFirst> after_first = AfterFirst::kGoesOn;
  std::atomic<bool> is_first_server_broken = false;  // it closes connections without a response

  explicit VersionedSite(const std::vector<std::string>& versions = {"v1", "v2"}) {
    for (const std::string& software : versions) {
      addServers(software);
    }
  }

  void addServers(const std::string& software, const std::string& service = "pool") {
    for (const int number : {1, 2}) {
      site.addServer(
          idOf(software, number),
          [this, software, number](const Seen& seen) {
            const bool is_broken = is_first_server_broken && number == 1 && software == "v1";
            return is_broken ? Script{"", true} : serveStream(seen, software, after_first);
          },
          "[]", software, service);
    }
  }
  void removeServers(const std::string& software) {
    for (const int number : {1, 2}) {
      site.removeRow("servers", idOf(software, number));
    }
  }
  // Sends the route of resumable streams to the service.
  void moveRoute(uint64_t version, const std::string& service, const std::string& more_routes = "") {
    site.setRow("op", "config",
                absl::StrReplaceAll(
                    kConfiguration,
                    {{R"("version":3)", absl::StrCat(R"("version":)", version)},
                     {R"("timeoutMs":5000,"service":"pool",
   "maxAttempts":2,"resumable":true})",
                      absl::StrCat(R"("timeoutMs":5000,"service":")", service,
                                   R"(","maxAttempts":2,"resumable":true})", more_routes)},
                     {R"([{"name":"pool","maxConnections":100}])",
                      R"([{"name":"pool","maxConnections":100},{"name":"other","maxConnections":100}])"}}));
  }
  static std::string idOf(const std::string& software, int number) {
    return absl::StrCat("i-", software, "-", number);
  }

  GatewaySettings settingsOf(const std::string& id) const {
    GatewaySettings result = RunningGateway::settings(id, site.storeAddress(), site);
    result.bounds.retry_ratio = 2;
    return result;
  }
};

// A caller's stream over all of its attempts.
struct CallerStream {
  bool names_attempt = true;  // in the requests that take it up
  std::string first_attempt;
  int last_event = 0;
  std::set<std::string> versions;
  std::vector<int> events;
};

std::string printAttempt(const CallerStream& stream, const std::string& id, const std::string& body) {
  HeaderFields fields = {{"Host", "h"},
                         {"Connection", "close"},
                         {"Authorization", "Bearer key"},
                         {"Quincewick-Attempt-Id", id},
                         {"Quincewick-Deadline-Ms", "5000"},
                         {"Content-Length", absl::StrCat(body.size())}};
  if (stream.last_event > 0) {
    fields.push_back({"Last-Event-Id", absl::StrCat(stream.last_event)});
    if (stream.names_attempt) {
      fields.push_back({"Resumes", stream.first_attempt});
    }
  }
  return printRequestHead("POST", "/resumed/a", fields) + body;
}

void noteEvents(CallerStream& stream, const std::string& id, const std::string& answer) {
  for (size_t place = answer.find("id: "); place != std::string::npos;
       place = answer.find("id: ", place + 1)) {
    const int event = std::stoi(answer.substr(place + 4));
    const size_t data = answer.find("data: ", place) + 6;
    stream.versions.insert(answer.substr(data, answer.find('\n', data) - data));
    stream.events.push_back(event);
    stream.last_event = event;
    if (stream.first_attempt.empty()) {
      stream.first_attempt = id;
    }
  }
}

// Sends one attempt. Returns the response.
std::string attempt(const RunningGateway& gateway, CallerStream& stream, const std::string& id,
                    const std::string& body) {
  std::string answer = gateway.ask(printAttempt(stream, id, body));
  noteEvents(stream, id, answer);
  return answer;
}

TEST_CASE("one answer: a stream goes on at the version that began it") {
  VersionedSite fixture;
  fixture.after_first = AfterFirst::kBreaksOff;
  const RunningGateway gateway(fixture.settingsOf("a"));
  size_t gone_on = 0;
  for (int number = 0; number < 20; ++number) {
    CallerStream stream;
    attempt(gateway, stream, absl::StrCat("attempt-", number), absl::StrCat("body ", number));
    CAPTURE(number);
    CHECK(stream.versions.size() == 1);
    gone_on += stream.events.size() > 1 ? 1 : 0;
  }
  CHECK(gone_on == 20);  // the other server of the version is there
}

TEST_CASE("taken up: a stream goes on at the version that began it") {
  VersionedSite fixture;
  const RunningGateway one(fixture.settingsOf("a"));
  const RunningGateway two(fixture.settingsOf("b"));
  awaitPeer(one);
  awaitPeer(two);
  size_t gone_on = 0;
  for (int number = 0; number < 20; ++number) {
    const std::string body = absl::StrCat("body ", number);
    CallerStream stream;
    fixture.after_first = AfterFirst::kBreaksOff;
    attempt(one, stream, absl::StrCat("first-", number), body);
    fixture.after_first = AfterFirst::kGoesOn;
    const std::string answer = attempt(two, stream, absl::StrCat("second-", number), body);
    CAPTURE(number, answer);
    CHECK(stream.versions.size() == 1);
    gone_on += stream.last_event == kEvents ? 1 : 0;
  }
  CHECK(gone_on == 20);
}

// No rollout was asked for: each gateway takes the version of most servers for the one to use.
TEST_CASE("taken up: a stream goes on at the version that began it where rollouts are staged") {
  VersionedSite fixture;
  std::vector<std::unique_ptr<RunningGateway>> gateways;
  for (const char* const id : {"a", "b"}) {
    GatewaySettings settings = fixture.settingsOf(id);
    settings.rollout_share = 0.2;
    gateways.push_back(std::make_unique<RunningGateway>(settings));
  }
  awaitPeer(*gateways[0]);
  awaitPeer(*gateways[1]);
  for (int number = 0; number < 5; ++number) {
    const std::string body = absl::StrCat("body ", number);
    CallerStream stream;
    fixture.after_first = AfterFirst::kBreaksOff;
    attempt(*gateways[0], stream, absl::StrCat("first-", number), body);
    fixture.after_first = AfterFirst::kGoesOn;
    const std::string answer = attempt(*gateways[1], stream, absl::StrCat("second-", number), body);
    CAPTURE(number, answer);
    CHECK(stream.versions.size() == 1);
    CHECK(stream.last_event == kEvents);
  }
}

TEST_CASE("taken up: a stream of which nobody knows the version goes on nowhere") {
  VersionedSite fixture;
  const RunningGateway gateway(fixture.settingsOf("a"));
  for (const char* const last_event : {"1", "x"}) {
    const std::string answer = gateway.ask(
        "/resumed/a",
        {{"Authorization", "Bearer key"}, {"Last-Event-Id", last_event}, {"Resumes", "never-seen"}});
    CHECK(has(answer, "HTTP/1.1 503"));
    CHECK(has(answer, "Retry-After: "));
  }
  CHECK(fixture.site.seen().empty());
}

TEST_CASE("taken up: a tenant can't go on with the stream of another") {
  VersionedSite fixture;
  const RunningGateway gateway(fixture.settingsOf("a"));
  fixture.after_first = AfterFirst::kBreaksOff;
  CallerStream stream;
  attempt(gateway, stream, "first", "body");
  REQUIRE_FALSE(stream.events.empty());
  fixture.after_first = AfterFirst::kGoesOn;
  const std::string answer = gateway.ask(
      "/resumed/a", {{"Authorization", "Bearer limited"}, {"Last-Event-Id", "1"}, {"Resumes", "first"}});
  CHECK(has(answer, "HTTP/1.1 503"));
}

TEST_CASE("one answer: a stream whose version has no server left ends visibly") {
  Fixture fixture;
  for (const char* const software : {"v1", "v2"}) {
    fixture.site.addServer(
        absl::StrCat("i-", software),
        [version = std::string(software)](const Seen& seen) {
          return serveStream(seen, version, AfterFirst::kBreaksOff);
        },
        "[]", software);
  }
  const RunningGateway gateway(fixture.site);
  CallerStream stream;
  const std::string answer = attempt(gateway, stream, "first", "body");
  CHECK(stream.events == std::vector<int>{1});
  CHECK_FALSE(answer.ends_with(kLastChunk));
}

// The delegate knows the version and has to keep to it.
TEST_CASE("one answer: a stream goes on through another gateway at the version that began it") {
  const DeadAddress dead(false);
  VersionedSite fixture;
  fixture.site.replaceServersAtSecond(dead.address());
  GatewaySettings cut_off = fixture.settingsOf("a");
  cut_off.store = fixture.site.secondStoreAddress();
  cut_off.zone = ZoneName("y");
  GatewaySettings reaching = fixture.settingsOf("b");
  for (GatewaySettings* const settings : {&cut_off, &reaching}) {
    settings->listen.delegation = Address{"127.0.0.1", 0};
  }
  const RunningGateway origin(cut_off);
  const RunningGateway delegate(reaching);
  awaitPeer(origin);
  awaitPeer(delegate);
  fixture.after_first = AfterFirst::kBreaksOff;
  size_t gone_on = 0;
  for (int number = 0; number < 20; ++number) {
    CallerStream stream;
    attempt(origin, stream, absl::StrCat("attempt-", number), absl::StrCat("body ", number));
    CAPTURE(number);
    CHECK(stream.versions.size() == 1);
    gone_on += stream.events.size() > 1 ? 1 : 0;
  }
  CHECK(gone_on == 20);
}

// Streams that broke off, and how many of them a second attempt completed.
struct TakenUp {
  std::vector<CallerStream> streams;
  size_t gone_on = 0;
  size_t crossed = 0;    // hold events of two versions
  std::string rejected;  // a response to one that didn't go on
};

// Streams of which the callers have the first event; they are open until the gateway ends.
class OpenStreams {
 public:
  OpenStreams(VersionedSite& fixture, const RunningGateway& gateway, bool names_attempt) {
    fixture.after_first = AfterFirst::kStalls;
    for (int number = 0; number < 24; ++number) {
      CallerStream stream;
      stream.names_attempt = names_attempt;
      begin(gateway, stream, absl::StrCat("first-", number), absl::StrCat("body ", number));
      taken_up.streams.push_back(stream);
    }
    fixture.after_first = AfterFirst::kGoesOn;
  }

  TakenUp taken_up;

 private:
  void begin(const RunningGateway& gateway, CallerStream& stream, const std::string& id,
             const std::string& body) {
    boost::asio::ip::tcp::socket& socket = sockets_.emplace_back(reactor_);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), gateway.callersPort()});
    boost::asio::write(socket, boost::asio::buffer(printAttempt(stream, id, body)));
    std::string answer;
    boost::system::error_code error;  // the stream's end, where it is rejected
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "data: v", error);
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "\n\n", error);
    CAPTURE(answer);
    noteEvents(stream, id, answer);
    REQUIRE(stream.last_event == 1);
  }

  boost::asio::io_context reactor_;
  std::deque<boost::asio::ip::tcp::socket> sockets_;
};

// A gateway that has just started waits with requests until it knows what its servers stand.
void awaitService(const RunningGateway& gateway) {
  await([&gateway] {
    CallerStream stream;
    attempt(gateway, stream, "new", "body");
    return stream.last_event == kEvents;
  });
}

void takeUp(const RunningGateway& gateway, TakenUp& taken_up) {
  for (size_t number = 0; number < taken_up.streams.size(); ++number) {
    CallerStream& stream = taken_up.streams[number];
    const std::string answer =
        attempt(gateway, stream, absl::StrCat("second-", number), absl::StrCat("body ", number));
    taken_up.gone_on += stream.last_event == kEvents ? 1 : 0;
    taken_up.rejected = stream.last_event == kEvents ? taken_up.rejected : answer;
    taken_up.crossed += stream.versions.size() > 1 ? 1 : 0;
  }
}

// The share that is asked for of streams that are taken up while two servers of their version serve.
bool goesOnOftenEnough(const TakenUp& taken_up) {
  return static_cast<double>(taken_up.gone_on) >= 0.95 * static_cast<double>(taken_up.streams.size());
}

using Gateways = std::vector<std::unique_ptr<RunningGateway>>;

Gateways startGateways(const VersionedSite& fixture, bool is_first_start, size_t count = 2) {
  Gateways gateways;
  for (size_t index = 0; index < count; ++index) {
    GatewaySettings settings = fixture.settingsOf(std::string(1, static_cast<char>('a' + index)));
    settings.site_is_new = is_first_start;
    gateways.push_back(std::make_unique<RunningGateway>(settings));
  }
  for (const auto& gateway : gateways) {
    awaitPeers(*gateway, count - 1);
  }
  return gateways;
}

// Kills all gateways and starts them again.
void restartAll(Gateways& gateways, const VersionedSite& fixture) {
  const size_t count = gateways.size();
  gateways.clear();
  gateways = startGateways(fixture, false, count);
  awaitService(*gateways[1]);
}

// Takes the streams up after a restart of all gateways, at which two servers of their version serve.
void checkGoesOnAfterRestart(Gateways& gateways, const VersionedSite& fixture, TakenUp& taken_up) {
  restartAll(gateways, fixture);
  takeUp(*gateways[1], taken_up);
  CAPTURE(taken_up.rejected);
  CHECK(taken_up.crossed == 0);
  CHECK(goesOnOftenEnough(taken_up));
}

void awaitServers(const RunningGateway& gateway, int count) {
  await([&] { return has(gateway.metrics(), absl::StrCat("quincewick_servers ", count, "\n")); });
}

// Waits until streams begin at the version.
void awaitSoftware(const RunningGateway& gateway, const std::string& software) {
  await([&] {
    CallerStream stream;
    attempt(gateway, stream, "new", "body");
    return stream.versions.contains(software);
  });
}

// Guards against streams that go on at the version that is listed now, which is no proof of the one that
// began them.
TEST_CASE("taken up after all gateways were killed: a stream goes on at no other version") {
  for (const bool names_attempt : {false, true}) {
    for (const bool began_beside_others : {false, true}) {
      CAPTURE(names_attempt, began_beside_others);
      VersionedSite fixture({"v1"});
      Gateways gateways = startGateways(fixture, true);
      if (began_beside_others) {
        fixture.addServers("v2");
        awaitServers(*gateways[0], 4);
      }
      OpenStreams open(fixture, *gateways[0], names_attempt);
      TakenUp& taken_up = open.taken_up;
      gateways.clear();
      fixture.removeServers("v1");
      if (!began_beside_others) {
        fixture.addServers("v2");
      }
      gateways = startGateways(fixture, false);
      awaitService(*gateways[1]);
      takeUp(*gateways[1], taken_up);
      CHECK(taken_up.crossed == 0);
    }
  }
}

// The same without a kill: the servers of one version take the place of another's.
TEST_CASE("taken up after a release: a stream goes on at no other version") {
  VersionedSite fixture({"v1"});
  const Gateways gateways = startGateways(fixture, true);
  OpenStreams open(fixture, *gateways[0], false);
  TakenUp& taken_up = open.taken_up;
  fixture.addServers("v2");
  awaitServers(*gateways[1], 4);
  fixture.removeServers("v1");
  awaitServers(*gateways[1], 2);
  takeUp(*gateways[1], taken_up);
  CHECK(taken_up.crossed == 0);
}

// Guards against records of streams that only memory holds: after a restart of all gateways nothing went on.
TEST_CASE("taken up after all gateways were killed: a stream goes on while its version serves") {
  for (const bool has_two_versions : {false, true}) {
    CAPTURE(has_two_versions);
    VersionedSite fixture({"v1"});
    Gateways gateways = startGateways(fixture, true);
    if (has_two_versions) {
      fixture.addServers("v2");
      awaitServers(*gateways[0], 4);
    }
    OpenStreams open(fixture, *gateways[0], true);
    checkGoesOnAfterRestart(gateways, fixture, open.taken_up);
  }
}

// Guards against a record in the store that names the version of an attempt that brought no event.
TEST_CASE(
    "taken up after all gateways were killed: a stream that failed at one version and began at another") {
  VersionedSite fixture({"v1"});
  Gateways gateways = startGateways(fixture, true);
  fixture.addServers("v2");
  awaitServers(*gateways[0], 4);
  fixture.is_first_server_broken = true;
  OpenStreams open(fixture, *gateways[0], true);
  fixture.is_first_server_broken = false;
  checkGoesOnAfterRestart(gateways, fixture, open.taken_up);
}

constexpr const char* kOtherRoute =
    R"(,{"name":"more","host":"h","pathPrefix":"/more/","kind":"streaming","timeoutMs":5000,"service":"other",
   "maxAttempts":2,"resumable":true})";

// Guards against streams that go on at the service that their route has now, when another one began them.
TEST_CASE("taken up after the route moved: a stream goes on at no other service") {
  const bool is_other_in_use = GENERATE(false, true);
  CAPTURE(is_other_in_use);
  const std::string more_routes = is_other_in_use ? kOtherRoute : "";
  VersionedSite fixture({"v1"});
  fixture.addServers("w1", "other");
  fixture.moveRoute(4, "pool", more_routes);
  const Gateways gateways = startGateways(fixture, true);
  awaitServers(*gateways[1], 4);
  OpenStreams open(fixture, *gateways[0], false);
  fixture.moveRoute(5, "other", more_routes);
  awaitSoftware(*gateways[1], "w1");
  takeUp(*gateways[1], open.taken_up);
  CHECK(open.taken_up.crossed == 0);
}

// Guards against a history that a restored store brings back without the versions that came since.
TEST_CASE("taken up after the restore of a store: a stream goes on at no other version") {
  VersionedSite fixture({"v1"});
  fixture.site.sendEra(true);
  Gateways gateways = startGateways(fixture, true);
  await([&] { return fixture.site.hasRows(SoftwareRecord::kTable); });
  fixture.site.saveCopy();
  fixture.addServers("v2");
  awaitServers(*gateways[0], 4);
  fixture.removeServers("v1");
  awaitSoftware(*gateways[0], "v2");
  OpenStreams open(fixture, *gateways[0], false);
  gateways.clear();
  fixture.site.restoreCopy();
  gateways = startGateways(fixture, false);
  awaitService(*gateways[1]);
  takeUp(*gateways[1], open.taken_up);
  CHECK(open.taken_up.crossed == 0);
}

// Guards against streams that are lost with all gateways since their version served alone when they began.
TEST_CASE(
    "taken up after the release: a stream that began before it goes on though all gateways were killed") {
  VersionedSite fixture({"v1"});
  Gateways gateways = startGateways(fixture, true, 5);
  OpenStreams open(fixture, *gateways[0], true);
  fixture.addServers("v2");
  awaitServers(*gateways[0], 4);
  awaitSoftware(*gateways[0], "v2");
  checkGoesOnAfterRestart(gateways, fixture, open.taken_up);
}

// Callers that don't name the attempt have a proof while one version alone has been in service.
TEST_CASE("taken up without the attempt: a stream goes on while its version alone has served") {
  VersionedSite fixture({"v1"});
  Gateways gateways = startGateways(fixture, true);
  OpenStreams open(fixture, *gateways[0], false);
  checkGoesOnAfterRestart(gateways, fixture, open.taken_up);
}

}  // namespace
}  // namespace quincewick::gateway
