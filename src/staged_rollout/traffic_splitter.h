// Decides to which software versions of one service a gateway may send requests. Each gateway has one
// instance per service. Pure; `now` is the node's steady clock.
//
// The target's share is enforced without communication between gateways, by a token bucket per route: each
// response of the baseline at this gateway adds the share, each request to the target takes one token.
// Buckets start empty with each process and each rollout. So the target never gets more than its share of the
// requests that reached the service, whichever gateways crash, start or are partitioned. Quotas granted by
// the lease holder would need a round trip, and the quota of a crashed gateway would be lost or granted
// twice.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>

#include "staged_rollout/response_stats.h"
#include "staged_rollout/rollout_record.h"

namespace quincewick::staged_rollout {

// A service's rollout record as a gateway knows it.
struct KnownRecord {
  RolloutRecord record;
  uint64_t row = 0;  // the store's version of the record; a greater one is newer
};

// The lease holder's notice that the rollout continues as its record says.
struct RolloutNotice {
  KnownRecord known;
  bool stops_target = false;  // the target was found bad and gets no more requests; the row follows
};

struct TrafficSplitterSettings {
  double share = 0.1;  // greatest fraction of a service's requests for a version that may be bad
};

class TrafficSplitter {
 public:
  explicit TrafficSplitter(TrafficSplitterSettings settings) : settings_(settings) {}

  // Takes a record that was read from the store; it was current at `as_of` or later.
  void takeRecord(const KnownRecord& known, absl::Time as_of);
  // A read found the record unchanged or absent.
  void confirmRecord(absl::Time as_of) { record_as_of_ = std::max(record_as_of_, as_of); }
  // Corrects the store's version of the known record.
  void correctRow(uint64_t row) { known_->row = row; }
  // `now`: when the notice was received.
  void takeNotice(const RolloutNotice& notice, absl::Time now);
  // Versions of the service's listed servers with their counts. While no record is known, the base is guessed
  // from them.
  void noteListed(const absl::flat_hash_map<SoftwareVersion, size_t>& servers);

  const std::optional<KnownRecord>& known() const { return known_; }
  bool isRunning() const { return known_ && known_->record.isRunning(); }
  // The version that gets all requests except a rollout's target share. Nothing if no server is listed yet.
  std::optional<SoftwareVersion> base() const;
  // Whether a request may be sent to a server of that version now.
  bool mayUse(const SoftwareVersion& version, absl::Duration store_clock, absl::Time now) const;
  // Chooses the variant for a request of the route, and takes a token if that is the target.
  // `prompt_position`: 0 to 1, the same for all requests of one prompt; requests with low positions go to the
  // target first. Nothing if neither variant may be used.
  std::optional<Variant> choose(uint64_t route, double prompt_position, absl::Duration store_clock,
                                absl::Time now);
  // A server of the baseline responded to a request of the route.
  void noteBaselineResponse(uint64_t route);
  SoftwareVersion versionOf(Variant variant) const;

  // How long a notice is valid, and a record that was read.
  static constexpr absl::Duration kNoticeTtl = absl::Milliseconds(1500);
  static constexpr absl::Duration kRecordTtl = absl::Milliseconds(2500);
  // How long the target stays open while finishing, when no other version is: a successor of a lease holder
  // that crashed sends its first notice within this. After it nobody judges the target.
  static constexpr absl::Duration kFinishingTtl = absl::Seconds(5);

 private:
  void take(const KnownRecord& known, absl::Time as_of);
  bool isBaseOpen(absl::Duration store_clock, absl::Time now) const;
  bool isTargetOpen(absl::Time now) const;

  TrafficSplitterSettings settings_;
  std::optional<KnownRecord> known_;
  absl::Time record_as_of_ = absl::InfinitePast();
  absl::Time notice_received_at_ = absl::InfinitePast();
  absl::Time row_as_of_ = absl::InfinitePast();  // when the known row was first received
  uint64_t stopped_request_row_ = 0;             // the operator's request whose target was found bad
  std::optional<SoftwareVersion> guessed_base_;
  absl::flat_hash_map<uint64_t, double> buckets_;  // tokens by route
};

}  // namespace quincewick::staged_rollout
