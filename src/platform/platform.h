// The platform's services as the rest of the project calls them.
#pragma once

#include "types/platform.h"

namespace quincewick::platform {

// Carries out calls to the transactional table, the object store and the machine list. Implementations are
// safe to call from any number of threads; a call blocks its thread for a bounded time.
class Platform {
 public:
  Platform() = default;
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;
  virtual ~Platform() = default;

  // The result's type fits the request's, or it is an Error. Errors tell what is known of writes:
  // kUnavailable and kResourceExhausted only where nothing was written, kOutcomeUnknown where it may have
  // been.
  virtual PlatformResult call(const PlatformRequest& request) = 0;
};

}  // namespace quincewick::platform
