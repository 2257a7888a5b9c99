#include "reactor/buffer_budget.h"

namespace quincewick::reactor {

void BufferBudget::Charge::resize(size_t bytes) {
  if (budget_ != nullptr && bytes != bytes_) {
    budget_->add(std::exchange(bytes_, bytes), bytes);
  }
}

void BufferBudget::add(size_t before, size_t after) {
  used_ += after;
  used_ -= before;
  if (after > before && used_ > limitOfLargeMessages() && on_pressure_) {
    on_pressure_();
  }
}

}  // namespace quincewick::reactor
