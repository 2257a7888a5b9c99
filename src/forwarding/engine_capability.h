// What one engine can do, learnt from the requests that it serves: how long it takes to read a token of a
// prompt, and the longest pauses of its streams. Engines of one service differ several times in speed, and
// some turn slow for a moment.
//
// Readings count by their age, so a slow moment counts for seconds; without any, all fades into "not known",
// so that an engine that is shunned for it is tried again. Of one life of an engine. Pure; `now` never goes
// back.
#pragma once

#include <absl/time/time.h>

#include <optional>

namespace quincewick::forwarding {

// How fast an engine reads where nothing is known of it: a prompt's token on engines of today's sites, 26 to
// 32 us by their sheets.
inline constexpr absl::Duration kDefaultReadPerToken = absl::Microseconds(26);

// What that guess counts as beside readings, so that one alone tells little: two short prompts.
inline constexpr double kPriorTokens = 2000;

// As gateways tell it each other.
struct EngineCapability {
  absl::Duration read_per_token = kDefaultReadPerToken;
  // The longest pause between pieces of a stream: the mean over streams, and how far they are from it at the
  // mean. Zero: not known.
  absl::Duration pause;
  absl::Duration pause_deviation;

  friend bool operator==(const EngineCapability&, const EngineCapability&) = default;

  // How probable it is that a stream has a pause longer than that; 0 where nothing is known.
  double probabilityOfPauseOver(absl::Duration allowed) const;
};

// What was told of an engine, and when: it fades.
struct ReportedCapability {
  EngineCapability capability;
  absl::Time told = absl::InfinitePast();

  EngineCapability at(absl::Time now) const;
};

class CapabilityEstimator {
 public:
  CapabilityEstimator() = default;
  // Begins with what another keeper told.
  CapabilityEstimator(const EngineCapability& told, absl::Time now);

  // A prompt was read within `took`, with so many tokens in hand before its end, its own among them.
  void notePrefillDone(uint64_t tokens, absl::Duration took, absl::Time now);
  // A stream that had pauses ended; the longest one.
  void notePause(absl::Duration longest, absl::Time now);

  EngineCapability at(absl::Time now) const;

 private:
  void age(absl::Time now);

  // Sums that halve with time. The first guess counts as a reading, too, so that one alone decides nothing.
  double read_seconds_ = 0;
  double read_tokens_ = 0;
  double pauses_ = 0;  // their number
  double pause_seconds_ = 0;
  double deviation_seconds_ = 0;
  absl::Time aged_ = absl::InfinitePast();
};

}  // namespace quincewick::forwarding
