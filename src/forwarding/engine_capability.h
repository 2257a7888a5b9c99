// The capability of an engine, estimated from the requests that it serves: the time to prefill a token, and
// the longest pauses of its streams. Engines of one service differ several times in speed, and some become
// slow for short periods.
//
// Samples decay with their age, so a slow period counts for seconds. Without new samples the estimate decays
// to "unknown", so that an engine that was avoided is tried again. An estimate is for one incarnation of an
// engine. Does no I/O; `now` never goes back.
#pragma once

#include <absl/time/time.h>

#include <optional>

namespace quincewick::forwarding {

// Time to prefill a token on an engine of which nothing is known. Current engines are specified with 26 to
// 32 us.
inline constexpr absl::Duration kDefaultPrefillTimePerToken = absl::Microseconds(26);

// Weight of this default beside samples, in tokens, about two short prompts: a single sample changes little.
inline constexpr double kPriorTokens = 2000;

// As gateways report it to each other.
struct EngineCapability {
  absl::Duration prefill_time_per_token = kDefaultPrefillTimePerToken;
  // The longest pause between pieces of a stream: mean and mean deviation over streams. Zero: unknown.
  absl::Duration pause;
  absl::Duration pause_deviation;

  friend bool operator==(const EngineCapability&, const EngineCapability&) = default;

  // Probability that a stream has a longer pause than `allowed`; 0 if nothing is known.
  double probabilityOfPauseOver(absl::Duration allowed) const;
};

// A capability reported by a peer at `reported_at`; it decays with its age.
struct ReportedCapability {
  EngineCapability capability;
  absl::Time reported_at = absl::InfinitePast();

  EngineCapability at(absl::Time now) const;
};

class CapabilityEstimator {
 public:
  CapabilityEstimator() = default;
  // Starts with the capability that the previous owner reported.
  CapabilityEstimator(const EngineCapability& initial, absl::Time now);

  // A prefill was done `took` after its slot was reserved. `tokens`: all that the engine still had to prefill
  // when the slot was reserved, including those of this request.
  void notePrefillDone(uint64_t tokens, absl::Duration took, absl::Time now);
  // A stream ended; `longest` is its longest pause.
  void notePause(absl::Duration longest, absl::Time now);

  EngineCapability at(absl::Time now) const;

 private:
  void decayTo(absl::Time now);

  // Sums with exponential decay.
  double prefill_seconds_ = 0;
  double prefill_tokens_ = 0;
  double pauses_ = 0;  // count
  double pause_seconds_ = 0;
  double deviation_seconds_ = 0;
  absl::Time decayed_at_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
