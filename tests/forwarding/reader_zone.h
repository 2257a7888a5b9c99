// A zone's gateways on virtual time, as they follow the store's list of servers and the operator's rows: by
// themselves, or through the peer that reads for the zone.
#pragma once

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include "forwarding/confirmation_schedule.h"
#include "forwarding/lapsed_entries.h"
#include "forwarding/polling_schedule.h"
#include "forwarding/reader_election.h"

namespace quincewick::forwarding {

inline constexpr absl::Duration kStep = absl::Milliseconds(10);
inline constexpr absl::Duration kTick = absl::Milliseconds(100);
inline constexpr absl::Duration kSilentCall =
    absl::Milliseconds(1500);                               // until a call without an answer is given up
inline constexpr absl::Duration kBound = absl::Seconds(2);  // for leaving servers
// Of the bound: for the request's own way to its server, a new connection included.
inline constexpr absl::Duration kWay = absl::Milliseconds(300);
// Until a follower gives up a question that its reader does not answer, the time that it is held included.
inline constexpr absl::Duration kRelayLimit = absl::Milliseconds(1700);
// A peer that says nothing counts as there for so long.
inline constexpr absl::Duration kSilence = absl::Seconds(2);
// Disturbed so lately, a gateway is not bound yet.
inline constexpr absl::Duration kInTouchAfter = absl::Seconds(3);

inline PollingScheduleSettings operatorPace(absl::Duration configuration_bound) {
  return {absl::Seconds(10), absl::ZeroDuration(), std::min(absl::Seconds(1), configuration_bound / 3)};
}

inline PollingScheduleSettings serverPace() {
  return {kBound / 16, kBound / 4, absl::Seconds(6)};
}

// One question that is asked again and again, and whether the store answers it.
struct Asking {
  absl::Time next = absl::InfiniteFuture();
  absl::Time gives_up = absl::InfiniteFuture();  // on a question without an answer
};

// A gateway as it follows the list: by itself, or through the peer that reads for the zone.
struct Gateway {
  NodeId id;
  ReaderElection election;
  bool is_alive = true;
  bool store_answers = true;
  absl::Time frozen_since = absl::InfiniteFuture();  // its process stands still
  bool said_to_read = false;                         // as peers were told before
  absl::Time disturbed = absl::InfinitePast();
  ReaderRole role;
  // As a reader.
  PollingSchedule operator_pace;
  PollingSchedule server_pace{serverPace()};
  Asking operator_rows;
  Asking servers;
  Asking changes;
  bool is_down = false;
  absl::Time own_confirmed = absl::InfinitePast();
  absl::Time own_as_of = absl::InfinitePast();
  // As anyone.
  LapsedEntries lapsed;
  absl::Duration configuration_bound;
  ConfirmationSchedule schedule;
  absl::Time question_ends = absl::InfiniteFuture();  // whether its configuration is the newest, unanswered
  absl::Time confirmed = absl::InfinitePast();
  absl::Time told_confirmed = absl::InfinitePast();  // as readers told
  absl::Time as_of = absl::InfinitePast();
  absl::Time dropped = absl::InfiniteFuture();  // the server that leaves

  Gateway(const std::string& name, absl::Duration bound)
      : id(name),
        election(NodeId(name), 10),
        operator_pace(operatorPace(bound)),
        configuration_bound(bound) {}

  bool isFrozen() const { return frozen_since != absl::InfiniteFuture(); }
  bool acts() const { return is_alive && !isFrozen(); }

  // As its peers hear of it.
  bool isHeard(absl::Time now) const { return is_alive && now < frozen_since + kSilence; }
  bool isHeardToRead(absl::Time now) const { return isFrozen() ? said_to_read : readsWell(now); }

  bool readsWell(absl::Time now) const {
    const bool is_list_fresh = now - own_as_of <= ReaderElection::maxServerListAge(kBound);
    return is_alive && role.reads && !is_down && is_list_fresh &&
           now - own_confirmed < ReaderElection::maxConfigurationAge(configuration_bound);
  }
};

class Zone {
 public:
  explicit Zone(const std::vector<std::string>& names,
                absl::Duration configuration_bound = absl::Seconds(5)) {
    for (const std::string& name : names) {
      gateways.emplace_back(name, configuration_bound);
    }
  }

  std::vector<Gateway> gateways;
  absl::Time now = absl::UnixEpoch();
  absl::Time leaves = absl::InfiniteFuture();
  bool leaves_without_word = false;
  // The age of the oldest configuration that a gateway went by that was bound to a newer one.
  absl::Duration oldest_configuration;

