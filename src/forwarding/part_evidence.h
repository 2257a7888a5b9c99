// Evidence of which prompt parts crash servers: the crashes under each part since a request with it was last
// served. Does no I/O; `now` never goes back.
//
// A crash is evidence against all parts of all requests that were in flight at the server. A part of a
// request that was served completely is sound, which drops its evidence until then.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "forwarding/prompt_part_key.h"

namespace quincewick::forwarding {

// A request that was in flight at a server when it crashed.
struct PartCarrier {
  uint64_t request = 0;        // a hash that tells it from other requests
  std::vector<PartKey> parts;  // the shared parts of its prompt

  friend bool operator==(const PartCarrier&, const PartCarrier&) = default;
};

struct PartCrash {
  uint64_t incarnation = 0;  // the server's identity hash
  uint64_t service = 0;      // the hash of its service's name
  std::vector<PartCarrier> in_flight;
  absl::Duration ago = absl::ZeroDuration();  // time since the crash when this is reported
};

struct ServedPart {
  PartKey part;
  absl::Duration ago = absl::ZeroDuration();  // time since a request with it was served completely

  friend bool operator==(const ServedPart&, const ServedPart&) = default;
};

bool contains(const std::vector<PartKey>& parts, PartKey part);
bool containsAll(const std::vector<PartKey>& parts, const std::vector<PartKey>& wanted);

class PartEvidence {
 public:
  struct Crash {
    uint64_t incarnation = 0;
    uint64_t service = 0;
    absl::Time at;
    std::vector<PartCarrier> in_flight;  // without parts that were served since
  };
  using Crashes = std::vector<const Crash*>;

  // Records a crash that was seen here (`is_own`) or reported by a peer; a known one gets the requests it
  // lacks. Returns the parts that were in flight and weren't served since.
  std::vector<PartKey> noteCrash(const PartCrash& crash, bool is_own, absl::Time now);
  // A request with the part was served completely at that time.
  void noteServed(PartKey part, absl::Time at);

  // When a request with the part was last served, as far as is known here.
  absl::Time servedAt(PartKey part) const;
  // Those of the parts that were served later than `since`.
  std::vector<ServedPart> servedSince(const std::vector<PartKey>& parts, absl::Time since,
                                      absl::Time now) const;
  // Crashes since the part was last served, in order of time.
  Crashes crashesUnder(PartKey part) const;
  size_t crashCount(PartKey part) const;
  // Whether a request with the part was in flight at one of them through this gateway.
  bool isOwn(PartKey part) const;
  bool isSuspect(PartKey part) const { return suspects_.contains(part); }
  std::vector<PartKey> suspects() const;
  size_t suspectCount() const { return suspects_.size(); }
  // How many of these crashes, which are in order of time, are evidence of their own against the part.
  static size_t countMoments(const Crashes& crashes, PartKey part);
  // Whether a request with the part was served within kServedBefore its first crash.
  bool wasServedBefore(PartKey part) const;
  // Whether `other` is a worse suspect than `part`.
  bool isWorse(PartKey other, PartKey part) const;
  // Whether one request was in flight at all crashes under the part.
  bool isOfOneRequest(PartKey part) const;
  // The parts that were in flight in one request with `part` at each of its crashes, itself among them;
  // ascending, kMaxSharedParts at most.
  std::vector<PartKey> partsAlwaysWith(PartKey part) const;

  // Crashes of the last minute under parts that have more than one: what a starting gateway needs to continue
  // the count. They hold at most `limit` parts.
  std::vector<PartCrash> unresolvedCrashes(size_t limit, absl::Time now) const;
  // Drops crashes whose retention has passed.
  void dropExpired(absl::Time now);

  // A part that was served within it before its first crash is a weaker suspect than one that wasn't and has
  // kCrashesOfUnserved crashes.
  static constexpr absl::Duration kServedBefore = absl::Minutes(1);
  static constexpr size_t kCrashesOfUnserved = 2;
  // Servers that crash at the same moment have a cause in common, such as a rack: they count once, unless the
  // same request was sent to one after the other.
  static constexpr absl::Duration kSameMoment = absl::Milliseconds(100);

 private:
  using CrashNumber = uint64_t;
  struct Suspect {
    std::vector<CrashNumber> crashes;  // ascending
    bool is_own = false;
  };
  struct Served {
    PartKey part;
    absl::Time at = absl::InfinitePast();
  };

  CrashNumber crashNumberFor(const PartCrash& crash, absl::Time at);
  void addCarrier(CrashNumber number, const PartCarrier& carrier, bool is_own);
  void dropOldestCrash();
  Served& servedSlot(PartKey part) { return served_[part.value() % served_.size()]; }

  // A gateway of the largest planned site serves about 30 requests a second with a few parts each.
  static constexpr size_t kServedEntries = 2048;

  absl::flat_hash_map<CrashNumber, Crash> crashes_;
  std::deque<CrashNumber> crash_order_;  // oldest first
  absl::flat_hash_map<uint64_t, CrashNumber> last_crash_of_incarnation_;
  size_t in_flight_parts_ = 0;  // over all crashes
  absl::flat_hash_map<PartKey, Suspect> suspects_;
  std::array<Served, kServedEntries> served_{};
  CrashNumber last_number_ = 0;
};

}  // namespace quincewick::forwarding
