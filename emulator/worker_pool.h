// The threads of a stand-in's HTTP server: as many as there are connections, up to a bound.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <httplib.h>

#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace quincewick::emulator {

// Starts a thread when a task finds none idle. Thread-safe. `shutdown` runs what is queued, then joins.
class WorkerPool : public httplib::TaskQueue {
 public:
  explicit WorkerPool(size_t maximum_threads) : maximum_threads_(maximum_threads) {}

  void enqueue(std::function<void()> task) override;
  void shutdown() override;

 private:
  void work();

  const size_t maximum_threads_;
  absl::Mutex mutex_;
  absl::CondVar changed_;
  std::deque<std::function<void()>> tasks_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::thread> threads_ ABSL_GUARDED_BY(mutex_);
  size_t idle_ ABSL_GUARDED_BY(mutex_) = 0;
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace quincewick::emulator
