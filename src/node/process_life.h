// One life of a node's process, as the modules that outlive it must tell it from others.
#pragma once

#include <absl/time/time.h>

#include "types/identifiers.h"

namespace quincewick::node {

// Membership raises a node's incarnation to refute false claims, at most this often in one life; dividing by
// it gives the number of the life itself.
inline constexpr uint64_t kIncarnationsPerLife = 1024;

// The first incarnation of a life that begins now. Greater than all of earlier lives, as long as the clock
// does not go back by more than the process was down.
inline Incarnation firstIncarnation(absl::Time now) {
  return Incarnation(static_cast<uint64_t>(absl::ToUnixMillis(now)) * kIncarnationsPerLife);
}

// The life that an incarnation belongs to.
inline Incarnation lifeOf(Incarnation incarnation) {
  return Incarnation(incarnation.value() / kIncarnationsPerLife);
}

}  // namespace quincewick::node
