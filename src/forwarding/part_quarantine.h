// Decides which parts of prompts crash the servers that answer requests with them, however the requests
// differ otherwise (docs/design/crashing_parts.md). One in each gateway, fed with its own evidence and that
// of peers. Does no I/O; `now` never goes back.
//
// A crash is evidence against all parts of all requests that were in flight at the server. Three rules
// separate the cause from the rest: a part of a request that was served completely is sound, a crash that a
// worse suspect explains is not held against the others, and parts that were always together are quarantined
// together only, so that requests with some of them are still sent and clear these.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "forwarding/crash_register.h"
#include "forwarding/prompt_part_key.h"

namespace quincewick::forwarding {

// A request that was in flight at a server when it crashed.
struct PartCarrier {
  uint64_t request = 0;        // a hash that tells it from other requests
  std::vector<PartKey> parts;  // the shared parts of its prompt

  friend bool operator==(const PartCarrier&, const PartCarrier&) = default;
};

// What crashes can be attributed to when a request is in flight: itself, or a part of its prompt.
struct CrashSubject {
  RequestIdentity identity;
  PartCarrier carrier;
};

struct PartCrash {
  uint64_t incarnation = 0;  // the server's identity hash
  uint64_t service = 0;      // the hash of its service's name
  std::vector<PartCarrier> in_flight;
  absl::Duration ago = absl::ZeroDuration();  // time since the crash when this is reported
};

// Parts that are about to be quarantined together. A gateway that served one of them since objects.
struct AccusedParts {
  std::vector<PartKey> parts;                         // ascending
  absl::Duration first_crash = absl::ZeroDuration();  // time since then

  friend bool operator==(const AccusedParts&, const AccusedParts&) = default;
};

struct ServedPart {
  PartKey part;
  absl::Duration ago = absl::ZeroDuration();  // time since a request with it was served completely

  friend bool operator==(const ServedPart&, const ServedPart&) = default;
};

// Requests that hold all of these parts are rejected.
struct QuarantinedParts {
  std::vector<PartKey> parts;  // ascending
  uint64_t service = 0;        // the hash of the name of the service whose servers crashed
  absl::Duration first_crash = absl::ZeroDuration();  // time since then
  absl::Duration last_crash = absl::ZeroDuration();   // time since then
  uint32_t trials = 0;                                // requests with them that were sent since

  friend bool operator==(const QuarantinedParts&, const QuarantinedParts&) = default;
};

// A quarantine lost parts that turned out to be sound.
struct QuarantineChange {
  std::vector<PartKey> before;
  std::vector<PartKey> after;  // empty: the quarantine ended
  uint64_t service = 0;        // the hash of the service's name
};

class PartQuarantine {
 public:
  // A crash that was seen here, or that a peer reports; a known one gets the requests it lacks. Returns what
  // is about to be quarantined because of it by evidence of this gateway: tell the peers, and call `settle`
  // after kEvidenceDelay.
  std::vector<AccusedParts> noteCrash(const PartCrash& crash, bool is_own, absl::Time now);
  // A request with these parts was served completely here. Returns the quarantines that this ended or
  // narrowed: tell the peers of the parts.
  std::vector<QuarantineChange> noteServed(uint64_t service, const std::vector<PartKey>& parts,
                                           absl::Time now);
  // The same at a peer.
  std::vector<QuarantineChange> noteServedElsewhere(const ServedPart& served, absl::Time now);
  // A peer is about to quarantine the parts: requests with them wait for its decision.
  void noteAccused(const AccusedParts& accused, absl::Time now);
  // Which of the parts were served here since kServedBefore their first crash, or since their last one, as an
  // objection to their quarantine.
  std::vector<ServedPart> objectionsTo(const AccusedParts& accused, absl::Time now) const;
  std::vector<ServedPart> objectionsTo(const QuarantinedParts& quarantined, absl::Time now) const;

  // Decides on accused parts by all evidence that was received in kEvidenceDelay. What is accused in place of
  // others that were cleared meanwhile is added to `accused`.
  std::vector<QuarantinedParts> settle(absl::Time now, std::vector<AccusedParts>& accused);
  // A peer or the stored record reports quarantined parts. Returns whether they are new here.
  bool noteQuarantined(const QuarantinedParts& quarantined, absl::Time now);

  CrashVerdict verdictOn(const PartCarrier& carrier, absl::Time now);
  // Whether servers crashed under one of its parts more than once since the part was served: the outcome of
  // an attempt must be known before the next one.
  bool isSuspect(const PartCarrier& carrier) const;
  // Whether the request has all parts of a quarantine and isn't its trial.
  bool isRejected(const PartCarrier& carrier) const;
  // Whether the request is rejected for parts that are due to be sent once more, since they may merely have
  // been in flight beside the actual cause. It holds no other suspect.
  bool isTrialDue(const PartCarrier& carrier, absl::Time now) const;
  // The request is sent once. Returns what to tell the peers first.
  std::vector<QuarantinedParts> takeTrial(const PartCarrier& carrier, absl::Time now);
  void noteSent(const PartCarrier& carrier);

  // At most `limit` of them, the most recently requested first.
  std::vector<QuarantinedParts> quarantined(size_t limit, absl::Time now) const;
  // Crashes of the last minute under parts that have more than one: what a starting gateway needs to continue
  // the count. They hold at most `limit` parts.
  std::vector<PartCrash> unresolvedCrashes(size_t limit, absl::Time now) const;
  size_t quarantinedCount() const { return quarantined_.size(); }
  size_t suspectCount() const { return suspects_.size(); }
  // When a request with the part was last served, as far as is known here.
  absl::Time servedAt(PartKey part) const;
  // Crashes since the part was last served.
  size_t crashCount(PartKey part) const;
  // Drops crashes and quarantines whose retention has passed.
  void dropExpired(absl::Time now);

