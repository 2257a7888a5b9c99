// Checks a history that keeps every promise, and for each promise a history that breaks it.
#include "history.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace quincewick::soak {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);

Request makeRequest(const std::string& attempt, RequestKind kind) {
  Request request;
  request.attempt = attempt;
  request.kind = kind;
  request.gateway = "g-1";
  request.service =
      kind == RequestKind::kNonRepeatable || kind == RequestKind::kRepeatable ? "calls" : "streams";
  request.key = "key";
  request.sent = kStart;
  request.ended = kStart + absl::Milliseconds(50);
  request.outcome = RequestOutcome::kCompleted;
  request.status = 200;
  request.signature = "of " + attempt;
  request.body = "answer to " + attempt;
  return request;
}

Arrival makeArrival(const Request& request) {
  Arrival arrival;
  arrival.attempt = request.attempt;
  arrival.back_end = "s-1";
  arrival.service = request.service;
  arrival.gateway = request.gateway;
  arrival.at = kStart + absl::Milliseconds(2);
  arrival.ran = true;
  arrival.status = 200;
  arrival.signature = "of " + request.attempt;
  arrival.body = "answer to " + request.attempt;
  return arrival;
}

struct CleanHistory {
  History history;

  CleanHistory() {
    history.events_per_stream = 3;
    history.recovery = absl::Seconds(1);
    for (const RequestKind kind : {RequestKind::kRepeatable, RequestKind::kNonRepeatable,
                                   RequestKind::kResumableStream, RequestKind::kStream}) {
      Request request = makeRequest("a-" + std::to_string(history.requests.size()), kind);
      if (kind == RequestKind::kResumableStream || kind == RequestKind::kStream) {
        request.events = {1, 2, 3};
      }
      history.requests.push_back(request);
      history.arrivals.push_back(makeArrival(request));
    }
  }
  Request& repeatable() { return history.requests[0]; }
  Request& once() { return history.requests[1]; }
  Request& stream() { return history.requests[3]; }
  Arrival& arrivalOfOnce() { return history.arrivals[1]; }

  // Names of the broken promises.
  std::vector<std::string> broken() const {
    std::vector<std::string> names;
    for (const PromiseResult& result : checkPromises(history, Bounds(), true)) {
      if (!result.violations.empty()) {
        names.push_back(result.promise);
      }
    }
    return names;
  }
  bool breaks(const std::string& promise) const { return broken() == std::vector<std::string>{promise}; }
};

TEST_CASE_METHOD(CleanHistory, "a clean history keeps all promises") {
  CHECK(broken().empty());
  CHECK(checkPromises(history, Bounds(), true).size() == 23);
  CHECK(checkPromises(history, Bounds(), false).size() == 15);
}

TEST_CASE_METHOD(CleanHistory,
                 "a gateway that answers no readiness polls is a violation, unless it is disturbed") {
  const absl::Time begin = history.requests.front().sent;
  for (int second = 0; second < 5; ++second) {
    CHECK(broken().empty());
    history.readiness_polls.push_back({"g-hung", begin + absl::Seconds(second), false});
  }
  CHECK(breaks("an undisturbed gateway answers when it is asked whether it is ready"));
  history.disturbances.push_back({"g-hung", begin, begin + absl::Seconds(1), false});
  CHECK(broken().empty());
}

TEST_CASE_METHOD(CleanHistory, "a first token under weights that are past their bound is a violation") {
  const std::string promise = "no request begins under weights that are past their bound";
  history.weights_namings = {{2, kStart}, {3, kStart + absl::Seconds(4)}};
  const std::string attempt = stream().attempt;
  const auto begin_at = [&](uint64_t weights, absl::Duration at) {
    history.begins = {{attempt, "e", weights, kStart + at, kStart}};
  };
  begin_at(1, absl::Seconds(8));
  CHECK(broken().empty());
  begin_at(1, absl::Milliseconds(8001));
  CHECK(breaks(promise));
  begin_at(2, absl::Milliseconds(8001));
  CHECK(broken().empty());
  begin_at(2, absl::Milliseconds(12001));
  CHECK(breaks(promise));
  begin_at(3, absl::Minutes(1));
  CHECK(broken().empty());
  // Time counts anew once its gateway has settled after a disturbance.
  begin_at(1, absl::Milliseconds(8001));
  history.disturbances.push_back({stream().gateway, kStart + absl::Seconds(2), kStart + absl::Seconds(2)});
  CHECK(broken().empty());
  begin_at(1, absl::Milliseconds(13001));
  CHECK(breaks(promise));
}

