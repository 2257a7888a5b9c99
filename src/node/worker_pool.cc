#include "node/worker_pool.h"

#include <utility>

namespace quincewick::node {

WorkerPool::~WorkerPool() {
  std::vector<std::thread> threads;
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
    threads = std::move(threads_);
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void WorkerPool::submit(std::function<void()> task) {
  absl::MutexLock lock(&mutex_);
  tasks_.push_back(std::move(task));
  if (tasks_.size() > idle_threads_ && threads_.size() < maximum_threads_) {
    threads_.emplace_back([this] { work(); });
  }
}

void WorkerPool::work() {
  while (true) {
    std::function<void()> task;
    {
      absl::MutexLock lock(&mutex_);
      ++idle_threads_;
      mutex_.Await(absl::Condition(this, &WorkerPool::taskOrStop));
      --idle_threads_;
      if (tasks_.empty()) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

}  // namespace quincewick::node
