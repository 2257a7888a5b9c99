#include "gateway/back_end_pool.h"

#include <algorithm>
#include <utility>

#include "gateway/back_end_connection.h"

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kFreshIdleLimit = absl::Seconds(2);

}  // namespace

void Attempt::cancel() {
  connection_->cancel(number_);
}

void Attempt::pause() {
  connection_->pause(number_);
}

void Attempt::resume() {
  connection_->resume(number_);
}

std::unique_ptr<Attempt> BackEndPool::start(const forwarding::ServerDirectory::ServerPointer& server,
                                            AttemptRequest request, AttemptListener* listener) {
  ServerConnections& server_connections = connections_[server->identity_hash];
  const absl::Time now = reactor::steadyNow();
  std::shared_ptr<BackEndConnection> connection;
  while (connection == nullptr && !server_connections.idle.empty()) {
    const std::shared_ptr<BackEndConnection> candidate = server_connections.idle.back();
    server_connections.idle.pop_back();
    const absl::Duration idle_time = now - candidate->idleSince();
    const absl::Duration limit = request.wants_fresh_connection
                                     ? std::min(candidate->idleLimit(), kFreshIdleLimit)
                                     : candidate->idleLimit();
    if (candidate->isSound() && idle_time < limit) {
      connection = candidate;
    } else {
      candidate->close();
    }
  }
  if (connection == nullptr) {
    connection = std::make_shared<BackEndConnection>(*this, server);
    ++server_connections.open;
    ++opened_;
  }
  const uint64_t number = connection->begin(std::move(request), listener);
  return std::make_unique<Attempt>(connection, number);
}

void BackEndPool::returnIdle(const std::shared_ptr<BackEndConnection>& connection) {
  connections_[connection->server()->identity_hash].idle.push_back(connection);
}

void BackEndPool::remove(const BackEndConnection* connection) {
  const auto found = connections_.find(connection->server()->identity_hash);
  if (found == connections_.end()) {
    return;
  }
  std::erase_if(found->second.idle, [connection](const auto& idle) { return idle.get() == connection; });
  --found->second.open;
}

void BackEndPool::sweep(absl::Time now) {
  std::vector<std::shared_ptr<BackEndConnection>> expired;
  for (const auto& [server, server_connections] : connections_) {
    for (const auto& connection : server_connections.idle) {
      if (!connection->server()->is_listed || now - connection->idleSince() >= connection->idleLimit()) {
        expired.push_back(connection);
      }
    }
  }
  for (const auto& connection : expired) {
    connection->close();
  }
  absl::erase_if(connections_, [](const auto& entry) { return entry.second.open == 0; });
}

}  // namespace quincewick::gateway
