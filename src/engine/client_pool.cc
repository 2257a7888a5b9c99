#include "engine/client_pool.h"

#include <utility>

namespace quincewick::engine {
namespace {

constexpr size_t kIdleClientsPerAddress = 64;

}  // namespace

std::unique_ptr<httplib::Client> ClientPool::take(const Address& address) {
  {
    absl::MutexLock lock(&mutex_);
    const auto idle = idle_.find(address);
    if (idle != idle_.end() && !idle->second.empty()) {
      std::unique_ptr<httplib::Client> client = std::move(idle->second.back());
      idle->second.pop_back();
      return client;
    }
  }
  return makeClient(address);
}

void ClientPool::giveBack(const Address& address, std::unique_ptr<httplib::Client> client) {
  absl::MutexLock lock(&mutex_);
  auto& idle = idle_[address];
  if (idle.size() < kIdleClientsPerAddress) {
    idle.push_back(std::move(client));
  }
}

std::unique_ptr<httplib::Client> ClientPool::makeClient(const Address& address) const {
  auto client = std::make_unique<httplib::Client>(address.host, address.port);
  client->set_tcp_nodelay(true);
  client->set_keep_alive(true);
  client->set_default_headers(headers_);
  client->set_connection_timeout(absl::ToChronoMicroseconds(connect_timeout_));
  client->set_read_timeout(absl::ToChronoMicroseconds(read_timeout_));
  client->set_write_timeout(absl::ToChronoMicroseconds(read_timeout_));
  return client;
}

}  // namespace quincewick::engine
