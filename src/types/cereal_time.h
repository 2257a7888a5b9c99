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
void load_minimal(const Archive& /*archive*/, Time& time,
                  const int64_t& nanoseconds) {  // NOLINT(readability-identifier-naming)
  time = FromUnixNanos(nanoseconds);
}

template <class Archive>
int64_t save_minimal(const Archive& /*archive*/,
                     const Duration& duration) {  // NOLINT(readability-identifier-naming)
  return ToInt64Nanoseconds(duration);
}

template <class Archive>
void load_minimal(const Archive& /*archive*/, Duration& duration,
                  const int64_t& nanoseconds) {  // NOLINT(readability-identifier-naming)
  duration = Nanoseconds(nanoseconds);
}

}  // namespace absl
