// To which software versions of one service a gateway may send requests now. One in each gateway for each
// service; pure, `now` is the node's steady clock.
//
// The target's share is a bound without a word between gateways: each request that a server of the base has
// answered here adds the share to the bucket of its route, each that goes to the target takes one out.
// Buckets start empty with each process and each rollout, so whatever gateways die, start or are cut off, the
// target gets no more than its share of the requests that reached the service. A part that the decider would
// hand out needs a round trip, and what a dead gateway held is lost or handed out twice.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>

#include "staged_rollout/response_stats.h"
#include "staged_rollout/rollout_record.h"

namespace quincewick::staged_rollout {

// What a gateway knows of a service's rollout, and how sure it is.
struct KnownRecord {
  RolloutRecord record;
  uint64_t row = 0;  // the store's version of it: a later one is newer
};

// The decider's word that the rollout goes on as its record says.
struct RolloutNotice {
  KnownRecord known;
  bool stops_target = false;  // it was found bad: nothing more is to go there; the row follows
};

struct TrafficSplitterSettings {
  double share = 0.1;  // of a service's requests that a version which may be bad gets at most
};

class TrafficSplitter {
 public:
  explicit TrafficSplitter(TrafficSplitterSettings settings) : settings_(settings) {}

  // A reading of the record; it was so at `as_of`, or later.
  void takeRecord(const KnownRecord& known, absl::Time as_of);
  // A reading found it unchanged, or not there.
  void confirmRecord(absl::Time as_of) { record_as_of_ = std::max(record_as_of_, as_of); }
  // The record that is known stands in the store under this version.
  void correctRow(uint64_t row) { known_->row = row; }
  // `now`: when the notice came.
  void takeNotice(const RolloutNotice& notice, absl::Time now);
  // Versions that the service's servers have; the base is guessed from them while no record is known.
  void noteListed(const absl::flat_hash_map<SoftwareVersion, size_t>& servers);

  const std::optional<KnownRecord>& known() const { return known_; }
  bool isRunning() const { return known_ && known_->record.isRunning(); }
  // The version that requests go to but for a rollout's target. Nothing: no server is listed yet.
  std::optional<SoftwareVersion> base() const;
  // Whether a request may be sent to a server of that version now.
  bool mayUse(const SoftwareVersion& version, absl::Duration store_clock, absl::Time now) const;
  // Which side a request of the route goes to; the target's share is taken if it is that. `prompt_position`:
  // 0 to 1, by which requests are told apart that go over early: those of one prompt have the same. Nothing:
  // neither side may be used.
  std::optional<Variant> choose(uint64_t route, double prompt_position, absl::Duration store_clock,
                                absl::Time now);
  // A server of the base answered a request of the route.
  void noteBaselineResponse(uint64_t route);
  SoftwareVersion versionOf(Variant side) const;

  // What a notice is worth, and a reading of the record.
  static constexpr absl::Duration kNoticeTtl = absl::Milliseconds(1500);
  static constexpr absl::Duration kRecordTtl = absl::Milliseconds(2500);

 private:
  void take(const KnownRecord& known);
  bool isBaseOpen(absl::Duration store_clock, absl::Time now) const;
  bool isTargetOpen(absl::Time now) const;

  TrafficSplitterSettings settings_;
  std::optional<KnownRecord> known_;
  absl::Time record_as_of_ = absl::InfinitePast();
  absl::Time notice_received_at_ = absl::InfinitePast();
  uint64_t stopped_request_row_ = 0;  // of the operator: its target was found bad
  std::optional<SoftwareVersion> guessed_base_;
  absl::flat_hash_map<uint64_t, double> buckets_;  // by route
};

}  // namespace quincewick::staged_rollout
