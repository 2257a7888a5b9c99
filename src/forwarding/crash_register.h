// Decides which requests crash the servers that run them, from this gateway's evidence and what peers report
// (docs/design/crashing_requests.md). Does no I/O; `now` never goes back.
//
// A crash ends all requests in flight at the server, so evidence against the request that caused it is also
// evidence against those beside it. Two rules clear the others: a request that was served completely is
// sound, and a crash that a worse suspect explains is not held against the rest.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "forwarding/request_identity.h"

namespace quincewick::forwarding {

// A server crashed while these requests were in flight there.
struct ServerCrash {
  uint64_t incarnation = 0;  // the server's identity hash
  uint64_t service = 0;      // the hash of its service's name
  std::vector<RequestIdentity> in_flight;
  absl::Duration ago = absl::ZeroDuration();  // time since the crash when this is reported
};

struct QuarantinedRequest {
  RequestIdentity identity;
  bool had_trial = false;  // was sent once more since it was quarantined

  friend bool operator==(const QuarantinedRequest&, const QuarantinedRequest&) = default;
};

// What may be done with a request now.
enum class CrashVerdict : uint8_t {
  kSend,
  kWait,    // for evidence from other gateways, or until another suspect's isolated run is over
  kReject,  // it is quarantined
};

class CrashRegister {
 public:
  // `started`: nothing is known of crashes before it.
  explicit CrashRegister(absl::Time started) : started_(started) {}

  // Records a crash that was seen here or reported by a peer; a known one gets the requests it lacks. Returns
  // whether a request is about to be quarantined: call `settle` after kEvidenceDelay.
  bool noteCrash(const ServerCrash& crash, absl::Time now);
  // Decides on requests that have been about to be quarantined for kEvidenceDelay, by all evidence received
  // meanwhile. Returns the newly quarantined ones.
  std::vector<RequestIdentity> settle(absl::Time now);
  // The request was served completely, here or at a peer, which voids all evidence against it. Returns
  // whether there was any.
  bool noteServed(const RequestIdentity& identity, absl::Time now);
  // A peer or the stored record reports a quarantined request. Returns whether it is new here.
  bool noteQuarantined(const QuarantinedRequest& request, absl::Time now);
  // Whether a quarantined request is due to be sent once more, since it may merely have been
  // in flight beside the actual culprit at each of its crashes. One gateway of the site does so and reports
  // it first (`takeTrial`).
  bool isTrialDue(const RequestIdentity& identity, absl::Time now) const;
  void takeTrial(const RequestIdentity& identity, absl::Time now);

  CrashVerdict verdictOn(const RequestIdentity& identity, absl::Time now);
  // An attempt at a server begins (`noteSent`) and is over (`noteOver`). Of the requests with two crashes
  // this gateway runs one at a time, which separates the cause of the next crash from requests beside it.
  void noteSent(const RequestIdentity& identity, absl::Time now);
  void noteOver(const RequestIdentity& identity);
  // Whether a server crashed under it, so that the outcome must be known before it is tried again.
  bool isSuspect(const RequestIdentity& identity) const { return suspects_.contains(identity); }
  // Whether it was served completely within the last minute.
  bool wasServed(const RequestIdentity& identity, absl::Time now) const;
  // At most `limit` quarantined requests, the most recently requested first.
  std::vector<QuarantinedRequest> quarantined(size_t limit) const;
  // Crashes under the suspects closest to quarantine whose last crash is at most a minute old: what a
  // starting gateway needs to continue the count. They hold at most `limit` request entries.
  std::vector<ServerCrash> unresolvedCrashes(size_t limit, absl::Time now) const;
  bool isQuarantined(const RequestIdentity& identity) const { return quarantined_.contains(identity); }
  size_t quarantinedCount() const { return quarantined_.size(); }
  size_t suspectCount() const { return suspects_.size(); }
  // Distinct crashes that are held against the request.
  size_t crashCount(const RequestIdentity& identity) const;
  // Drops crashes and quarantines whose retention has passed.
  void dropExpired(absl::Time now);

