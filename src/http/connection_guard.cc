#include "http/connection_guard.h"

#include <optional>
#include <utility>
#include <vector>

namespace quincewick::http {
namespace {

// Until connections that were told to give way have done so.
constexpr absl::Duration kMaxWaitForRoom = absl::Seconds(5);
// Before a connection without a request gives its thread to one that has none.
constexpr absl::Duration kLeastIdleTime = absl::Milliseconds(100);

}  // namespace

ConnectionGuard::Connection::Connection(ConnectionGuard& guard, absl::Time now)
    : guard_(guard), began_(now), progressed_(now) {
  const absl::MutexLock lock(&guard_.mutex_);
  charge_ = reactor::BufferBudget::Charge(guard_.budget_);
  guard_.connections_.insert(this);
}

ConnectionGuard::Connection::~Connection() {
  const absl::MutexLock lock(&guard_.mutex_);
  guard_.connections_.erase(this);
  charge_.resize(0);
}

bool ConnectionGuard::Connection::noteRead(size_t bytes, absl::Time now) {
  const absl::MutexLock lock(&guard_.mutex_);
  began_ = charge_.bytes() == 0 ? now : began_;
  charge_.resize(charge_.bytes() + bytes);
  if (charge_.bytes() >= read_at_progress_ + reactor::kShedProgressBytes) {
    read_at_progress_ = charge_.bytes();
    progressed_ = now;
  }
  if (guard_.budget_.isExceededFor(charge_.bytes())) {
    guard_.makeRoomFor(*this, now);
    awaitRoom();
  }
  return !gives_way_;
}

// Others that were told to give way hold their input until their threads have run.
void ConnectionGuard::Connection::awaitRoom() {
  const bool was_waiting = std::exchange(is_waiting_, true);
  const auto has_room = [this]() ABSL_NO_THREAD_SAFETY_ANALYSIS {
    return gives_way_ || !guard_.budget_.isExceededFor(charge_.bytes());
  };
  gives_way_ = !guard_.mutex_.AwaitWithTimeout(absl::Condition(&has_room), kMaxWaitForRoom) || gives_way_;
  is_waiting_ = was_waiting;
}

bool ConnectionGuard::Connection::mustGiveWay(absl::Time now) {
  const absl::MutexLock lock(&guard_.mutex_);
  const bool is_thread_needed = guard_.queued_ > 0 && guard_.served_ >= guard_.threads_;
  gives_way_ = gives_way_ || (is_thread_needed && guard_.longestWaiting(now) == this);
  return gives_way_;
}

void ConnectionGuard::Connection::setWaiting(bool is_waiting) {
  const absl::MutexLock lock(&guard_.mutex_);
  is_waiting_ = is_waiting;
}

void ConnectionGuard::Connection::noteRequestOver(absl::Time now) {
  const absl::MutexLock lock(&guard_.mutex_);
  charge_.resize(0);
  read_at_progress_ = 0;
  progressed_ = now;
}

bool ConnectionGuard::Connection::hasGivenWay() const {
  const absl::MutexLock lock(&guard_.mutex_);
  return gives_way_;
}

void ConnectionGuard::noteAccepted() {
  const absl::MutexLock lock(&mutex_);
  ++queued_;
}

void ConnectionGuard::noteStarted() {
  const absl::MutexLock lock(&mutex_);
  --queued_;
  ++served_;
}

void ConnectionGuard::noteEnded() {
  const absl::MutexLock lock(&mutex_);
  --served_;
}

void ConnectionGuard::makeRoomFor(Connection& growing, absl::Time now) {
  std::vector<Connection*> connections;
  std::vector<reactor::ShedCandidate> candidates;
  std::optional<size_t> growing_index;
  size_t leaving_bytes = 0;
  for (Connection* const connection : connections_) {
    const bool may_give_way = connection->is_waiting_ || connection == &growing;
    if (connection->gives_way_) {
      leaving_bytes += connection->charge_.bytes();
    } else if (may_give_way && connection->charge_.bytes() > 0) {
      growing_index = connection == &growing ? std::optional(candidates.size()) : growing_index;
      connections.push_back(connection);
      candidates.push_back({connection->charge_.bytes(), connection->began_, connection->progressed_});
    }
  }
  for (const size_t index :
       reactor::planShed(candidates, budget_, budget_.used() - leaving_bytes, growing_index, now)) {
    connections[index]->gives_way_ = true;
  }
}

const ConnectionGuard::Connection* ConnectionGuard::longestWaiting(absl::Time now) const {
  const Connection* longest = nullptr;
  for (const Connection* const connection : connections_) {
    const absl::Duration least_wait = connection->charge_.bytes() > 0 ? reactor::kShedStall : kLeastIdleTime;
    const bool is_candidate =
        connection->is_waiting_ && !connection->gives_way_ && now - connection->progressed_ >= least_wait;
    if (is_candidate && (longest == nullptr || connection->progressed_ < longest->progressed_)) {
      longest = connection;
    }
  }
  return longest;
}

}  // namespace quincewick::http
