// Simulation of a zone's gateways on virtual time that follow the store's server list and the operator's
// rows, directly or through the zone reader.
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
inline constexpr absl::Duration kCallTimeout = absl::Milliseconds(1500);
inline constexpr absl::Duration kBound = absl::Seconds(2);  // for leaving servers
// The part of the bound that a request takes to reach its server, including a new connection.
inline constexpr absl::Duration kRequestTransit = absl::Milliseconds(300);
// The timeout of a follower's request to its reader, including the time that the reader holds it.
inline constexpr absl::Duration kRelayTimeout = absl::Milliseconds(1700);
// How long a silent peer still counts as live.
inline constexpr absl::Duration kPeerTimeout = absl::Seconds(2);
// The bounds do not apply to a gateway for this time after a fault.
inline constexpr absl::Duration kRecoveryTime = absl::Seconds(3);

inline PollingScheduleSettings operatorPollingSettings(absl::Duration configuration_bound) {
  return {absl::Seconds(10), absl::ZeroDuration(), std::min(absl::Seconds(1), configuration_bound / 3)};
}

inline PollingScheduleSettings serverPollingSettings() {
  return {kBound / 16, kBound / 4, absl::Seconds(6)};
}

// The times of a request that is sent repeatedly.
struct PollTimes {
  absl::Time next = absl::InfiniteFuture();
  absl::Time times_out = absl::InfiniteFuture();  // of a request without a response
};

// A gateway that follows the tables, as the zone reader or through it.
struct Gateway {
  NodeId id;
  ReaderElection election;
  bool is_alive = true;
  bool store_answers = true;
  absl::Time frozen_since = absl::InfiniteFuture();  // its process is suspended
  bool reported_reading = false;                     // as last reported to peers
  absl::Time last_fault = absl::InfinitePast();
  ReaderRole role;
  // State as a reader.
  PollingSchedule operator_polling;
  PollingSchedule server_polling{serverPollingSettings()};
  PollTimes operator_rows;
  PollTimes servers;
  PollTimes changes;
  bool is_down = false;
  absl::Time own_confirmed = absl::InfinitePast();
  absl::Time own_as_of = absl::InfinitePast();
  // State in any role.
  LapsedEntries lapsed;
  absl::Duration configuration_bound;
  ConfirmationSchedule schedule;
  absl::Time confirmation_times_out = absl::InfiniteFuture();  // of the confirmation request in progress
  absl::Time confirmed = absl::InfinitePast();
  absl::Time reported_confirmed = absl::InfinitePast();  // as reported by readers
  absl::Time as_of = absl::InfinitePast();
  absl::Time dropped = absl::InfiniteFuture();  // when it dropped the leaving server

  Gateway(const std::string& name, absl::Duration bound)
      : id(name),
        election(NodeId(name), 10),
        operator_polling(operatorPollingSettings(bound)),
        configuration_bound(bound) {}

  bool isFrozen() const { return frozen_since != absl::InfiniteFuture(); }
  bool isActive() const { return is_alive && !isFrozen(); }

