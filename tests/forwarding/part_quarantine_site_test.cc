// Simulates a site in virtual time whose servers crash when they begin to answer a request with one of a few
// parts in its prompt. Sound requests share the caller and all other parts. Servers crash by themselves too,
// gateways are restarted and cut off, and their messages are delayed and lost.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "forwarding/part_quarantine.h"

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(5);
constexpr absl::Duration kContact = absl::Seconds(3);  // maximum age of what a connected gateway knows
constexpr absl::Duration kRecordIsRead = absl::Milliseconds(1500);  // after a start
constexpr absl::Duration kGossip = absl::Seconds(1);
constexpr absl::Duration kLongestWait = absl::Seconds(1);
constexpr absl::Duration kBatchDelay = absl::Milliseconds(20);
constexpr size_t kGossipTo = 2;
constexpr size_t kCrashesAllowed = 5;
constexpr size_t kFurtherSendsAllowed = 3;
constexpr double kLeastSoundShare = 0.98;
constexpr size_t kLeastSoundRequests = 20;
constexpr uint64_t kService = 1;
constexpr uint64_t kFirstDeadlyPart = 900;

// Where in the prompt the part that crashes servers stands.
enum class Place : uint8_t { kFirst, kLast, kBetween };

struct Load {
  size_t gateways = 7;
  size_t servers = 18;
  size_t deadly = 1;  // parts that crash servers
  double deadly_a_second = 2;
  Place place = Place::kLast;
  size_t deadly_neighbours = 3;  // sound parts that the requests with one deadly part draw their others from
  double sound_a_second = 100;
  size_t roots = 4;              // first parts of sound requests
  size_t subjects = 40;          // their second parts; some are rare
  double crashes_a_second = 0;   // of servers by themselves
  double share_at_once = 0;      // of the servers that crash together every eight seconds
  double restarts_a_second = 0;  // of gateways
  double cuts_a_second = 0;      // of gateways from all others, for two seconds
  double loss = 0;               // of messages
};

class Site {
 public:
  Site(const Load& load, uint64_t seed)
      : load_(load), random_(seed), gateways_(load.gateways), servers_(load.servers) {
    for (Gateway& gateway : gateways_) {
      gateway.parts = std::make_unique<PartQuarantine>();
    }
    for (Server& server : servers_) {
      server.incarnation = ++last_incarnation_;
    }
  }

  void run(absl::Duration time) {
    for (const absl::Time end = now_ + time; now_ < end;) {
      step();
    }
  }

  // The number of gateways and servers stays.
  void setLoad(const Load& load) { load_ = load; }
  size_t maxFurtherSends() const {
    size_t most = 0;
    for (const auto& [part, deadly] : deadly_) {
      most = std::max(most, deadly.further);
    }
    return most;
  }
  // Of the sound requests with the first part of deadly ones, at gateways that weren't restarted or cut off
  // lately, from twice the contact time after the last part's fifth crash on: the share that was sent at
  // once.
  double soundShare() const {
    return sound_ < kLeastSoundRequests ? 1
                                        : static_cast<double>(sound_at_once_) / static_cast<double>(sound_);
  }

 private:
  struct Gateway {
    std::unique_ptr<PartQuarantine> parts = nullptr;
    absl::Time started = absl::InfinitePast();
    absl::Time cut_until = absl::InfinitePast();
    absl::Time gossip = absl::InfinitePast();
    bool has_read_record = false;
  };
  struct Attempt {
    PartCarrier carrier;
    size_t gateway = 0;
    absl::Time finishes_at;
    std::optional<PartKey> deadly;
    int sends_left = 1;
    absl::Time wait_ends = absl::InfiniteFuture();
  };
  struct Server {
    uint64_t incarnation = 0;
    absl::Time up = absl::InfinitePast();
    std::vector<Attempt> runs;
  };
  struct Culprit {
    size_t crashes = 0;
    absl::Time last_allowed_crash = absl::InfiniteFuture();
    size_t further = 0;
  };
  struct Message {
    size_t from = 0;
    size_t to = 0;
    std::vector<PartCrash> crashes = {};
    std::vector<AccusedParts> accused = {};
    std::vector<ServedPart> served = {};
    std::vector<QuarantinedParts> quarantined = {};
  };

