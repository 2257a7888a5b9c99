// Lets cereal archive absl::Time and absl::Duration, in whole nanoseconds.
#pragma once

#include <absl/time/time.h>

#include <cereal/cereal.hpp>
#include <cstdint>

namespace absl {

template <class Archive>
int64_t save_minimal(const Archive& /*archive*/, const Time& time) {  // NOLINT(readability-identifier-naming)
  return ToUnixNanos(time);
}

template <class Archive>
void load_minimal(const Archive& /*archive*/, Time& time,  // NOLINT(readability-identifier-naming)
                  const int64_t& nanoseconds) {
  time = FromUnixNanos(nanoseconds);
}

template <class Archive>
int64_t save_minimal(const Archive& /*archive*/,  // NOLINT(readability-identifier-naming)
                     const Duration& duration) {
  return ToInt64Nanoseconds(duration);
}

template <class Archive>
void load_minimal(const Archive& /*archive*/, Duration& duration,  // NOLINT(readability-identifier-naming)
                  const int64_t& nanoseconds) {
  duration = Nanoseconds(nanoseconds);
}

}  // namespace absl