TEST_CASE_METHOD(CleanHistory, "a second execution of a request that may run once is a violation") {
  history.arrivals.push_back(arrivalOfOnce());
  CHECK(breaks("what may run once runs at most once"));
}

TEST_CASE_METHOD(CleanHistory, "a second arrival that was not executed is no violation") {
  history.arrivals.push_back(arrivalOfOnce());
  history.arrivals.back().ran = false;
  CHECK(broken().empty());
}

TEST_CASE_METHOD(CleanHistory, "a refusal of a request that ran or runs later is a violation") {
  once().status = 503;
  once().signature = "";
  arrivalOfOnce().at = kStart + absl::Seconds(9);
  CHECK(breaks("what was refused has not run and never does"));
}

TEST_CASE_METHOD(CleanHistory, "a response to another request is a violation") {
  repeatable().body = "answer to a-1";
  CHECK(breaks("each caller gets its own answer, whole"));
}

TEST_CASE_METHOD(CleanHistory, "a truncated response is a violation") {
  repeatable().body.pop_back();
  CHECK(breaks("each caller gets its own answer, whole"));
}

TEST_CASE_METHOD(CleanHistory, "a success that no back end signed is a violation") {
  repeatable().signature = "";
  CHECK(breaks("each caller gets its own answer, whole"));
}

TEST_CASE_METHOD(CleanHistory, "a back end's failure under another status is a violation") {
  repeatable().status = 502;
  CHECK(breaks("each caller gets its own answer, whole"));
}

TEST_CASE_METHOD(CleanHistory,
                 "events that are out of order, duplicated, missing or foreign are violations") {
  for (const std::vector<int>& events :
       {std::vector<int>{1, 3, 2}, std::vector<int>{1, 2, 2, 3}, std::vector<int>{1, 2}}) {
    stream().events = events;
    CHECK(breaks("streams are whole and in order"));
  }
  stream().events = {1, 2, 3};
  stream().has_foreign_event = true;
  CHECK(breaks("streams are whole and in order"));
}

TEST_CASE_METHOD(CleanHistory, "a stream with events of two software versions is a violation") {
  stream().versions = {"v1", "v2"};
  CHECK(breaks("a stream holds events of one software version"));
  stream().versions = {"v1"};
  CHECK(broken().empty());
  Request taken_up = makeRequest("a-9", RequestKind::kResumableStream);
  taken_up.stream = stream().attempt;
  taken_up.last_event_before = 2;
  taken_up.events = {3};
  taken_up.versions = {"v1"};
  history.requests.push_back(taken_up);
  history.arrivals.push_back(makeArrival(taken_up));
  CHECK(broken().empty());
  history.requests.back().versions = {"v2"};
  CHECK(breaks("a stream holds events of one software version"));
}

TEST_CASE_METHOD(CleanHistory, "a stream whose connection ends early is no violation") {
  stream().events = {1, 2};
  stream().outcome = RequestOutcome::kConnectionLost;
  CHECK(broken().empty());
}

TEST_CASE_METHOD(CleanHistory,
                 "an execution at another service, or of a request that no caller sent, is a violation") {
  arrivalOfOnce().service = "streams";
  CHECK(breaks("requests run at their route's service alone"));
  arrivalOfOnce().service = "calls";
  history.arrivals.push_back(arrivalOfOnce());
  history.arrivals.back().attempt = "nobody's";
  CHECK(breaks("requests run at their route's service alone"));
}

TEST_CASE_METHOD(CleanHistory, "a gateway that doesn't know a route of every configuration is a violation") {
  once().status = 404;
  once().signature = "";
  history.arrivals.erase(history.arrivals.begin() + 1);
  CHECK(breaks("a route that every configuration has is always known"));
}

TEST_CASE_METHOD(CleanHistory, "an added route that isn't known in time is a violation") {
  once().status = 404;
  once().signature = "";
  once().uses_added_route = true;
  history.arrivals.erase(history.arrivals.begin() + 1);
  const absl::Duration bound = Bounds().configuration_in_force;
  history.route_changes = {{once().sent - bound, true}};
  CHECK(breaks("an added route is known in time"));
  history.route_changes.push_back({once().sent, false});
  CHECK(broken().empty());
  history.route_changes = {{once().sent - bound + absl::Milliseconds(1), true}};
  CHECK(broken().empty());
}

