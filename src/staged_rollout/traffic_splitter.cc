#include "staged_rollout/traffic_splitter.h"

#include <algorithm>

namespace quincewick::staged_rollout {
namespace {

// Fraction of the share that is used, so that baseline responses that nobody else counts don't let the target
// exceed its share.
constexpr double kShareUsedFraction = 0.9;
// In tokens. A route without traffic doesn't save up tokens for later.
constexpr double kBucketCapacity = 2;
// The target may get requests of this many times its share of the prompts, so that the bucket is used up even
// if requests of the selected prompts are rare.
constexpr double kPromptShareFactor = 1.5;

}  // namespace

void TrafficSplitter::take(const KnownRecord& known, absl::Time as_of) {
  if (known_ && known.row <= known_->row) {
    return;
  }
  const bool is_other_rollout = !known_ || known_->record.request_row != known.record.request_row ||
                                known_->record.target != known.record.target;
  if (is_other_rollout) {
    buckets_.clear();
  }
  known_ = known;
  row_as_of_ = as_of;
}

void TrafficSplitter::takeRecord(const KnownRecord& known, absl::Time as_of) {
  take(known, as_of);
  confirmRecord(as_of);
}

// A notice with an older record than the known one comes from a lease holder that was replaced.
void TrafficSplitter::takeNotice(const RolloutNotice& notice, absl::Time now) {
  take(notice.known, now);
  if (notice.known.row < known_->row) {
    return;
  }
  notice_received_at_ = std::max(notice_received_at_, now);
  if (notice.stops_target) {
    stopped_request_row_ = notice.known.record.request_row;
  }
}

// The first guess stays the base when servers of other versions are listed later.
void TrafficSplitter::noteListed(const absl::flat_hash_map<SoftwareVersion, size_t>& servers) {
  if (known_ || guessed_base_ || servers.empty()) {
    return;
  }
  const auto most = std::max_element(servers.begin(), servers.end(), [](const auto& one, const auto& other) {
    return std::pair(one.second, other.first) < std::pair(other.second, one.first);
  });
  guessed_base_ = most->first;
}

std::optional<SoftwareVersion> TrafficSplitter::base() const {
  return known_ ? std::optional(known_->record.base) : guessed_base_;
}

SoftwareVersion TrafficSplitter::versionOf(Variant variant) const {
  return variant == Variant::kBaseline ? base().value_or(SoftwareVersion()) : known_->record.target;
}

// A gateway that reaches neither the lease holder nor the store can't know whether the base's servers are
// about to be stopped.
bool TrafficSplitter::isBaseOpen(absl::Duration store_clock, absl::Time now) const {
  if (!isRunning()) {
    return true;
  }
  if (known_->record.stage == RolloutStage::kFinishing) {
    return false;
  }
  const bool is_informed = now < notice_received_at_ + kNoticeTtl || now < record_as_of_ + kRecordTtl;
  return is_informed || store_clock < known_->record.base_until;
}

bool TrafficSplitter::isTargetOpen(absl::Time now) const {
  if (!isRunning() || known_->record.request_row == stopped_request_row_) {
    return false;
  }
  if (known_->record.stage == RolloutStage::kFinishing) {
    return now < std::max(notice_received_at_, row_as_of_) + kFinishingTtl;
  }
  return now < notice_received_at_ + kNoticeTtl;
}

bool TrafficSplitter::mayUse(const SoftwareVersion& version, absl::Duration store_clock,
                             absl::Time now) const {
  if (isRunning() && version == known_->record.target) {
    return isTargetOpen(now);
  }
  return base() == version && isBaseOpen(store_clock, now);
}

std::optional<Variant> TrafficSplitter::choose(uint64_t route, double prompt_position,
                                               absl::Duration store_clock, absl::Time now) {
  if (!isTargetOpen(now)) {
    return isBaseOpen(store_clock, now) ? std::optional(Variant::kBaseline) : std::nullopt;
  }
  const RolloutRecord& record = known_->record;
  if (record.stage == RolloutStage::kFinishing) {
    return Variant::kTarget;
  }
  if (record.stage == RolloutStage::kMoving) {
    return prompt_position < record.share ? Variant::kTarget : Variant::kBaseline;
  }
  double& bucket = buckets_[route];
  if (bucket < 1 || prompt_position >= settings_.share * kPromptShareFactor) {
    return Variant::kBaseline;
  }
  bucket -= 1;
  return Variant::kTarget;
}

void TrafficSplitter::noteBaselineResponse(uint64_t route) {
  if (isRunning() && known_->record.stage == RolloutStage::kWatching) {
    double& bucket = buckets_[route];
    bucket = std::min(bucket + settings_.share * kShareUsedFraction, kBucketCapacity);
  }
}

}  // namespace quincewick::staged_rollout
