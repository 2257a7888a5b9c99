// Decides which parts of prompts crash the servers that answer requests with them, however the requests
// differ otherwise (docs/design/crashing_parts.md). One in each gateway, fed with its own evidence and that
// of peers. Does no I/O; `now` never goes back.
//
// Two rules separate the cause from the parts beside it: a crash that a worse suspect explains is not held
// against the others, and parts that were always together are quarantined together only, so that requests
// with some of them are still sent and clear these.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "forwarding/crash_register.h"
#include "forwarding/part_evidence.h"

namespace quincewick::forwarding {

// What crashes can be attributed to when a request is in flight: itself, or a part of its prompt.
struct CrashSubject {
  RequestIdentity identity;
  PartCarrier carrier;
};

// Parts that are about to be quarantined together. A gateway that served one of them since objects.
struct AccusedParts {
  std::vector<PartKey> parts;                         // ascending
  absl::Duration first_crash = absl::ZeroDuration();  // time since then

  friend bool operator==(const AccusedParts&, const AccusedParts&) = default;
};

// Requests that hold all of these parts are rejected.
struct QuarantinedParts {
  std::vector<PartKey> parts;  // ascending
  uint64_t service = 0;        // the hash of the name of the service whose servers crashed
  absl::Duration first_crash = absl::ZeroDuration();  // time since then
  absl::Duration last_crash = absl::ZeroDuration();   // time since then
  // Which requests with them were sent since, as far as the site's requirements count them: by hashes.
  std::vector<uint64_t> trials;
  bool was_served = false;  // each of the parts, shortly before its first crash

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
  // A peer is about to quarantine the parts: requests with them wait for its decision, unless this gateway
  // served one of the parts lately.
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
  // been in flight beside the actual cause. It holds no other suspect. `ranks_first`: whether this gateway
  // ranks first for partsOnTrial; others take a first trial kTrialTakeoverDelay later.
  bool isTrialDue(const PartCarrier& carrier, bool ranks_first, absl::Time now) const;
  // The parts of all quarantines that reject the request.
  std::vector<PartKey> partsOnTrial(const PartCarrier& carrier) const;
  // The request is sent once. Returns what to tell the peers first.
  std::vector<QuarantinedParts> takeTrial(const PartCarrier& carrier, absl::Time now);
  void noteSent(const PartCarrier& carrier);

  // At most `limit` of them, the most recently requested first.
  std::vector<QuarantinedParts> quarantined(size_t limit, absl::Time now) const;
  // What a starting gateway needs to continue the count of crashes, with `limit` parts at most.
  std::vector<PartCrash> unresolvedCrashes(size_t limit, absl::Time now) const {
    return evidence_.unresolvedCrashes(limit, now);
  }
  size_t quarantinedCount() const { return quarantined_.size(); }
  size_t suspectCount() const { return evidence_.suspectCount(); }
  absl::Time servedAt(PartKey part) const { return evidence_.servedAt(part); }
  // Crashes since the part was last served.
  size_t crashCount(PartKey part) const { return evidence_.crashCount(part); }
  // Drops crashes and quarantines whose retention has passed.
  void dropExpired(absl::Time now);

  // The site's requirements allow a part five crashes.
  static constexpr size_t kCrashesToQuarantine = 4;
  // A part with so many crashes is quarantined if nothing else explains kUnexplainedAmongSeveralCauses of
  // them: several causes may have been in flight at the others.
  static constexpr size_t kCrashesAmongSeveralCauses = 6;
  static constexpr size_t kUnexplainedAmongSeveralCauses = 2;
  // A request with such a part waits for the outcome of its last attempt.
  static constexpr size_t kCrashesOfSuspect = 2;
  // Crashes closer together than this are more likely those of a rack.
  static constexpr absl::Duration kMinCrashSpan = absl::Milliseconds(500);
  // Time for peers to object: four times the latency between the farthest regions, and the batching of
  // messages.
  static constexpr absl::Duration kEvidenceDelay = absl::Milliseconds(300);
  // From the quarantine to the first trial; doubled for each further one. By then crashes of another cause
  // are over, or it is quarantined too. Where nothing else of the service was served since the first crash,
  // the service failed as a whole, and trials go on.
  static constexpr absl::Duration kTrialDelay = absl::Seconds(5);
  // By which other gateways take a trial later than the first in rank, which may get no such request. Several
  // may take it at once, so that only a first trial of parts that weren't served before may be taken over.
  static constexpr absl::Duration kTrialTakeoverDelay = absl::Seconds(2);
  // The site's requirements allow three more sends after the fifth crash.
  static constexpr uint32_t kMaxTrials = 2;
  // Parts that were served shortly before are likely to be sound: they are tried again for as long as it
  // takes.
  static constexpr uint32_t kMaxTrialsIfServed = 3;
  static constexpr absl::Duration kLateTrialInterval = absl::Minutes(10);

 private:
  struct Quarantine {
    std::vector<PartKey> parts;  // ascending
    uint64_t service = 0;
    absl::Time since;
    absl::Time first_crash;
    absl::Time last_crash;
    absl::Time last_requested;
    absl::Time last_trial = absl::InfinitePast();
    std::vector<uint64_t> trials;  // hashes of requests or incarnations
    bool was_served = false;
    std::optional<uint64_t> trial;  // the request that may be sent once
  };
  struct Accusation {
    std::optional<PartKey> part;  // with the decisive evidence; nothing: a peer decides
    AccusedParts accused;
    absl::Time since;
    bool holds_requests = true;  // no part was served here lately
  };
  // Accuses those of `parts` that are to be quarantined and aren't yet.
  void review(const std::vector<PartKey>& parts, absl::Time now, std::vector<AccusedParts>& accused);
  // The parts to quarantine on the evidence against `part`; empty: none.
  std::vector<PartKey> assess(PartKey part) const;
  bool isExplained(const PartEvidence::Crash& crash, PartKey part) const;
  // Lets requests with the part pass whatever it is accused of.
  void releaseHolds(PartKey part);
  bool isCovered(const std::vector<PartKey>& parts) const;
  // Takes the parts that were served at that time out of quarantines of earlier crashes.
  std::vector<QuarantineChange> release(const std::vector<PartKey>& parts, absl::Time served);
  void addQuarantine(Quarantine quarantine);
  bool isQuarantineTrialDue(const Quarantine& quarantine, bool ranks_first, absl::Time now) const;
  static QuarantinedParts reportOf(const Quarantine& quarantine, absl::Time now);

  PartEvidence evidence_;
  std::vector<Accusation> accusations_;
  std::vector<Quarantine> quarantined_;
  absl::flat_hash_map<uint64_t, absl::Time> last_served_;  // by service
};

}  // namespace quincewick::forwarding