  double uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(random_); }
  size_t draw(size_t count) {
    return std::min(count - 1, static_cast<size_t>(uniform(0, static_cast<double>(count))));
  }
  bool happens(double a_second) { return uniform(0, 1) < a_second * absl::ToDoubleSeconds(kStep); }
  bool isInTouch(const Gateway& gateway) const {
    return now_ - gateway.started > kContact && now_ - gateway.cut_until > kContact;
  }

  void step() {
    now_ += kStep;
    for (size_t index = 0; index < gateways_.size(); ++index) {
      settle(index);
      readRecord(gateways_[index]);
    }
    deliver();
    finishAttempts();
    for (size_t index = 0; index < load_.deadly; ++index) {
      if (happens(load_.deadly_a_second)) {
        arrive(deadlyRequest(index));
      }
    }
    for (double owed = load_.sound_a_second * absl::ToDoubleSeconds(kStep); owed > 0; owed -= 1) {
      if (uniform(0, 1) < owed) {
        arrive(soundRequest());
      }
    }
    crashAtRandom();
    disturbGateways();
    gossip();
  }

  // Subjects of a root are drawn unevenly: the last ones are rare.
  PartKey subjectOf(size_t root) {
    const double drawn = uniform(0, 1);
    return PartKey(1'000 * (root + 1) +
                   static_cast<uint64_t>(drawn * drawn * drawn * static_cast<double>(load_.subjects)));
  }

  Attempt soundRequest() {
    const size_t root = draw(load_.roots);
    Attempt run;
    run.carrier = {++last_request_, {PartKey(100 + root), subjectOf(root)}};
    run.sends_left = 2;
    return run;
  }

  Attempt deadlyRequest(size_t index) {
    const PartKey deadly(kFirstDeadlyPart + index);
    const size_t root = index % load_.roots;
    const PartKey first(100 + root);
    const PartKey neighbour(1'000 * (root + 1) + draw(load_.deadly_neighbours));
    Attempt run;
    run.deadly = deadly;
    run.carrier.request = ++last_request_;
    switch (load_.place) {
      case Place::kFirst:
        run.carrier.parts = {deadly, neighbour};
        break;
      case Place::kLast:
        run.carrier.parts = {first, deadly};
        break;
      case Place::kBetween:
        run.carrier.parts = {first, deadly, neighbour};
        break;
    }
    return run;
  }

  void settle(size_t index) {
    PartQuarantine& parts = *gateways_[index].parts;
    std::vector<AccusedParts> accused = {};
    for (const QuarantinedParts& quarantined : parts.settle(now_, accused)) {
      record_.insert(quarantined.parts);
      broadcast(index, {.quarantined = {quarantined}});
      broadcast(index, {.quarantined = {quarantined}});
    }
    accuse(index, accused);
  }

  void accuse(size_t gateway, const std::vector<AccusedParts>& accused) {
    if (!accused.empty()) {
      broadcast(gateway, {.accused = accused});
    }
  }

  // Reads the store's rows, as through the zone reader.
  void readRecord(Gateway& gateway) {
    if (gateway.has_read_record || now_ - gateway.started < kRecordIsRead) {
      return;
    }
    gateway.has_read_record = true;
    for (const std::vector<PartKey>& parts : record_) {
      gateway.parts->noteQuarantined({parts, kService, absl::Hours(24), absl::Hours(24), {0}, false}, now_);
    }
  }

  bool mayCount(const Attempt& run) const {
    if (run.deadly || deadly_.size() < load_.deadly || load_.deadly == 0) {
      return false;
    }
    const bool is_late = std::all_of(deadly_.begin(), deadly_.end(), [this](const auto& entry) {
      return now_ > entry.second.last_allowed_crash + 2 * kContact;
    });
    return is_late && run.carrier.parts[0].value() < 100 + load_.deadly && isInTouch(gateways_[run.gateway]);
  }

  void arrive(Attempt run) {
    const bool is_waiting = run.wait_ends != absl::InfiniteFuture();
    run.gateway = is_waiting ? run.gateway : draw(gateways_.size());
    const bool counts = !is_waiting && run.sends_left == 2 && mayCount(run);
    sound_ += counts ? 1 : 0;
    switch (verdictOn(run)) {
      case CrashVerdict::kReject:
        return;
      case CrashVerdict::kWait:
        run.wait_ends = std::min(run.wait_ends, now_ + kLongestWait);
        if (now_ < run.wait_ends) {
          scheduled_.emplace(now_ + absl::Milliseconds(10), run);
          return;
        }
        break;
      case CrashVerdict::kSend:
        break;
    }
    sound_at_once_ += counts ? 1 : 0;
    send(run);
  }

  void send(Attempt& run) {
    std::vector<Server*> up;
    for (Server& server : servers_) {
      if (server.up <= now_) {
        up.push_back(&server);
      }
    }
    if (up.empty()) {
      return;
    }
    if (run.deadly) {
      Culprit& deadly = deadly_[*run.deadly];
      const bool is_late = now_ > deadly.last_allowed_crash + kContact;
      deadly.further += isInTouch(gateways_[run.gateway]) && is_late ? 1 : 0;
    }
    run.finishes_at = now_ + absl::Milliseconds(run.deadly ? uniform(20, 200) : uniform(100, 2500));
    gateways_[run.gateway].parts->noteSent(run.carrier);
    up[draw(up.size())]->runs.push_back(run);
  }

  // One gateway takes the trial of each set of parts, or another one a little later.
  CrashVerdict verdictOn(const Attempt& run) {
    PartQuarantine& parts = *gateways_[run.gateway].parts;
    uint64_t subject = 0;
    for (const PartKey part : parts.partsOnTrial(run.carrier)) {
      subject += part.value();
    }
    if (parts.isTrialDue(run.carrier, subject % gateways_.size() == run.gateway, now_)) {
      broadcast(run.gateway, {.quarantined = parts.takeTrial(run.carrier, now_)});
    }
    return parts.verdictOn(run.carrier, now_);
  }

  void finishAttempts() {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now_) {
      const Attempt run = scheduled_.begin()->second;
      scheduled_.erase(scheduled_.begin());
      arrive(run);
    }
    for (Server& server : servers_) {
      const auto due = std::find_if(server.runs.begin(), server.runs.end(), [this](const Attempt& run) {
        return run.deadly && run.finishes_at <= now_;
      });
      if (due != server.runs.end()) {
        noteCrashedBy(*due->deadly);
        crash(server);
        continue;
      }
      std::vector<Attempt> left;
      for (const Attempt& run : server.runs) {
        if (run.finishes_at > now_) {
          left.push_back(run);
        } else {
          serve(run);
        }
      }
      server.runs = std::move(left);
    }
  }

  void serve(const Attempt& run) {
    for (const QuarantineChange& change :
         gateways_[run.gateway].parts->noteServed(kService, run.carrier.parts, now_)) {
      record_.erase(change.before);
      if (!change.after.empty()) {
        record_.insert(change.after);
      }
      for (const PartKey part : run.carrier.parts) {
        broadcast(run.gateway, {.served = {{part, absl::ZeroDuration()}}});
      }
    }
  }

  void noteCrashedBy(PartKey part) {
    Culprit& deadly = deadly_[part];
    if (++deadly.crashes == kCrashesAllowed) {
      deadly.last_allowed_crash = now_;
    }
  }

  // Ends all attempts there. Each gateway reports its requests in flight, and sound ones are sent once more.
  void crash(Server& server) {
    std::map<size_t, std::vector<PartCarrier>> in_flight;
    for (const Attempt& run : server.runs) {
      in_flight[run.gateway].push_back(run.carrier);
      if (run.sends_left > 1) {
        Attempt again = run;
        again.sends_left -= 1;
        again.wait_ends = absl::InfiniteFuture();
        scheduled_.emplace(now_ + absl::Milliseconds(uniform(2, 300)), again);
      }
    }
    for (const auto& [gateway, requests] : in_flight) {
      const PartCrash report{server.incarnation, kService, requests};
      accuse(gateway, gateways_[gateway].parts->noteCrash(report, true, now_));
      broadcast(gateway, {.crashes = {report}});
    }
    server.runs.clear();
    server.incarnation = ++last_incarnation_;
    server.up = now_ + absl::Milliseconds(uniform(1000, 4000));
  }

  void crashAtRandom() {
    if (happens(load_.crashes_a_second)) {
      crash(servers_[draw(servers_.size())]);
    }
    if (load_.share_at_once > 0 && now_ >= next_burst_) {
      next_burst_ = now_ + absl::Seconds(8);
      for (Server& server : servers_) {
        if (uniform(0, 1) < load_.share_at_once) {
          crash(server);
        }
      }
    }
  }

  // Evidence of less than the allowed crashes is lost if all gateways stop within the time they need to
  // update each other, so disturbances are spaced out here.
  void disturbGateways() {
    if (gateways_.size() == 1 || now_ - last_disturbance_ < kContact) {
      return;
    }
    Gateway& gateway = gateways_[draw(gateways_.size())];
    if (happens(load_.restarts_a_second)) {
      last_disturbance_ = now_;
      auto parts = std::make_unique<PartQuarantine>();
      gateway = Gateway{};
      gateway.parts = std::move(parts);
      gateway.started = now_;
    } else if (happens(load_.cuts_a_second)) {
      last_disturbance_ = now_;
      gateway.cut_until = now_ + absl::Seconds(2);
    }
  }

  void broadcast(size_t from, Message message) {
    message.from = from;
    for (size_t to = 0; to < gateways_.size(); ++to) {
      if (to != from) {
        message.to = to;
        post(message);
      }
    }
  }

  void post(const Message& message) {
    const bool is_cut = gateways_[message.from].cut_until > now_ || gateways_[message.to].cut_until > now_;
    if (!is_cut && uniform(0, 1) >= load_.loss) {
      in_transit_.emplace(now_ + kBatchDelay + absl::Milliseconds(uniform(5, 60)), message);
    }
  }

  void deliver() {
    while (!in_transit_.empty() && in_transit_.begin()->first <= now_) {
      const Message message = in_transit_.begin()->second;
      in_transit_.erase(in_transit_.begin());
      PartQuarantine& parts = *gateways_[message.to].parts;
      for (const ServedPart& served : message.served) {
        parts.noteServedElsewhere(served, now_);
      }
      for (const PartCrash& crash : message.crashes) {
        accuse(message.to, parts.noteCrash(crash, false, now_));
      }
      for (const AccusedParts& accused : message.accused) {
        const std::vector<ServedPart> served = parts.objectionsTo(accused, now_);
        parts.noteAccused(accused, now_);
        if (!served.empty()) {
          post({.from = message.to, .to = message.from, .served = served});
        }
      }
      for (const QuarantinedParts& quarantined : message.quarantined) {
        for (const ServedPart& served : parts.objectionsTo(quarantined, now_)) {
          broadcast(message.to, {.served = {served}});
        }
        parts.noteQuarantined(quarantined, now_);
      }
    }
  }

  void gossip() {
    for (size_t from = 0; from < gateways_.size(); ++from) {
      Gateway& gateway = gateways_[from];
      if (now_ - gateway.gossip < kGossip) {
        continue;
      }
      gateway.gossip = now_;
      const Message state{.from = from,
                          .crashes = gateway.parts->unresolvedCrashes(64, now_),
                          .quarantined = gateway.parts->quarantined(16, now_)};
      for (size_t count = 0; count < kGossipTo; ++count) {
        Message message = state;
        message.to = draw(gateways_.size());
        if (!state.quarantined.empty() || !state.crashes.empty()) {
          post(message);
        }
      }
    }
  }

  Load load_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::UnixEpoch() + absl::Hours(1);
  absl::Time next_burst_ = now_ + absl::Seconds(2);
  std::vector<Gateway> gateways_;
  std::vector<Server> servers_;
  std::map<PartKey, Culprit> deadly_;
  std::multimap<absl::Time, Attempt> scheduled_;
  std::multimap<absl::Time, Message> in_transit_;
  std::set<std::vector<PartKey>> record_;
  absl::Time last_disturbance_ = absl::InfinitePast();
  uint64_t last_request_ = 0;
  uint64_t last_incarnation_ = 1'000;
  size_t sound_ = 0;
  size_t sound_at_once_ = 0;
};

