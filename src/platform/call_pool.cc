#include "platform/call_pool.h"

#include <utility>

namespace quincewick::platform {

CallPool::CallPool(Platform& platform, size_t threads) : platform_(platform) {
  for (size_t index = 0; index < threads; ++index) {
    threads_.emplace_back([this] { run(); });
  }
}

CallPool::~CallPool() {
  {
    const absl::MutexLock lock(&mutex_);
    stopping_ = true;
    tasks_.clear();
  }
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void CallPool::call(PlatformRequest request, Callback callback) {
  const absl::MutexLock lock(&mutex_);
  if (!stopping_) {
    tasks_.push_back({std::move(request), std::move(callback)});
  }
}

void CallPool::run() {
  for (;;) {
    Task task;
    {
      const absl::MutexLock lock(&mutex_);
      mutex_.Await(absl::Condition(this, &CallPool::hasWork));
      if (tasks_.empty()) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task.callback(platform_.call(task.request));
  }
}

}  // namespace quincewick::platform
