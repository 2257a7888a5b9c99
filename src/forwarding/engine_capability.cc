#include "forwarding/engine_capability.h"

#include <algorithm>
#include <cmath>

namespace quincewick::forwarding {
namespace {

// Readings come about four times a second from an engine, and slow moments last half a second to some
// seconds: a shorter half-life has too few readings, a longer one forgets too late.
constexpr absl::Duration kHalfLife = absl::Seconds(4);
// Fewer streams' pauses tell nothing yet.
constexpr double kFewestPauses = 2;
// Keepers tell again within this, so what is older has a keeper that fell silent, or an engine without
// requests.
constexpr absl::Duration kHeldFor = absl::Seconds(3);
constexpr double kSpeedsApart = 20;  // slower or faster than the first guess is taken as this

double halved(absl::Duration age) {
  return std::exp2(-absl::FDivDuration(age, kHalfLife));
}

}  // namespace

double EngineCapability::probabilityOfPauseOver(absl::Duration allowed) const {
  if (pause <= absl::ZeroDuration()) {
    return 0;
  }
  // A normal distribution's share beyond, by the logistic curve that comes closest; its standard deviation
  // is 1.25 of the mean deviation. A spread of less than a tenth is not believed.
  const double deviation =
      std::max(1.25 * absl::ToDoubleSeconds(pause_deviation), absl::ToDoubleSeconds(pause) / 10);
  const double distance = absl::ToDoubleSeconds(allowed - pause) / deviation;
  return 1 / (1 + std::exp(1.7 * distance));
}

EngineCapability ReportedCapability::at(absl::Time now) const {
  if (told == absl::InfinitePast()) {
    return {};
  }
  const double trust = halved(std::max(now - told - kHeldFor, absl::ZeroDuration()));
  EngineCapability faded;
  faded.read_per_token = kDefaultReadPerToken + (capability.read_per_token - kDefaultReadPerToken) * trust;
  faded.pause = capability.pause * trust;
  faded.pause_deviation = capability.pause_deviation * trust;
  return faded;
}

CapabilityEstimator::CapabilityEstimator(const EngineCapability& told, absl::Time now) : aged_(now) {
  read_tokens_ = kPriorTokens;
  read_seconds_ = absl::ToDoubleSeconds(told.read_per_token) * read_tokens_;
  if (told.pause > absl::ZeroDuration()) {
    pauses_ = kFewestPauses;
    pause_seconds_ = absl::ToDoubleSeconds(told.pause) * pauses_;
    deviation_seconds_ = absl::ToDoubleSeconds(told.pause_deviation) * pauses_;
  }
}

void CapabilityEstimator::notePrefillDone(uint64_t tokens, absl::Duration took, absl::Time now) {
  age(now);
  const double expected = absl::ToDoubleSeconds(kDefaultReadPerToken) * static_cast<double>(tokens);
  const double seconds =
      std::clamp(absl::ToDoubleSeconds(took), expected / kSpeedsApart, expected * kSpeedsApart);
  read_tokens_ += static_cast<double>(tokens);
  read_seconds_ += seconds;
}

void CapabilityEstimator::notePause(absl::Duration longest, absl::Time now) {
  age(now);
  const double seconds = absl::ToDoubleSeconds(longest);
  const double mean = pauses_ > 0 ? pause_seconds_ / pauses_ : seconds;
  pauses_ += 1;
  pause_seconds_ += seconds;
  deviation_seconds_ += std::abs(seconds - mean);
}

void CapabilityEstimator::age(absl::Time now) {
  const double kept = aged_ == absl::InfinitePast() ? 0 : halved(now - aged_);
  aged_ = now;
  read_tokens_ *= kept;
  read_seconds_ *= kept;
  pauses_ *= kept;
  pause_seconds_ *= kept;
  deviation_seconds_ *= kept;
}

EngineCapability CapabilityEstimator::at(absl::Time now) const {
  CapabilityEstimator aged = *this;
  aged.age(now);
  EngineCapability result;
  const double guessed_seconds = absl::ToDoubleSeconds(kDefaultReadPerToken) * kPriorTokens;
  result.read_per_token =
      absl::Seconds((aged.read_seconds_ + guessed_seconds) / (aged.read_tokens_ + kPriorTokens));
  // Fewer than that fade as well: the less is left of them, the less is said.
  if (aged.pauses_ > 0) {
    const double trust = std::min(1.0, aged.pauses_ / kFewestPauses);
    result.pause = absl::Seconds(aged.pause_seconds_ / aged.pauses_ * trust);
    result.pause_deviation = absl::Seconds(aged.deviation_seconds_ / aged.pauses_ * trust);
  }
  return result;
}

}  // namespace quincewick::forwarding