  // As seen by its peers.
  bool isHeard(absl::Time now) const { return is_alive && now < frozen_since + kPeerTimeout; }
  bool isHeardToRead(absl::Time now) const { return isFrozen() ? reported_reading : readsWell(now); }

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
  bool leaves_unannounced = false;
  // The greatest age of the configuration of a gateway to which the bound applied.
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
    gateway.last_fault = now;
  }
  void stop(Gateway& gateway) {
    gateway.is_alive = false;
    gateway.last_fault = now;
  }
  void refuse(Gateway& gateway) {
    gateway.store_answers = false;
    gateway.last_fault = now;
  }

  // Makes the store fail for all gateways, or respond to all again.
  void setStoreAnswers(bool answers) {
    for (Gateway& gateway : gateways) {
      gateway.store_answers = answers;
      gateway.last_fault = now;
    }
  }
  void freeze(Gateway& gateway) {
    gateway.reported_reading = gateway.readsWell(now);
    gateway.frozen_since = now;
    gateway.last_fault = now;
  }

  // Whether all gateways to which the bound applied dropped the server in time.
  bool isDroppedInTime() const {
    return std::all_of(gateways.begin(), gateways.end(), [this](const Gateway& gateway) {
      const bool is_bound =
          gateway.is_alive && gateway.store_answers && gateway.last_fault < leaves + kBound - kRecoveryTime;
      return !is_bound || gateway.dropped <= leaves + kBound - kRequestTransit;
    });
  }

 private:
  void step() {
    for (Gateway& gateway : gateways) {
      if (gateway.isActive() && gateway.role.reads) {
        read(gateway);
      }
    }
    for (Gateway& gateway : gateways) {
      if (gateway.isActive()) {
        learn(gateway);
        drop(gateway);
        noteAge(gateway);
      }
    }
    if ((now - absl::UnixEpoch()) % kTick == absl::ZeroDuration()) {
      for (Gateway& gateway : gateways) {
        if (gateway.isActive()) {
          tick(gateway);
        }
      }
    }
  }

  // Sends the request if it is due; returns whether a response came. `failed`: whether a request timed out.
  bool ask(const Gateway& gateway, PollTimes& poll, bool& failed) const {
    failed = now >= poll.times_out;
    if (failed) {
      poll.times_out = absl::InfiniteFuture();
      return false;
    }
    if (now < poll.next) {
      return false;
    }
    poll.next = absl::InfiniteFuture();
    if (!gateway.store_answers) {
      poll.times_out = now + kCallTimeout;
    }
    return gateway.store_answers;
  }

  void read(Gateway& gateway) {
    bool failed = false;
    if (ask(gateway, gateway.operator_rows, failed)) {
      gateway.own_confirmed = now;
      gateway.is_down = false;
      gateway.operator_rows.next = now + gateway.operator_polling.afterSnapshot(random_);
    } else if (failed) {
      gateway.is_down = true;
      gateway.operator_rows.next = now + gateway.operator_polling.afterFailedSnapshot(random_);
    }
    if (ask(gateway, gateway.servers, failed)) {
      const bool is_first = gateway.own_as_of == absl::InfinitePast();
      gateway.own_as_of = now;
      gateway.servers.next = now + gateway.server_polling.afterSnapshot(random_);
      if (is_first) {
        gateway.changes.next = now + gateway.server_polling.afterDelta();
      }
    } else if (failed) {
      gateway.servers.next = now + gateway.server_polling.afterFailedSnapshot(random_);
    }
    if (ask(gateway, gateway.changes, failed)) {
      gateway.own_as_of = now;
      gateway.changes.next = now + gateway.server_polling.afterDelta();
    } else if (failed) {
      gateway.changes.next = now + gateway.server_polling.afterFailedDelta();
    }
  }

  void noteAge(const Gateway& gateway) {
    const bool is_bound = gateway.store_answers && now - gateway.last_fault > kRecoveryTime;
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
      if (now - source->frozen_since >= kRelayTimeout) {
        gateway.election.noteFailed(source->id, now);
        gateway.role = gateway.election.role();
      }
      return;
    }
    gateway.confirmed = std::max(gateway.confirmed, source->own_confirmed);
    gateway.reported_confirmed = std::max(gateway.reported_confirmed, source->own_confirmed);
    if (source->own_as_of > gateway.as_of) {
      gateway.as_of = source->own_as_of;
      gateway.lapsed.noteListRead(now);
    }
  }

  void drop(Gateway& gateway) const {
    const bool is_known = gateway.as_of >= leaves;
    const bool is_awaited = leaves_unannounced && gateway.lapsed.mayReappear(now);
    if (is_known && !is_awaited) {
      gateway.dropped = std::min(gateway.dropped, now);
    }
  }

  void tick(Gateway& gateway) {
    const absl::Duration oldest_list = ReaderElection::maxServerListAge(kBound);
    const absl::Duration oldest_configuration =
        ReaderElection::maxConfigurationAge(gateway.configuration_bound);
    const bool is_outdated =
        gateway.election.followsStaleReader(gateway.reported_confirmed, oldest_configuration, now) ||
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
    if (now - gateway.as_of > oldest_list && !gateway.election.hasZoneReader() && hears_any) {
      gateway.lapsed.noteStoreOutage();
    }
    if (gateway.role.reads && !was_reading) {
      gateway.operator_polling.restart();
      gateway.server_polling.restart();
      gateway.operator_rows = {now, absl::InfiniteFuture()};
      gateway.servers = {now, absl::InfiniteFuture()};
      gateway.changes = {};
      gateway.own_as_of = absl::InfinitePast();
    } else if (!gateway.role.reads) {
      gateway.is_down = false;
    }
    confirm(gateway);
  }

  // Asks the store for a confirmation if that is due.
  void confirm(Gateway& gateway) const {
    if (now >= gateway.confirmation_times_out) {
      gateway.confirmation_times_out = absl::InfiniteFuture();
    }
    const absl::Duration bound = gateway.configuration_bound;
    const auto has_zone_reader = [&gateway] {
      return gateway.role.reads || gateway.election.hasZoneReader();
    };
    const bool is_pending = gateway.confirmation_times_out != absl::InfiniteFuture();
    if (is_pending || gateway.confirmed == absl::InfinitePast() ||
        !gateway.schedule.isDue(bound, gateway.confirmed, has_zone_reader, now)) {
      return;
    }
    gateway.schedule.noteRequested(now);
    if (gateway.store_answers) {
      takeConfirmation(gateway);
    } else {
      gateway.confirmation_times_out = now + ConfirmationSchedule::confirmationTimeout(bound);
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

inline constexpr int kSettleMs = 8000;

inline absl::Duration randomDuration(int least_ms, int most_ms) {
  return absl::Milliseconds(10 * *rc::gen::inRange(least_ms / 10, most_ms / 10));
}

}  // namespace quincewick::forwarding
