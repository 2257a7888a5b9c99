// Choice of an engine for a request, and the reservation of a slot there.
#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

constexpr uint32_t kMaxReservationsPerAttempt = 3;  // engines for one attempt

}  // namespace

bool Exchange::chooseEngine(const Servers& servers, absl::Time now) {
  forwarding::PlacementRequest request;
  request.model = facts_.model;
  request.prompt = facts_.prompt;
  request.isolation = tenant_ != nullptr && tenant_->is_isolated ? tenant_->id.value() : "";
  request.wanted = core_.weights.wanted(facts_.model, now);
  request.allowed_pause = route_->allowed_pause.value_or(absl::InfiniteDuration());
  request.output_tokens = facts_.output_tokens;
  request.allowed_first_piece = route_->target_latency.value_or(absl::InfiniteDuration());
  const std::vector<forwarding::CacheStoreTraits> cache_stores = core_.liveCacheStores();
  const std::vector<uint64_t> excluded = excludedServers();
  const auto choose = [&](WeightsVersion least) {
    return core_.placement.choose(request, servers, core_.directory, cache_stores, excluded, least, now);
  };
  const WeightsVersion least = requiredWeights(now);
  engine_ = choose(std::max(core_.weights.preferred(facts_.model, now), least));
  if (!engine_) {
    engine_ = choose(least);
  }
  // The expected wait depends on the engine; each round requires a higher version.
  while (engine_ && !areWeightsInForce(now)) {
    engine_ = choose(requiredWeights(now));
  }
  if (!engine_) {
    return false;
  }
  server_ = engine_->server;
  engine_chosen_ = now;
  return true;
}

// This gateway's view of the engine's load from other gateways is stale; the owner of the engine's occupancy
// has a fresher one. The last of kMaxReservationsPerAttempt engines is reserved whatever its load.
void Exchange::reserveSlot() {
  ++reservations_requested_;
  const double most = reservations_requested_ < kMaxReservationsPerAttempt
                          ? engine_->max_load_seconds
                          : std::numeric_limits<double>::infinity();
  has_reservation_response_ = false;
  const uint32_t turn = ++reservation_turn_;
  const uint64_t request_number = core_.occupancy->reserve(*server_, engine_->uncached_tokens, most,
                                                           [this](const ReservationResponse& response) {
                                                             const auto self = shared_from_this();
                                                             onReservationResponse(response);
                                                           });
  // If this gateway owns the engine's occupancy, the response comes within the call, and a request for the
  // next engine may already be pending: that one must be cancelled when this exchange ends. Otherwise its
  // response would reach a destroyed exchange and crash the process.
  const bool is_open = turn == reservation_turn_ && !has_reservation_response_;
  if (is_open) {
    pending_reservation_ = request_number;
  }
}

void Exchange::onReservationResponse(const ReservationResponse& response) {
  has_reservation_response_ = true;
  pending_reservation_.reset();
  const absl::Time now = reactor::steadyNow();
  if (response.load) {
    server_->noteOwnerLoad(*response.load, now);
    server_->capability = {response.capability, now};
    engine_->load_seconds = core_.placement.loadSeconds(*response.load, server_->entry.slots,
                                                        core_.placement.capabilityOf(*server_, now));
  }
  if (response.is_reserved) {
    reservation_ = response.reservation;
  }
  if (response.is_reserved || !response.load) {
    sendToChosenServer();
    return;
  }
  if (!maySend()) {
    return;
  }
  if (chooseTarget()) {
    reserveSlot();
  } else {
    onNoServer();
  }
}

// A request that yielded has started and now occupies a slot like any other.
void Exchange::reserveStarted() {
  constexpr double no_limit = std::numeric_limits<double>::infinity();
  has_reservation_response_ = false;
  const uint64_t request_number =
      core_.occupancy->reserve(*server_, 0, no_limit, [this](const ReservationResponse& response) {
        has_reservation_response_ = true;
        pending_reservation_.reset();
        if (response.is_reserved) {
          reservation_ = response.reservation;
        }
      });
  if (!has_reservation_response_) {
    pending_reservation_ = request_number;
  }
}

void Exchange::notePlacement(absl::Time now) {
  if (tried_.empty()) {
    predicted_first_piece_ = now - began_ + engine_->firstPiece();
  }
  core_.placement.noteCached(server_->slot, engine_->shared_keys, now);
  if (engine_->is_new_placement) {
    core_.unreported_placements.push_back({server_->identity_hash, engine_->shared_keys});
  }
}

bool Exchange::isPredictedLate() const {
  if (!core_.settings.placement.late_yields || !route_->target_latency || is_head_forwarded_) {
    return false;
  }
  const absl::Duration so_far = reactor::steadyNow() - began_;
  return so_far + engine_->firstPiece() > *route_->target_latency;
}

}  // namespace quincewick::gateway
