#include "reactor/closing_connections.h"

#include <algorithm>
#include <utility>

namespace quincewick::reactor {

void CloseProgress::note(size_t unacknowledged, uint64_t discarded, absl::Time now) {
  if (unacknowledged < unacknowledged_ || discarded > discarded_) {
    last_progress_ = now;
  }
  unacknowledged_ = unacknowledged;
  discarded_ = discarded;
  if (unacknowledged == 0) {
    delivered_ = std::min(delivered_, now);
  }
}

bool CloseProgress::isOver(absl::Time now) const {
  const absl::Duration waited = now - last_progress_;
  return isDelivered() ? waited >= kLinger || now - delivered_ >= kMaxDrain : waited >= kMaxStall;
}

void ClosingConnections::add(std::shared_ptr<Connection> connection, absl::Time now) {
  connection->closeWhenSent();
  if (closing_.size() >= max_connections_) {
    sweep(now);
  }
  if (closing_.size() >= max_connections_) {
    makeRoom();
  }
  closing_.push_back({std::move(connection), CloseProgress(now)});
}

void ClosingConnections::sweep(absl::Time now) {
  for (auto closing = closing_.begin(); closing != closing_.end();) {
    const std::shared_ptr<Connection> connection = closing->connection;
    if (connection->isOpen()) {
      closing->progress.note(connection->unacknowledgedBytes(), connection->discardedBytes(), now);
      if (!closing->progress.isOver(now)) {
        ++closing;
        continue;
      }
    }
    if (closing->progress.isDelivered()) {
      connection->close();
    } else {
      connection->abort();
    }
    closing = closing_.erase(closing);
  }
}

void ClosingConnections::dropUndelivered(const std::function<bool()>& is_needed) {
  closing_.sort([](const Closing& one, const Closing& other) {
    return one.progress.lastProgress() < other.progress.lastProgress();
  });
  for (auto closing = closing_.begin(); closing != closing_.end() && is_needed();) {
    if (closing->connection->unsentBytes() > 0) {
      closing->connection->abort();
      closing = closing_.erase(closing);
    } else {
      ++closing;
    }
  }
}

void ClosingConnections::makeRoom() {
  const auto chosen =
      std::min_element(closing_.begin(), closing_.end(), [](const Closing& one, const Closing& other) {
        const auto rank = [](const CloseProgress& progress) {
          return std::pair(!progress.isDelivered(), progress.lastProgress());
        };
        return rank(one.progress) < rank(other.progress);
      });
  if (chosen->progress.isDelivered()) {
    chosen->connection->close();
  } else {
    chosen->connection->abort();
  }
  closing_.erase(chosen);
}

bool ClosingConnections::areAllDelivered() const {
  return std::all_of(closing_.begin(), closing_.end(),
                     [](const Closing& closing) { return closing.progress.isDelivered(); });
}

}  // namespace quincewick::reactor