  void run(absl::Duration time) {
    for (const absl::Time end = now + time; now < end; now += kStep) {
      step();
    }
  }

  Gateway& reader() {
    const auto found = std::find_if(gateways.begin(), gateways.end(),
                                    [this](const Gateway& gateway) { return gateway.readsWell(now); });
    REQUIRE(found != gateways.end());
    return *found;
  }

  void start(Gateway& gateway) {
    gateway = Gateway(gateway.id.value(), gateway.configuration_bound);
    gateway.disturbed = now;
  }
  void stop(Gateway& gateway) {
    gateway.is_alive = false;
    gateway.disturbed = now;
  }
  void turnAway(Gateway& gateway) {
    gateway.store_answers = false;
    gateway.disturbed = now;
  }

  // The store answers nobody any more, or everybody again.
  void setStoreAnswers(bool answers) {
    for (Gateway& gateway : gateways) {
      gateway.store_answers = answers;
      gateway.disturbed = now;
    }
  }
  void freeze(Gateway& gateway) {
    gateway.said_to_read = gateway.readsWell(now);
    gateway.frozen_since = now;
    gateway.disturbed = now;
  }

  // Whether all that were in touch all the while dropped the server in time.
  bool isDroppedInTime() const {
    return std::all_of(gateways.begin(), gateways.end(), [this](const Gateway& gateway) {
      const bool is_bound =
          gateway.is_alive && gateway.store_answers && gateway.disturbed < leaves + kBound - kInTouchAfter;
      return !is_bound || gateway.dropped <= leaves + kBound - kWay;
    });
  }

 private:
  void step() {
    for (Gateway& gateway : gateways) {
      if (gateway.acts() && gateway.role.reads) {
        read(gateway);
      }
    }
    for (Gateway& gateway : gateways) {
      if (gateway.acts()) {
        learn(gateway);
        drop(gateway);
        noteAge(gateway);
      }
    }
    if ((now - absl::UnixEpoch()) % kTick == absl::ZeroDuration()) {
      for (Gateway& gateway : gateways) {
        if (gateway.acts()) {
          tick(gateway);
        }
      }
    }
  }

  // Asks what is due; returns whether an answer came. `failed`: a question was given up.
  bool ask(const Gateway& gateway, Asking& asking, bool& failed) const {
    failed = now >= asking.gives_up;
    if (failed) {
      asking.gives_up = absl::InfiniteFuture();
      return false;
    }
    if (now < asking.next) {
      return false;
    }
    asking.next = absl::InfiniteFuture();
    if (!gateway.store_answers) {
      asking.gives_up = now + kSilentCall;
    }
    return gateway.store_answers;
  }

  void read(Gateway& gateway) {
    bool failed = false;
    if (ask(gateway, gateway.operator_rows, failed)) {
      gateway.own_confirmed = now;
      gateway.is_down = false;
      gateway.operator_rows.next = now + gateway.operator_pace.afterSnapshot(random_);
    } else if (failed) {
      gateway.is_down = true;
      gateway.operator_rows.next = now + gateway.operator_pace.afterFailedSnapshot(random_);
    }
    if (ask(gateway, gateway.servers, failed)) {
      const bool is_first = gateway.own_as_of == absl::InfinitePast();
      gateway.own_as_of = now;
      gateway.servers.next = now + gateway.server_pace.afterSnapshot(random_);
      if (is_first) {
        gateway.changes.next = now + gateway.server_pace.afterDelta();
      }
    } else if (failed) {
      gateway.servers.next = now + gateway.server_pace.afterFailedSnapshot(random_);
    }
    if (ask(gateway, gateway.changes, failed)) {
      gateway.own_as_of = now;
      gateway.changes.next = now + gateway.server_pace.afterDelta();
    } else if (failed) {
      gateway.changes.next = now + gateway.server_pace.afterFailedDelta();
    }
  }

  void noteAge(const Gateway& gateway) {
    const bool is_bound = gateway.store_answers && now - gateway.disturbed > kInTouchAfter;
    if (is_bound && gateway.confirmed != absl::InfinitePast()) {
      oldest_configuration = std::max(oldest_configuration, now - gateway.confirmed);
    }
  }

