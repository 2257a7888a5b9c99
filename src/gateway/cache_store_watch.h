// Probes whether the site's cache stores are reachable, because an engine that is told to fetch from an
// unreachable one waits for it. A zone reader probes for its zone; the other gateways get the result from its
// digests.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>

#include "gateway/core.h"
#include "reactor/connection.h"

namespace quincewick::gateway {

class CacheStoreWatch {
 public:
  // `watches`: whether this gateway probes for its zone.
  CacheStoreWatch(Core& core, std::function<bool()> watches) : core_(core), watches_(std::move(watches)) {}

  void start() { tick(); }

 private:
  struct Probe {
    std::shared_ptr<reactor::Connection> connection;  // null while no probe is in progress
    reactor::TimerQueue::Key limit;
    uint32_t failures = 0;  // in a row
  };

  void tick();
  void probe(const Address& store);
  void finishProbe(uint64_t name, bool is_reached);

  Core& core_;
  std::function<bool()> watches_;
  absl::flat_hash_map<uint64_t, Probe> probes_;  // by the cache store's name
};

}  // namespace quincewick::gateway
