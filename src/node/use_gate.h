// Lets threads use something only while it is open, and its owner wait until none does any more.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>

namespace quincewick::node {

// Thread-safe. A thread may use it again while it uses it.
class UseGate {
 public:
  // One use, for as long as it lives; false in a condition when the gate was not open.
  class Use {
   public:
    explicit Use(UseGate& gate) : gate_(gate), entered_(gate.enter()) {}
    ~Use() {
      if (entered_) {
        gate_.leave();
      }
    }
    Use(const Use&) = delete;
    Use& operator=(const Use&) = delete;
    explicit operator bool() const { return entered_; }

   private:
    UseGate& gate_;
    const bool entered_;
  };

  void open() {
    absl::MutexLock lock(&mutex_);
    is_open_ = true;
  }

  // No use begins after; waits for those under way. Not to be called from within a use.
  void close() {
    absl::MutexLock lock(&mutex_);
    is_open_ = false;
    mutex_.Await(absl::Condition(
        +[](uint64_t* uses) { return *uses == 0; }, &uses_));
  }

 private:
  bool enter() {
    absl::MutexLock lock(&mutex_);
    uses_ += is_open_ ? 1 : 0;
    return is_open_;
  }

  void leave() {
    absl::MutexLock lock(&mutex_);
    --uses_;
  }

  absl::Mutex mutex_;
  bool is_open_ ABSL_GUARDED_BY(mutex_) = false;
  uint64_t uses_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace quincewick::node
