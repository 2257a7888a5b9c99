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
      probe(store.address);
    }
  }
  core_.timers.schedule(reactor::steadyNow() + kInterval, [this] { tick(); });
}

void CacheStoreWatch::probe(const Address& store) {
  const uint64_t name = Core::cacheStoreId(store);
  Probe& probe = probes_[name];
  if (probe.connection != nullptr) {
    return;
  }
  probe.limit =
      core_.timers.schedule(reactor::steadyNow() + kConnectLimit, [this, name] { finishProbe(name, false); });
  const auto connected = [this, name](reactor::ConnectResult result) {
    const bool is_reached = result == reactor::ConnectResult::kConnected;
    // Deferred: the probe must not destroy the connection within its own callback.
    core_.timers.schedule(reactor::steadyNow(), [this, name, is_reached] { finishProbe(name, is_reached); });
  };
  probe.connection = reactor::Connection::connect(core_.reactor, store, connected);
}

void CacheStoreWatch::finishProbe(uint64_t name, bool is_reached) {
  Probe& probe = probes_[name];
  if (probe.connection == nullptr) {
    return;
  }
  core_.timers.cancel(probe.limit);
  std::exchange(probe.connection, nullptr)->abort();
  probe.failures = is_reached ? 0 : probe.failures + 1;
  const bool was_dead = core_.unreachable_cache_stores.contains(name);
  const bool is_dead = probe.failures >= kFailuresUntilDead;
  if (is_dead == was_dead) {
    return;
  }
  core_.log.event("cache_store", reactor::steadyNow()).with("reached", is_dead ? "false" : "true");
  if (is_dead) {
    core_.unreachable_cache_stores.insert(name);
  } else {
    core_.unreachable_cache_stores.erase(name);
  }
}

}  // namespace quincewick::gateway
