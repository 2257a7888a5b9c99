// When a reader of a table polls the store next: snapshot reads, and long polls for deltas in between.
// Performs no I/O.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

namespace quincewick::forwarding {

struct PollingScheduleSettings {
  absl::Duration wait = absl::Seconds(2);       // how long the store holds a long poll without changes
  absl::Duration pause = absl::ZeroDuration();  // between a response and the next long poll
  absl::Duration snapshot_period = absl::Seconds(1);
};

class PollingSchedule {
 public:
  explicit PollingSchedule(const PollingScheduleSettings& settings) : settings_(settings) {}

  // Polling starts again with a snapshot read.
  void restart();
  // The pause from a failed snapshot read until the next one. Grows with each consecutive failure.
  absl::Duration afterFailedSnapshot(absl::BitGenRef random);
  // The pause from a successful snapshot read until the next one.
  absl::Duration afterSnapshot(absl::BitGenRef random);
  // The pause from a response, including that of the first snapshot read, until the next long poll. It
  // is the same for a gateway that has just become the reader, because followers use its rows at once.
  absl::Duration afterDelta() const { return settings_.pause; }
  // The pause after a long poll that got no response or could not be sent.
  absl::Duration afterFailedDelta() const { return kMinRetryPause; }

 private:
  static constexpr absl::Duration kMinRetryPause = absl::Milliseconds(250);

  PollingScheduleSettings settings_;
  absl::Duration retry_pause_ = kMinRetryPause;
};

}  // namespace quincewick::forwarding