Load arbitraryLoad() {
  Load load;
  load.gateways = *rc::gen::element<size_t>(3, 7, 12, 30, 60);
  load.servers = *rc::gen::inRange<size_t>(10, 91);
  load.deadly = *rc::gen::inRange<size_t>(1, 4);
  load.deadly_a_second = *rc::gen::element(0.3, 1.0, 3.0, 10.0);
  load.place = *rc::gen::element(Place::kFirst, Place::kLast, Place::kBetween);
  load.deadly_neighbours = *rc::gen::element<size_t>(1, 3, 20);
  load.sound_a_second = *rc::gen::element(20.0, 100.0, 300.0);
  load.roots = *rc::gen::inRange<size_t>(1, 6);
  load.subjects = *rc::gen::element<size_t>(20, 200, 1000);
  load.crashes_a_second = *rc::gen::element(0.0, 0.1, 0.3);
  load.share_at_once = *rc::gen::element(0.0, 0.0, 0.3);
  load.restarts_a_second = *rc::gen::element(0.0, 0.0, 0.1);
  load.cuts_a_second = *rc::gen::element(0.0, 0.0, 0.1);
  load.loss = *rc::gen::element(0.0, 0.02);
  return load;
}

// A site that has served only sound requests for a while, then goes through the load.
Site siteAfter(const Load& load) {
  Load calm = load;
  calm.deadly = 0;
  calm.crashes_a_second = calm.share_at_once = 0;
  Site site(calm, *rc::gen::arbitrary<uint64_t>());
  site.run(absl::Seconds(4));
  site.setLoad(load);
  site.run(absl::Seconds(40));
  return site;
}

TEST_CASE("requests with a part that crashes servers are rejected in time, whatever else crashes") {
  CHECK(rc::check([] { RC_ASSERT(siteAfter(arbitraryLoad()).maxFurtherSends() <= kFurtherSendsAllowed); }));
}

TEST_CASE("sound requests with the other parts of those that crash servers are sent at once") {
  CHECK(rc::check([] { RC_ASSERT(siteAfter(arbitraryLoad()).soundShare() >= kLeastSoundShare); }));
}

}  // namespace
}  // namespace quincewick::forwarding
