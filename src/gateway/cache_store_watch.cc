#include "gateway/cache_store_watch.h"

#include <utility>

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kInterval = absl::Milliseconds(700);
constexpr absl::Duration kConnectLimit = absl::Milliseconds(300);
constexpr uint32_t kFailuresUntilDead = 2;

}  // namespace

void CacheStoreWatch::tick() {
  if (core_.in_force.configuration != nullptr && watches_()) {
    for (const forwarding::CacheStoreTraits& store : core_.in_force.configuration->cacheStores()) {
      look(store.address);
    }
  }
  core_.timers.schedule(reactor::steadyNow() + kInterval, [this] { tick(); });
}

void CacheStoreWatch::look(const Address& store) {
  const uint64_t name = Core::nameOfStore(store);
  Look& look = looks_[name];
  if (look.connection != nullptr) {
    return;
  }
  look.limit =
      core_.timers.schedule(reactor::steadyNow() + kConnectLimit, [this, name] { end(name, false); });
  const auto connected = [this, name](reactor::ConnectResult result) {
    const bool is_reached = result == reactor::ConnectResult::kConnected;
    // Not from within the connection's own call.
    core_.timers.schedule(reactor::steadyNow(), [this, name, is_reached] { end(name, is_reached); });
  };
  look.connection = reactor::Connection::connect(core_.reactor, store, connected);
}

void CacheStoreWatch::end(uint64_t name, bool is_reached) {
  Look& look = looks_[name];
  if (look.connection == nullptr) {
    return;
  }
  core_.timers.cancel(look.limit);
  std::exchange(look.connection, nullptr)->abort();
  look.failures = is_reached ? 0 : look.failures + 1;
  const bool was_dead = core_.dead_cache_stores.contains(name);
  const bool is_dead = look.failures >= kFailuresUntilDead;
  if (is_dead == was_dead) {
    return;
  }
  core_.log.event("cache_store", reactor::steadyNow()).with("reached", is_dead ? "false" : "true");
  if (is_dead) {
    core_.dead_cache_stores.insert(name);
  } else {
    core_.dead_cache_stores.erase(name);
  }
}

}  // namespace quincewick::gateway
