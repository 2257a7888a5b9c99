// Threads for blocking work, such as reading one engine's stream.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace quincewick::node {

// Grows up to a limit; a task beyond it waits for a free thread. Thread-safe.
class WorkerPool {
 public:
  explicit WorkerPool(size_t maximum_threads) : maximum_threads_(maximum_threads) {}
  // Runs what was submitted, then joins all threads.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  void submit(std::function<void()> task);

 private:
  void work();
  bool taskOrStop() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) { return stopping_ || !tasks_.empty(); }

  const size_t maximum_threads_;
  absl::Mutex mutex_;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
  size_t idle_threads_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace quincewick::node
