#include "gateway/core.h"

#include <absl/random/distributions.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "types/address_text.h"

namespace quincewick::gateway {
namespace {

// Machines' clocks differ by seconds; a start time further ahead than this is invalid.
constexpr absl::Duration kMaxClockSkew = absl::Hours(1);
constexpr absl::Duration kRevocationMargin = absl::Milliseconds(300);
constexpr size_t kBytesPerMb = 1'000'000;
// Of the process's memory, for buffers. The rest holds the view of the site and what is short-lived.
constexpr size_t kBufferShareDivisor = 4;

forwarding::EnginePlacementSettings placementSettings(const GatewaySettings& settings) {
  forwarding::EnginePlacementSettings result;
  result.zone = settings.zone;
  result.switches = settings.placement;
  result.random_salt = XXH3_64bits(settings.gateway_id.value().data(), settings.gateway_id.value().size());
  return result;
}

forwarding::RetryBudgetSettings budgetSettings(const GatewaySettings& settings) {
  forwarding::RetryBudgetSettings result;
  result.ratio = settings.bounds.retry_ratio;
  result.constant = settings.bounds.retry_constant;
  result.minimum_nodes = settings.gateways_assumed;
  result.site_is_new = settings.site_is_new;
  return result;
}

telemetry::EventLogSettings logSettings(const GatewaySettings& settings) {
  telemetry::EventLogSettings result;
  result.node = settings.gateway_id.value();
  return result;
}

}  // namespace

Core::Core(GatewaySettings own_settings, std::unique_ptr<forwarding::Dialect> own_dialect, int log_descriptor)
    : settings(std::move(own_settings)),
      connection_limits(connectionLimits(settings, systemDescriptors())),
      dialect(std::move(own_dialect)),
      timers(reactor),
      closing_connections(connection_limits.closing),
      log(logSettings(settings), log_descriptor),
      placement(placementSettings(settings)),
      budget(budgetSettings(settings), absl::Uniform(random, 0.0, 1.0)),
      weights(settings.bounds.weights_in_force) {
  buffers.setLimit(bufferLimit());
}

uint64_t Core::cacheStoreId(const Address& store) {
  const std::string text = printAddress(store);
  return XXH3_64bits(text.data(), text.size());
}

std::vector<forwarding::CacheStoreTraits> Core::liveCacheStores() const {
  std::vector<forwarding::CacheStoreTraits> live;
  if (in_force.configuration != nullptr) {
    live = in_force.configuration->cacheStores();
  }
  if (!unreachable_cache_stores.empty()) {
    std::erase_if(live, [this](const forwarding::CacheStoreTraits& store) {
      return unreachable_cache_stores.contains(cacheStoreId(store.address));
    });
  }
  return live;
}

// One request of the largest size fits beside those that are kept room for.
size_t Core::bufferLimit() const {
  const size_t share = settings.memory_mb * kBytesPerMb / kBufferShareDivisor;
  const size_t largest = in_force.configuration == nullptr ? forwarding::CallerLimits().body_bytes
                                                           : in_force.configuration->limits().body_bytes;
  return std::max(share, 2 * largest);
}

void Core::clearFreedSlots() {
  for (const forwarding::EngineNumber slot : directory.takeFreedSlots()) {
    placement.forget(slot);
  }
}

bool Core::isPlausibleStart(absl::Time started) const {
  return started <= absl::Now() + kMaxClockSkew;
}

void Core::applyBounds(const GatewayBounds& bounds) {
  settings.bounds = bounds;
  budget.setSettings(budgetSettings(settings));
  weights.setInForce(bounds.weights_in_force);
}

std::optional<absl::Duration> Core::storeClock(absl::Time now) const {
  if (!store_clock_offset) {
    return std::nullopt;
  }
  return *store_clock_offset + (now - absl::UnixEpoch());
}

bool Core::configurationIsCurrent(absl::Time now) const {
  return configurationAge(now) < settings.bounds.configuration_in_force;
}

bool Core::keysAreConfirmed(absl::Time now) const {
  return configurationAge(now) < settings.bounds.key_revocation - kRevocationMargin;
}

void Core::noteRefusedResponse(const forwarding::Server& server, const std::string& attempt_id,
                               std::string_view cause) {
  metrics.countRefusedResponse(cause);
  log.event("answer_refused", reactor::steadyNow())
      .with("server", server.entry.id)
      .with("request", attempt_id)
      .with("why", cause);
}

void Core::noteLostCall(std::string_view peer, const Error& error) {
  if (error.code == ErrorCode::kOutcomeUnknown) {
    log.event("call_lost", reactor::steadyNow()).with("peer", peer).with("why", error.message);
  }
}

}  // namespace quincewick::gateway
