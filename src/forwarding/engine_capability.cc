#include "forwarding/engine_capability.h"

#include <algorithm>
#include <cmath>

namespace quincewick::forwarding {
namespace {

// An engine yields about four samples a second, and slow periods last from half a second to some seconds: a
// shorter half-life has too few samples, a longer one keeps outdated ones.
constexpr absl::Duration kHalfLife = absl::Seconds(4);
// Estimates from fewer pauses are reduced.
constexpr double kMinPauses = 2;
// Owners report again within this time, so an older report has an owner that stopped reporting or an engine
// without requests.
constexpr absl::Duration kFullTrustTime = absl::Seconds(3);
constexpr double kMaxSpeedRatio = 20;  // samples are clamped to the default time over or times this

double decayFactor(absl::Duration age) {
  return std::exp2(-absl::FDivDuration(age, kHalfLife));
}

}  // namespace

double EngineCapability::probabilityOfPauseOver(absl::Duration allowed) const {
  if (pause <= absl::ZeroDuration()) {
    return 0;
  }
  // Tail of a normal distribution, approximated by a logistic curve. The standard deviation is 1.25 times the
  // mean deviation, and at least a tenth of the mean.
  const double deviation =
      std::max(1.25 * absl::ToDoubleSeconds(pause_deviation), absl::ToDoubleSeconds(pause) / 10);
  const double distance = absl::ToDoubleSeconds(allowed - pause) / deviation;
  return 1 / (1 + std::exp(1.7 * distance));
}

EngineCapability ReportedCapability::at(absl::Time now) const {
  if (reported_at == absl::InfinitePast()) {
    return {};
  }
  const double trust = decayFactor(std::max(now - reported_at - kFullTrustTime, absl::ZeroDuration()));
  EngineCapability discounted;
  discounted.prefill_time_per_token =
      kDefaultPrefillTimePerToken + (capability.prefill_time_per_token - kDefaultPrefillTimePerToken) * trust;
  discounted.pause = capability.pause * trust;
  discounted.pause_deviation = capability.pause_deviation * trust;
  return discounted;
}

CapabilityEstimator::CapabilityEstimator(const EngineCapability& initial, absl::Time now) : decayed_at_(now) {
  prefill_tokens_ = kPriorTokens;
  prefill_seconds_ = absl::ToDoubleSeconds(initial.prefill_time_per_token) * prefill_tokens_;
  if (initial.pause > absl::ZeroDuration()) {
    pauses_ = kMinPauses;
    pause_seconds_ = absl::ToDoubleSeconds(initial.pause) * pauses_;
    deviation_seconds_ = absl::ToDoubleSeconds(initial.pause_deviation) * pauses_;
  }
}

void CapabilityEstimator::notePrefillDone(uint64_t tokens, absl::Duration took, absl::Time now) {
  decayTo(now);
  const double expected = absl::ToDoubleSeconds(kDefaultPrefillTimePerToken) * static_cast<double>(tokens);
  const double seconds =
      std::clamp(absl::ToDoubleSeconds(took), expected / kMaxSpeedRatio, expected * kMaxSpeedRatio);
  prefill_tokens_ += static_cast<double>(tokens);
  prefill_seconds_ += seconds;
}

void CapabilityEstimator::notePause(absl::Duration longest, absl::Time now) {
  decayTo(now);
  const double seconds = absl::ToDoubleSeconds(longest);
  const double mean = pauses_ > 0 ? pause_seconds_ / pauses_ : seconds;
  pauses_ += 1;
  pause_seconds_ += seconds;
  deviation_seconds_ += std::abs(seconds - mean);
}

void CapabilityEstimator::decayTo(absl::Time now) {
  const double factor = decayed_at_ == absl::InfinitePast() ? 0 : decayFactor(now - decayed_at_);
  decayed_at_ = now;
  prefill_tokens_ *= factor;
  prefill_seconds_ *= factor;
  pauses_ *= factor;
  pause_seconds_ *= factor;
  deviation_seconds_ *= factor;
}

EngineCapability CapabilityEstimator::at(absl::Time now) const {
  CapabilityEstimator decayed = *this;
  decayed.decayTo(now);
  EngineCapability result;
  const double prior_seconds = absl::ToDoubleSeconds(kDefaultPrefillTimePerToken) * kPriorTokens;
  result.prefill_time_per_token =
      absl::Seconds((decayed.prefill_seconds_ + prior_seconds) / (decayed.prefill_tokens_ + kPriorTokens));
  // With fewer than kMinPauses left, the pause decays to zero, which means unknown.
  if (decayed.pauses_ > 0) {
    const double trust = std::min(1.0, decayed.pauses_ / kMinPauses);
    result.pause = absl::Seconds(decayed.pause_seconds_ / decayed.pauses_ * trust);
    result.pause_deviation = absl::Seconds(decayed.deviation_seconds_ / decayed.pauses_ * trust);
  }
  return result;
}

}  // namespace quincewick::forwarding