  // The site's requirements allow a part five crashes.
  static constexpr size_t kCrashesToQuarantine = 4;
  // A part with this many crashes is quarantined if nothing else explains two of them: several causes may
  // have been in flight at the others.
  static constexpr size_t kCrashesAmongSeveralCauses = 6;
  static constexpr size_t kUnexplainedAmongSeveralCauses = 2;
  // A part that was served within it before its first crash is a weaker suspect than one that wasn't and has
  // kCrashesOfUnserved crashes.
  static constexpr absl::Duration kServedBefore = absl::Minutes(1);
  static constexpr size_t kCrashesOfUnserved = 2;
  static constexpr size_t kCrashesOfSuspect = 2;
  // Servers that crash at the same moment have a cause in common, such as a rack: they count once, unless the
  // same request was sent to one after the other.
  static constexpr absl::Duration kSameMoment = absl::Milliseconds(100);
  static constexpr absl::Duration kMinCrashSpan = absl::Milliseconds(500);
  // Time for peers to object: four times the latency between the farthest regions, and the batching of
  // messages.
  static constexpr absl::Duration kEvidenceDelay = absl::Milliseconds(300);
  // From the quarantine to the first trial; doubled for each further one. By then crashes of another cause
  // are over, or it is quarantined too.
  static constexpr absl::Duration kTrialDelay = absl::Seconds(5);
  // The site's requirements allow three more sends after the fifth crash.
  static constexpr uint32_t kMaxTrials = 2;

 private:
  struct Crash {
    uint64_t incarnation = 0;
    uint64_t service = 0;
    absl::Time at;
    std::vector<PartCarrier> in_flight;  // without parts that were served since
  };
  using CrashNumber = uint64_t;
  struct Suspect {
    std::vector<CrashNumber> crashes;
    bool is_own = false;  // in flight at one of them through this gateway
  };
  struct Quarantine {
    std::vector<PartKey> parts;  // ascending
    uint64_t service = 0;
    absl::Time since;
    absl::Time first_crash;
    absl::Time last_crash;
    absl::Time last_requested;
    absl::Time last_trial = absl::InfinitePast();
    uint32_t trials = 0;
    std::optional<uint64_t> trial;  // the request that may be sent once
  };
  struct Accusation {
    std::optional<PartKey> part;  // with the decisive evidence; nothing: a peer decides
    AccusedParts accused;
    absl::Time since;
  };
  struct Served {
    PartKey part;
    absl::Time at = absl::InfinitePast();
  };

  CrashNumber crashNumberFor(const PartCrash& crash, absl::Time at);
  void addCarrier(CrashNumber number, const PartCarrier& carrier, bool is_own);
  // Accuses those of `parts` that are to be quarantined and aren't yet.
  void review(const std::vector<PartKey>& parts, absl::Time now, std::vector<AccusedParts>& accused);
  // The parts to quarantine on the evidence against `part`; empty: none.
  std::vector<PartKey> assess(PartKey part) const;
  bool isExplained(const Crash& crash, PartKey part) const;
  // Whether `other` is a worse suspect than `part`.
  bool isWorse(PartKey other, PartKey part) const;
  bool wasServedBefore(PartKey part) const;
  bool isOfOneRequest(PartKey part) const;
  // The parts that were in flight in one request with `part` at each of its crashes, itself among them.
  std::vector<PartKey> partsAlwaysWith(PartKey part) const;
  bool isCovered(const std::vector<PartKey>& parts) const;
  std::vector<absl::Time> crashTimes(PartKey part) const;
  // How many of these crashes are evidence of their own against the part.
  size_t countMoments(std::vector<CrashNumber> crashes, PartKey part) const;
  bool shareRequest(const Crash& first, const Crash& second, PartKey part) const;
  void dropEvidence(PartKey part, absl::Time served);
  // Takes the parts that were served at that time out of quarantines of earlier crashes.
  std::vector<QuarantineChange> release(const std::vector<PartKey>& parts, absl::Time served);
  void dropOldestCrash();
  void addQuarantine(Quarantine quarantine);
  bool isQuarantineTrialDue(const Quarantine& quarantine, absl::Time now) const;
  Served& servedSlot(PartKey part) { return served_[part.value() % served_.size()]; }
  std::vector<ServedPart> servedSince(const std::vector<PartKey>& parts, absl::Time since,
                                      absl::Time now) const;
  static QuarantinedParts reportOf(const Quarantine& quarantine, absl::Time now);

  // A gateway of the largest planned site serves about 30 requests a second with a few parts each.
  static constexpr size_t kServedEntries = 2048;

  absl::flat_hash_map<CrashNumber, Crash> crashes_;
  std::deque<CrashNumber> crash_order_;  // oldest first
  absl::flat_hash_map<uint64_t, CrashNumber> last_crash_of_incarnation_;
  size_t in_flight_parts_ = 0;  // over all crashes
  absl::flat_hash_map<PartKey, Suspect> suspects_;
  std::vector<Accusation> accusations_;
  std::vector<Quarantine> quarantined_;
  absl::flat_hash_map<uint64_t, absl::Time> last_served_;  // by service
  std::array<Served, kServedEntries> served_{};
  CrashNumber last_number_ = 0;
};

}  // namespace quincewick::forwarding