TEST_CASE_METHOD(
    CleanHistory,
    "a request cut by a planned stop is a violation, unless another fault disturbs the gateway") {
  history.disturbances.push_back({"g-1", kStart - absl::Seconds(1), kStart + absl::Seconds(7), true});
  CHECK(broken().empty());
  once().outcome = RequestOutcome::kConnectionLost;
  CHECK(breaks("a planned stop cuts nothing"));
  history.disturbances.push_back({"", kStart - absl::Seconds(2), kStart - absl::Seconds(2), false});
  CHECK(broken().empty());
}

TEST_CASE_METHOD(CleanHistory, "retries beyond the budget are a violation") {
  for (int count = 0; count < 56; ++count) {
    history.arrivals.push_back(makeArrival(repeatable()));
  }
  CHECK(breaks("repeats stay within the site's budget"));
}

TEST_CASE_METHOD(CleanHistory, "a process that exits by itself or grows is a violation") {
  history.unexpected_exits.push_back({"g-1", 11});
  CHECK(breaks("processes live on, and stay small"));
  history.unexpected_exits.clear();
  history.sizes.push_back({"g-1", uint64_t{100} << 20, 40});
  CHECK(breaks("processes live on, and stay small"));
}

TEST_CASE_METHOD(CleanHistory,
                 "an arrival at a back end that left is a violation, unless its gateway was disturbed") {
  history.departures.push_back({"s-1", kStart - absl::Seconds(2.1)});
  CHECK(breaks("nothing new comes to a back end that left"));
  history.disturbances.push_back({"g-1", kStart - absl::Seconds(1), kStart - absl::Seconds(1), false});
  CHECK(broken().empty());
}

TEST_CASE_METHOD(
    CleanHistory,
    "an arrival at a back end that announced leaving is a violation, unless its gateway was disturbed") {
  history.arrivals[0].announced_leaving = true;
  history.arrivals[0].head_sent = kStart;
  Arrival late = history.arrivals[0];
  late.announced_leaving = false;
  late.at = kStart + absl::Milliseconds(2100);
  history.arrivals.push_back(late);
  CHECK(broken() == std::vector<std::string>{"nothing new comes to a back end that said that it leaves"});
  history.arrivals.back().back_end_started += absl::Seconds(1);
  CHECK(broken().empty());
  history.arrivals.back().back_end_started -= absl::Seconds(1);
  history.disturbances.push_back({"g-1", kStart + absl::Seconds(1), kStart + absl::Seconds(1), false});
  CHECK(broken().empty());
}

TEST_CASE_METHOD(CleanHistory,
                 "an arrival is attributed to the gateway that its caller used, whichever port received it") {
  history.arrivals[0].gateway = "g-2";
  attributeArrivals(history);
  CHECK(history.arrivals[0].gateway == "g-1");
}

TEST_CASE_METHOD(
    CleanHistory,
    "more than two arrivals in a back-off period from the gateway that it was sent to are a violation") {
  history.arrivals[0].requested_back_off = absl::Seconds(3);
  history.arrivals[0].head_sent = kStart;
  for (int count = 0; count < 3; ++count) {
    CHECK(broken().empty());
    Arrival arrival = history.arrivals[1];
    arrival.at = kStart + absl::Milliseconds(600 + count);
    arrival.attempt = "further";
    arrival.ran = false;
    history.arrivals.push_back(arrival);
  }
  CHECK(broken() == std::vector<std::string>{"a back end at rest is left alone"});
  for (size_t index = 4; index < history.arrivals.size(); ++index) {
    history.arrivals[index].gateway = "g-2";
  }
  CHECK(broken().empty());
}

TEST_CASE_METHOD(CleanHistory, "more rejections in a second than a brittle back end stands are a violation") {
  const auto add = [this](absl::Duration at) {
    Arrival arrival = history.arrivals[1];
    arrival.at = kStart + at;
    arrival.attempt = "further";
    arrival.ran = false;
    arrival.announced_max_rejections = 2;
    arrival.is_rejected_for_room = true;
    history.arrivals.push_back(arrival);
  };
  add(absl::ZeroDuration());
  add(absl::Milliseconds(500));
  add(absl::Milliseconds(1000));
  CHECK(broken().empty());
  add(absl::Milliseconds(999));
  CHECK(breaks("a brittle back end rejects no more in a second than it stands"));
}

