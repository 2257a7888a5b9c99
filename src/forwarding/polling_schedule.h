// When one who follows a table of the store asks it next: whole readings, and questions after changes
// between them. Pure.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

namespace quincewick::forwarding {

struct PollingScheduleSettings {
  absl::Duration wait = absl::Seconds(2);       // of a question, for a change
  absl::Duration pause = absl::ZeroDuration();  // between an answer and the next question
  absl::Duration snapshot_period = absl::Seconds(1);
};

class PollingSchedule {
 public:
  explicit PollingSchedule(const PollingScheduleSettings& settings) : settings_(settings) {}

  // The following begins anew, with a whole reading.
  void restart();
  // A whole reading failed: until the next one. Grows with each failure in a row.
  absl::Duration afterFailedSnapshot(absl::BitGenRef random);
  // A whole reading was answered: until the next one.
  absl::Duration afterSnapshot(absl::BitGenRef random);
  // From an answer, the first whole reading among them, until the next question after changes. A reader that
  // has just begun looks as often as any: others go by its rows at once.
  absl::Duration afterDelta() const { return settings_.pause; }
  // A question after changes was not answered, or could not be asked.
  absl::Duration afterFailedDelta() const { return kMinRetryPause; }

 private:
  static constexpr absl::Duration kMinRetryPause = absl::Milliseconds(250);

  PollingScheduleSettings settings_;
  absl::Duration retry_pause_ = kMinRetryPause;
};

}  // namespace quincewick::forwarding
