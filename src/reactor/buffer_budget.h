// Bounds the bytes that a process holds in buffers for its peers, over all connections together.
#pragma once

#include <cstddef>
#include <functional>
#include <utility>

namespace quincewick::reactor {

class BufferBudget {
 public:
  // What one owner of buffers holds. Returned to the budget by the destructor.
  class Charge {
   public:
    Charge() = default;
    explicit Charge(BufferBudget& budget) : budget_(&budget) {}
    Charge(Charge&& other) noexcept
        : budget_(std::exchange(other.budget_, nullptr)), bytes_(std::exchange(other.bytes_, 0)) {}
    Charge& operator=(Charge&& other) noexcept {
      std::swap(budget_, other.budget_);
      std::swap(bytes_, other.bytes_);
      return *this;
    }
    Charge(const Charge&) = delete;
    Charge& operator=(const Charge&) = delete;
    ~Charge() { resize(0); }

    // Sets the bytes that the owner holds now.
    void resize(size_t bytes);
    size_t bytes() const { return bytes_; }

   private:
    BufferBudget* budget_ = nullptr;  // null: nothing is charged
    size_t bytes_ = 0;
  };

  explicit BufferBudget(size_t limit = 0) : limit_(limit) {}
  BufferBudget(const BufferBudget&) = delete;
  BufferBudget& operator=(const BufferBudget&) = delete;

  // Called when a charge grows while more is used than large messages may take. It must not change charges
  // before it returns.
  void setPressureHandler(std::function<void()> on_pressure) { on_pressure_ = std::move(on_pressure); }
  void setLimit(size_t limit) { limit_ = limit; }

  size_t used() const { return used_; }
  // In bytes, of all messages.
  size_t limit() const { return limit_; }
  // The rest is kept for small messages, so that large ones can't keep them out.
  size_t limitOfLargeMessages() const { return limit_ / 4 * 3; }
  // A message up to this size is small.
  static constexpr size_t kSmallMessageBytes = 65536;
  // Of messages of that size.
  size_t limitFor(size_t message_bytes) const {
    return message_bytes > kSmallMessageBytes ? limitOfLargeMessages() : limit_;
  }
  // Whether more is used than leaves room for a message of that size, which is already charged.
  bool isExceededFor(size_t message_bytes) const { return used_ > limitFor(message_bytes); }

 private:
  void add(size_t before, size_t after);

  size_t limit_;
  size_t used_ = 0;
  std::function<void()> on_pressure_;
};

}  // namespace quincewick::reactor