TEST_CASE_METHOD(
    CleanHistory,
    "more arrivals than a rate allows are a violation, summed over the gateways that received it") {
  const auto add = [this](const char* gateway, absl::Duration at, std::optional<double> rate) {
    Arrival arrival = history.arrivals[1];
    arrival.gateway = gateway;
    arrival.at = kStart + at;
    arrival.head_sent = arrival.at;
    arrival.attempt = "further";
    arrival.ran = false;
    arrival.advertised_rate = rate;
    history.arrivals.push_back(arrival);
  };
  add("g-1", absl::ZeroDuration(), 1);
  add("g-2", absl::ZeroDuration(), 1);
  for (int count = 0; count < 11; ++count) {
    add(count % 2 == 0 ? "g-1" : "g-2", absl::Milliseconds(3100 + count), 1);
    add("g-3", absl::Milliseconds(3100 + count), 1);  // received the rate only now
  }
  CHECK(broken().empty());
  add("g-1", absl::Milliseconds(3300), 1);
  CHECK(broken() ==
        std::vector<std::string>{"a back end that named a rate gets no more from gateways that it told"});
  // The back end stopped advertising a rate before the last arrival.
  add("g-3", absl::Milliseconds(3200), std::nullopt);
  CHECK(broken().empty());
}

TEST_CASE_METHOD(CleanHistory, "an execution under a revoked key is a violation, from any gateway") {
  history.key_removals.push_back({"key", kStart - absl::Seconds(6)});
  history.disturbances.push_back({"g-1", kStart, kStart, false});
  CHECK(breaks("no request runs under a key that was taken away"));
}

TEST_CASE_METHOD(CleanHistory,
                 "orders of two lease holders under one fencing token are a violation, however far apart") {
  history.orders = {{"e-1", "g-1", 7, kStart}, {"e-2", "g-2", 7, kStart + absl::Seconds(9)}};
  CHECK(breaks("no two holders give orders under one fence, and fences rise"));
  history.orders[1].fence = 8;
  CHECK(broken().empty());
}

TEST_CASE_METHOD(
    CleanHistory,
    "a lower fencing token of a later holder is a violation, also if orders are recorded out of order") {
  history.orders = {{"e-1", "g-3", 6, kStart + absl::Seconds(9)},
                    {"e-1", "g-1", 7, kStart},
                    {"e-1", "g-2", 8, kStart + absl::Seconds(4)}};
  CHECK(broken() == std::vector<std::string>{"no two holders give orders under one fence, and fences rise"});
  history.orders[0].fence = 9;
  CHECK(broken().empty());
}

TEST_CASE_METHOD(CleanHistory,
                 "many orders of one holder under one fencing token, to several engines, are no violation") {
  history.orders = {{"e-1", "g-1", 7, kStart}, {"e-2", "g-1", 7, kStart}, {"e-1", "g-1", 7, kStart}};
  CHECK(broken().empty());
}

TEST_CASE_METHOD(
    CleanHistory,
    "orders of two holders within a lease are a violation, also with another holder's order between") {
  history.orders = {{"e-1", "g-1", 7, kStart},
                    {"e-2", "g-2", 8, kStart + Bounds().order_lease - absl::Milliseconds(1)}};
  CHECK(breaks("orders of two holders lie a lease apart"));
  history.orders[1].at += absl::Milliseconds(1);
  CHECK(broken().empty());
  history.orders.push_back({"e-3", "g-1", 9, kStart + Bounds().order_lease + absl::Seconds(2)});
  CHECK(breaks("orders of two holders lie a lease apart"));
}

// Guards against a gateway that confirms an older configuration than the store had: the store was restored,
// and reads whose rows were passed over renewed the age.
TEST_CASE_METHOD(CleanHistory,
                 "a configuration that is older than the read that confirmed it is a violation") {
  history.stored_configurations = {{kStart, 4}, {kStart + absl::Seconds(5), 6}};
  ConfigurationClaim claim{"g-1", "a-1", 4, kStart + absl::Seconds(4), kStart + absl::Seconds(7)};
  history.configuration_claims = {claim};
  CHECK(broken().empty());
  history.configuration_claims[0].read_began = kStart + absl::Seconds(6);
  CHECK(breaks("what a gateway holds to be confirmed is as new as the read that confirmed it"));
  // The store was restored from an older copy after the read began.
  history.stored_configurations.push_back({kStart + absl::Milliseconds(6500), 4});
  CHECK(broken().empty());
}

TEST_CASE_METHOD(CleanHistory, "a site that doesn't recover in time is a violation") {
  history.recovery = absl::Seconds(13);
  CHECK(breaks("it serves again soon after the last fault"));
}

}  // namespace
}  // namespace quincewick::soak