  // The site's requirements allow a request at most three crashes.
  static constexpr size_t kCrashesToQuarantine = 3;
  // Applies if in each of its crashes another request is as suspicious, if all crashes came at once, as when
  // part of a service fails, or if this gateway has not run long enough to know whether servers crash anyway.
  // The site's requirements allow three more attempts after the third crash: the one that leads to the fourth
  // crash, the trial, and one that was already in flight.
  static constexpr size_t kCrashesToQuarantineIfContested = 4;
  static constexpr absl::Duration kBurstWindow = absl::Seconds(1);
  // Applies if at least kMinUnrelatedCrashes servers of its service crashed recently without it and without
  // another suspect.
  static constexpr size_t kCrashesToQuarantineAmidUnrelated = 4;
  static constexpr size_t kMinUnrelatedCrashes = 2;
  // From this many crashes on, a request runs isolated from other suspects.
  static constexpr size_t kCrashesToIsolate = 2;
  // After this time the next isolated run may begin; requests that crash servers do so sooner.
  static constexpr absl::Duration kMaxIsolationTime = absl::Seconds(2);
  // From quarantine until the trial. By then the actual culprit, if it is another request, is rejected
  // everywhere.
  static constexpr absl::Duration kTrialDelay = absl::Seconds(5);
  // Time for peers to report which other requests were in flight, and which are sound: twice the latency
  // between the farthest regions plus the batching of updates, and as much again for a busy gateway. Without
  // it a request beside the culprit was quarantined because the culprit's presence at the last crash was
  // reported 60 ms later.
  static constexpr absl::Duration kEvidenceDelay = absl::Milliseconds(150);

 private:
  struct Crash {
    uint64_t incarnation = 0;
    uint64_t service = 0;
    absl::Time at;
    std::vector<RequestIdentity> in_flight;
  };
  struct Quarantine {
    absl::Time since;
    absl::Time last_requested;
    bool is_settled = false;
    bool had_trial = false;  // or is about to have it
    // This gateway took the trial and has not sent it yet. A request's verdict is read several times before
    // it is sent.
    bool may_be_sent = false;
  };
  struct Isolated {
    RequestIdentity identity;
    absl::Time since;
  };
  struct Served {
    RequestIdentity identity;
    absl::Time at = absl::InfinitePast();
  };
  using CrashNumber = uint64_t;

  CrashNumber crashNumberFor(const ServerCrash& crash, absl::Time at);
  bool shouldQuarantine(const RequestIdentity& identity) const;
  size_t crashesNeeded(const RequestIdentity& identity, bool is_contested) const;
  // Recent crashes of its service without it and without another suspect.
  size_t unrelatedCrashes(const RequestIdentity& identity, const std::vector<CrashNumber>& crashes) const;
  // The greatest crash count among requests in flight at the crash other than `identity`.
  size_t maxCrashesOfOthers(const Crash& crash, const RequestIdentity& identity) const;
  // Requests to isolate that are not quarantined, the highest crash count first.
  std::vector<RequestIdentity> suspectsByCrashCount(absl::Time now) const;
  void dropEvidence(const RequestIdentity& identity);
  void dropOldestCrash();
  void addQuarantine(const RequestIdentity& identity, const Quarantine& quarantine);
  Served& servedSlot(const RequestIdentity& identity) { return served_[identity.low % served_.size()]; }
  const Served& servedSlot(const RequestIdentity& identity) const {
    return served_[identity.low % served_.size()];
  }

  // A gateway of the largest planned site serves about 30 requests a second: this holds over a minute of
  // them.
  static constexpr size_t kServedEntries = 2048;

  absl::Time started_;

  absl::flat_hash_map<CrashNumber, Crash> crashes_;
  std::deque<CrashNumber> crash_order_;  // oldest first
  absl::flat_hash_map<uint64_t, CrashNumber> last_crash_of_incarnation_;
  size_t in_flight_entries_ = 0;  // requests over all crashes
  absl::flat_hash_map<RequestIdentity, std::vector<CrashNumber>> suspects_;
  absl::flat_hash_map<RequestIdentity, Quarantine> quarantined_;
  std::optional<Isolated> isolated_;  // the suspect that runs now
  std::array<Served, kServedEntries> served_{};
  CrashNumber last_number_ = 0;
};

}  // namespace quincewick::forwarding
