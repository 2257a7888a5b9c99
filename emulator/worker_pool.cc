#include "emulator/worker_pool.h"

#include <utility>

namespace quincewick::emulator {

void WorkerPool::enqueue(std::function<void()> task) {
  const absl::MutexLock lock(&mutex_);
  tasks_.push_back(std::move(task));
  if (tasks_.size() > idle_ && threads_.size() < maximum_threads_) {
    threads_.emplace_back([this] { work(); });
  }
  changed_.Signal();
}

void WorkerPool::work() {
  while (true) {
    std::function<void()> task;
    {
      const absl::MutexLock guard(&mutex_);
      ++idle_;
      while (tasks_.empty() && !stopping_) {
        changed_.Wait(&mutex_);
      }
      --idle_;
      if (tasks_.empty()) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

void WorkerPool::shutdown() {
  std::vector<std::thread> threads;
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
    changed_.SignalAll();
    threads.swap(threads_);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

}  // namespace quincewick::emulator
