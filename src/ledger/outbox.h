// Collects the actions of one event and loops back what a node sends to itself.
#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "ledger/events.h"

namespace quincewick::ledger {

class Outbox {
 public:
  explicit Outbox(NodeId self) : self_(std::move(self)) {}

  void send(const NodeId& to, Message message) {
    if (to == self_) {
      to_self_.push_back(std::move(message));
    } else {
      actions_.push_back(SendToPeer{to, std::move(message)});
    }
  }
  void add(LedgerAction action) { actions_.push_back(std::move(action)); }

  bool hasOwnMessage() const { return !to_self_.empty(); }
  Message takeOwnMessage() {
    Message message = std::move(to_self_.front());
    to_self_.pop_front();
    return message;
  }
  std::vector<LedgerAction> takeActions() { return std::exchange(actions_, {}); }

 private:
  NodeId self_;
  std::deque<Message> to_self_;
  std::vector<LedgerAction> actions_;
};

}  // namespace quincewick::ledger
