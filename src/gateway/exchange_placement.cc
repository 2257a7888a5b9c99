// A request's engine, and its place there.
#include <limits>
#include <utility>
#include <vector>

#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

constexpr uint32_t kPlacesAskedAtMost = 3;  // engines for one attempt

}  // namespace

bool Exchange::chooseEngine(const Servers& servers, absl::Time now) {
  forwarding::PlacementRequest request;
  request.model = facts_.model;
  request.prompt = facts_.prompt;
  request.isolation = tenant_ != nullptr && tenant_->is_isolated ? tenant_->id.value() : "";
  request.wanted = core_.weights.wanted(facts_.model, now);
  request.allowed_pause = route_->allowed_pause.value_or(absl::InfiniteDuration());
  request.output_tokens = facts_.output_tokens;
  request.allowed_first = route_->target_latency.value_or(absl::InfiniteDuration());
  const std::vector<forwarding::CacheStoreTraits> cache_stores = core_.liveCacheStores();
  const auto choose = [&](WeightsVersion least) {
    return core_.placement.choose(request, servers, core_.directory, cache_stores, tried_, least, now);
  };
  engine_ = choose(core_.weights.preferred(facts_.model, now));
  if (!engine_) {
    engine_ = choose(core_.weights.required(facts_.model, now));
  }
  if (!engine_) {
    return false;
  }
  server_ = engine_->server;
  return true;
}

// What this gateway knows of others' work at an engine is old: whoever keeps the engine's books knows better.
// The last of some engines is taken as it is.
void Exchange::askForPlace() {
  ++places_asked_;
  const double most = places_asked_ < kPlacesAskedAtMost ? engine_->most_load_seconds
                                                         : std::numeric_limits<double>::infinity();
  is_place_answered_ = false;
  const uint32_t turn = ++place_turn_;
  const uint64_t question =
      core_.occupancy->reserve(*server_, engine_->read_tokens, most, [this](const PlaceAnswer& answer) {
        const auto self = shared_from_this();
        takePlace(answer);
      });
  // An engine whose books are kept here answers at once, and so the next one may have been asked meanwhile:
  // its question is the one to forget when this request ends. Else its answer came to a request that was
  // gone, and ended the process.
  const bool is_open = turn == place_turn_ && !is_place_answered_;
  if (is_open) {
    place_question_ = question;
  }
}

void Exchange::takePlace(const PlaceAnswer& answer) {
  is_place_answered_ = true;
  place_question_.reset();
  const absl::Time now = reactor::steadyNow();
  if (answer.in_hand) {
    server_->noteOwnerLoad(*answer.in_hand, now);
    server_->capability = {answer.capability, now};
    engine_->load_seconds = core_.placement.loadSeconds(*answer.in_hand, server_->entry.slots,
                                                        core_.placement.capabilityOf(*server_, now));
  }
  if (answer.is_held) {
    place_ = answer.place;
  }
  if (answer.is_held || !answer.in_hand) {
    sendChosen();
    return;
  }
  if (!mayBeSent()) {
    return;
  }
  if (chooseTarget()) {
    askForPlace();
  } else {
    giveUp(false, kNoServer);
  }
}

// What gave way has begun: from now on it takes a place like any other.
void Exchange::reserveBegun() {
  constexpr double however_much = std::numeric_limits<double>::infinity();
  is_place_answered_ = false;
  const uint64_t question =
      core_.occupancy->reserve(*server_, 0, however_much, [this](const PlaceAnswer& answer) {
        is_place_answered_ = true;
        place_question_.reset();
        if (answer.is_held) {
          place_ = answer.place;
        }
      });
  if (!is_place_answered_) {
    place_question_ = question;
  }
}

void Exchange::notePlacement(absl::Time now) {
  if (tried_.empty()) {
    foretold_first_ = now - began_ + engine_->firstPiece();
  }
  core_.placement.noteKept(server_->slot, engine_->shared_keys, now);
  if (engine_->is_new_placement) {
    core_.new_placements.push_back({server_->identity_hash, engine_->shared_keys});
  }
}

bool Exchange::isForetoldLate() const {
  if (!core_.settings.placement.late_gives_way || !route_->target_latency || head_passed_) {
    return false;
  }
  const absl::Duration so_far = reactor::steadyNow() - began_;
  return so_far + engine_->firstPiece() > *route_->target_latency;
}

}  // namespace quincewick::gateway
