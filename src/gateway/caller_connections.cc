#include "gateway/caller_connections.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "reactor/shed_plan.h"

namespace quincewick::gateway {

CallerConnections::CallerConnections(Core& core, BackEndPool& pool) : core_(core), pool_(pool) {
  core_.buffers.setPressureHandler([this] { shedSoon(); });
}

void CallerConnections::accept(reactor::Connection::Socket socket, Delegations* delegations) {
  if (connections_.size() >= core_.connection_limits.callers && !closeLongestWithoutProgress()) {
    core_.metrics.countShed("new_connection");
    return;  // closes the socket unread
  }
  auto connection = std::make_shared<CallerConnection>(
      core_, pool_, std::move(socket), [this](CallerConnection* closed) { connections_.erase(closed); },
      delegations);
  connections_.emplace(connection.get(), connection);
  connection->start();
}

// Returns false if all connections are served.
bool CallerConnections::closeLongestWithoutProgress() {
  const auto longest =
      std::min_element(connections_.begin(), connections_.end(), [](const auto& one, const auto& other) {
        return one.first->waitingSince() < other.first->waitingSince();
      });
  if (longest == connections_.end() || longest->first->waitingSince() == absl::InfiniteFuture()) {
    return false;
  }
  const std::shared_ptr<CallerConnection> connection = longest->second;
  connection->shed();
  return true;
}

void CallerConnections::freeDescriptor() {
  core_.log.event("descriptors_used_up", reactor::steadyNow())
      .with("connections", static_cast<int64_t>(connections_.size()))
      .with("closing", static_cast<int64_t>(core_.closing_connections.size()));
  if (core_.closing_connections.size() > 0) {
    core_.closing_connections.makeRoom();
  } else {
    closeLongestWithoutProgress();
  }
}

void CallerConnections::closeIdle() {
  std::vector<std::shared_ptr<CallerConnection>> idle;
  for (const auto& [pointer, connection] : connections_) {
    if (!connection->isServing()) {
      idle.push_back(connection);
    }
  }
  for (const auto& connection : idle) {
    connection->closeIfIdle();
  }
}

// Posted: the connection that grows may be in the midst of its work.
void CallerConnections::shedSoon() {
  if (!std::exchange(is_shed_pending_, true)) {
    boost::asio::post(core_.reactor, [this] {
      is_shed_pending_ = false;
      shed(nullptr);
      core_.closing_connections.dropUndelivered(
          [this] { return core_.buffers.used() > core_.buffers.limit(); });
    });
  }
}

bool CallerConnections::makeRoomFor(CallerConnection& growing) {
  return shed(&growing);
}

bool CallerConnections::shed(const CallerConnection* growing) {
  const absl::Time now = reactor::steadyNow();
  std::vector<std::shared_ptr<CallerConnection>> connections;
  std::vector<reactor::ShedCandidate> candidates;
  std::optional<size_t> growing_index;
  for (const auto& [pointer, connection] : connections_) {
    const reactor::ShedCandidate candidate = connection->shedCandidate(now);
    if (candidate.bytes == 0) {
      continue;
    }
    if (pointer == growing) {
      growing_index = candidates.size();
    }
    connections.push_back(connection);
    candidates.push_back(candidate);
  }
  bool keeps_growing = true;
  for (const size_t index :
       reactor::planShed(candidates, core_.buffers, core_.buffers.used(), growing_index, now)) {
    if (index == growing_index) {
      keeps_growing = false;
    } else {
      connections[index]->shed();
    }
  }
  return keeps_growing;
}

}  // namespace quincewick::gateway