  const Gateway* sourceOf(const Gateway& gateway) const {
    if (gateway.role.reads) {
      return &gateway;
    }
    const auto found = std::find_if(gateways.begin(), gateways.end(), [&](const Gateway& other) {
      return gateway.role.follows == other.id && other.is_alive && other.role.reads;
    });
    return found == gateways.end() ? nullptr : &*found;
  }

  void learn(Gateway& gateway) {
    const Gateway* const source = sourceOf(gateway);
    if (source == nullptr) {
      return;
    }
    if (source->isFrozen()) {
      if (now - source->frozen_since >= kRelayLimit) {
        gateway.election.noteFailed(source->id, now);
        gateway.role = gateway.election.role();
      }
      return;
    }
    gateway.confirmed = std::max(gateway.confirmed, source->own_confirmed);
    gateway.told_confirmed = std::max(gateway.told_confirmed, source->own_confirmed);
    if (source->own_as_of > gateway.as_of) {
      gateway.as_of = source->own_as_of;
      gateway.lapsed.noteReading(now);
    }
  }

  void drop(Gateway& gateway) const {
    const bool is_told = gateway.as_of >= leaves;
    const bool is_awaited = leaves_without_word && gateway.lapsed.mayReappear(now);
    if (is_told && !is_awaited) {
      gateway.dropped = std::min(gateway.dropped, now);
    }
  }

  void tick(Gateway& gateway) {
    const absl::Duration oldest_list = ReaderElection::maxServerListAge(kBound);
    const absl::Duration oldest_configuration =
        ReaderElection::maxConfigurationAge(gateway.configuration_bound);
    const bool is_outdated =
        gateway.election.followsStaleReader(gateway.told_confirmed, oldest_configuration, now) ||
        gateway.election.followsStaleReader(gateway.as_of, oldest_list, now);
    if (is_outdated) {
      gateway.election.noteStaleReader(*gateway.role.follows, now);
    }
    std::vector<ReaderCandidate> live;
    for (const Gateway& other : gateways) {
      if (other.isHeard(now) && other.id != gateway.id) {
        live.push_back({other.id, 10, other.isHeardToRead(now)});
      }
    }
    const bool was_reading = gateway.role.reads;
    const bool answers = !gateway.is_down && now - gateway.own_as_of <= oldest_list;
    gateway.role = gateway.election.decide(live, answers, now);
    const bool hears_any = !live.empty();
    if (now - gateway.as_of > oldest_list && !gateway.election.hearsReader() && hears_any) {
      gateway.lapsed.noteStoreOutage();
    }
    if (gateway.role.reads && !was_reading) {
      gateway.operator_pace.restart();
      gateway.server_pace.restart();
      gateway.operator_rows = {now, absl::InfiniteFuture()};
      gateway.servers = {now, absl::InfiniteFuture()};
      gateway.changes = {};
      gateway.own_as_of = absl::InfinitePast();
    } else if (!gateway.role.reads) {
      gateway.is_down = false;
    }
    confirm(gateway);
  }

  // Asks the store itself whether its configuration is the newest, where that is due.
  void confirm(Gateway& gateway) const {
    if (now >= gateway.question_ends) {
      gateway.question_ends = absl::InfiniteFuture();
    }
    const absl::Duration bound = gateway.configuration_bound;
    const auto hears_reader = [&gateway] { return gateway.role.reads || gateway.election.hearsReader(); };
    const bool is_asking = gateway.question_ends != absl::InfiniteFuture();
    if (is_asking || gateway.confirmed == absl::InfinitePast() ||
        !gateway.schedule.isDue(bound, gateway.confirmed, hears_reader, now)) {
      return;
    }
    gateway.schedule.noteRequested(now);
    if (gateway.store_answers) {
      takeConfirmation(gateway);
    } else {
      gateway.question_ends = now + ConfirmationSchedule::confirmationTimeout(bound);
    }
  }

  void takeConfirmation(Gateway& gateway) const {
    gateway.confirmed = now;
    if (gateway.role.reads) {
      gateway.own_confirmed = now;
    }
    if (gateway.role.reads && gateway.is_down) {
      gateway.operator_rows = {now, absl::InfiniteFuture()};
      gateway.servers = {now, absl::InfiniteFuture()};
    }
  }

  std::minstd_rand random_;
};

inline constexpr int kCalmMs = 8000;

inline absl::Duration drawn(int least_ms, int most_ms) {
  return absl::Milliseconds(10 * *rc::gen::inRange(least_ms / 10, most_ms / 10));
}

}  // namespace quincewick::forwarding
