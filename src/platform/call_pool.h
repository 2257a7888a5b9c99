// Threads that carry out calls to the platform, so that who asks does not wait.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

#include "platform/platform.h"

namespace quincewick::platform {

// Thread-safe. Calls of one owner may be carried out in any order.
class CallPool {
 public:
  // Called on a thread of the pool with the result.
  using Callback = std::function<void(PlatformResult result)>;

  // `platform` must outlive the pool.
  CallPool(Platform& platform, size_t threads);
  // Calls not begun are dropped without their callbacks; running ones are waited for.
  ~CallPool();
  CallPool(const CallPool&) = delete;
  CallPool& operator=(const CallPool&) = delete;

  void call(PlatformRequest request, Callback callback);

 private:
  struct Task {
    PlatformRequest request;
    Callback callback;
  };

  void run();
  bool hasWork() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return stopping_ || !tasks_.empty(); }

  Platform& platform_;
  absl::Mutex mutex_;
  std::deque<Task> tasks_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  std::vector<std::thread> threads_;
};

}  // namespace quincewick::platform
