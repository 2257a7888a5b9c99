#include "gateway/occupancy_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace quincewick::gateway {
namespace {

// An owner's response takes 2 ms at the median and 15 ms at the 99th percentile on a site of 79 gateways.
// Without a response, the request proceeds with this gateway's own view of the engine.
constexpr absl::Duration kResponseTimeout = absl::Milliseconds(25);
constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(250);  // between updates of the members
constexpr absl::Duration kProbeInterval = absl::Milliseconds(500);
// A capability is reported to peers again after a change by a fifth, and twice within the time for which they
// keep a report, since a digest may be lost.
constexpr double kReportThreshold = 0.2;
constexpr absl::Duration kReportRepeatInterval = absl::Milliseconds(1500);
constexpr absl::Duration kMinReportInterval = absl::Milliseconds(250);
constexpr size_t kMaxReportedEngines = 20'000;

bool hasChangedEnough(const forwarding::EngineCapability& now, const forwarding::EngineCapability& reported) {
  const auto differs = [](absl::Duration one, absl::Duration other) {
    return absl::AbsDuration(one - other) > kReportThreshold * other;
  };
  return differs(now.prefill_time_per_token, reported.prefill_time_per_token) ||
         differs(now.pause, reported.pause);
}

}  // namespace

OccupancyExchange::OccupancyExchange(Core& core, PeerDirectory& directory, PeerExchange& peers)
    : core_(core), directory_(directory), peers_(peers) {}

void OccupancyExchange::start() {
  peers_.setMessageHandler(
      peer::PeerModule::kOccupancy,
      [this](const NodeId& from, std::string_view payload) { return receive(from, payload); });
  heartbeat();
}

void OccupancyExchange::heartbeat() {
  ranks_.setMembers(directory_.ownerCandidates());
  core_.timers.schedule(reactor::steadyNow() + kHeartbeatInterval, [this] { heartbeat(); });
}

uint64_t OccupancyExchange::reserve(const forwarding::Server& engine, uint64_t prefill_tokens,
                                    double max_load_seconds, ResponseCallback on_response) {
  const uint64_t number = ++last_number_;
  OccupancyMessage request;
  request.kind = OccupancyMessageKind::kReserve;
  request.number = number;
  request.engine = engine.identity_hash;
  request.prefill_tokens = prefill_tokens;
  request.max_load_seconds = max_load_seconds;
  const std::vector<NodeId> owners = ranks_.candidates(engine.entry.id);
  const NodeId self = core_.settings.gateway_id;
  if (owners.empty() || owners.front() == self) {
    on_response(responseOf(self, handleReserve(self, request)));
    return number;
  }
  probe(ranks_.before(engine.entry.id, owners.front()), request);
  pending_requests_[number] = {owners.front(), reactor::steadyNow() + kResponseTimeout,
                               std::move(on_response)};
  send(owners.front(), request);
  scheduleExpiry();
  return number;
}

// Checks whether nodes that rank before the owner and are suspected to be down are back, by a reservation
// that no engine can grant.
void OccupancyExchange::probe(const std::vector<NodeId>& nodes, OccupancyMessage request) {
  request.max_load_seconds = -1;
  const absl::Time now = reactor::steadyNow();
  for (const NodeId& node : nodes) {
    absl::Time& last = probed_.try_emplace(node, absl::InfinitePast()).first->second;
    if (now - last >= kProbeInterval) {
      last = now;
      send(node, request);
    }
  }
}

ReservationResponse OccupancyExchange::responseOf(const NodeId& owner, const OccupancyMessage& message) {
  ReservationResponse response;
  response.is_reserved = message.kind == OccupancyMessageKind::kReserved;
  response.load = forwarding::ServerLoad{message.running, message.prefill_tokens};
  if (const auto capability = capabilityFrom(message.capability)) {
    response.capability = capability.value();
  }
  response.reservation = {message.engine, message.number, owner};
  return response;
}

// Load that peers reported in their digests counts only while the own occupancy is still incomplete.
OccupancyMessage OccupancyExchange::handleReserve(const NodeId& from, const OccupancyMessage& request) {
  const absl::Time now = reactor::steadyNow();
  forwarding::ServerLoad load = occupancy_.at(request.engine, now);
  const auto server = core_.directory.findByHash(request.engine);
  if (server != nullptr && !occupancy_.isFullyObserved(request.engine, now)) {
    load.running = std::max(load.running, server->running());
    load.prefill_tokens = std::max(load.prefill_tokens, server->prefillTokens());
  }
  const uint32_t slots = server == nullptr ? 1 : server->entry.slots;
  if (server != nullptr) {
    occupancy_.begin(request.engine, server->capability.at(now), now);
  }
  forwarding::EngineCapability capability;
  if (core_.settings.placement.learned_speed) {
    capability = occupancy_.capability(request.engine, now);
    reportCapability(request.engine, capability, now);
  }
  OccupancyMessage response;
  response.number = request.number;
  response.engine = request.engine;
  response.running = load.running;
  response.prefill_tokens = load.prefill_tokens;
  response.capability = messageOf(capability);
  response.kind = OccupancyMessageKind::kFull;
  const forwarding::EngineCapability just_now = occupancy_.withOverdue(request.engine, capability, now);
  if (core_.placement.loadSeconds(load, slots, just_now) <= request.max_load_seconds) {
    response.kind = OccupancyMessageKind::kReserved;
    const bool waits_for_slot = load.running >= slots;
    occupancy_.reserve({request.engine, from, request.number}, request.prefill_tokens, waits_for_slot, now);
  }
  return response;
}

// Applies an engine's measured capability here at once, and queues it for the next digests to peers.
void OccupancyExchange::reportCapability(uint64_t engine, const forwarding::EngineCapability& capability,
                                         absl::Time now) {
  if (const auto server = core_.directory.findByHash(engine)) {
    server->capability = {capability, now};
  }
  if (reported_.size() >= kMaxReportedEngines) {
    reported_.clear();
  }
  forwarding::ReportedCapability& reported = reported_[engine];
  const absl::Duration since = now - reported.reported_at;
  const bool is_due = since >= kReportRepeatInterval ||
                      (since >= kMinReportInterval && hasChangedEnough(capability, reported.capability));
  if (is_due) {
    reported = {capability, now};
    core_.unreported_capabilities.push_back({engine, capability});
  }
}

Result<void> OccupancyExchange::receive(const NodeId& from, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, decodeOccupancyMessage(payload));
  ranks_.noteHeard(from);
  handleMessage(from, message);
  return outcome::success();
}

void OccupancyExchange::handleMessage(const NodeId& from, const OccupancyMessage& message) {
  switch (message.kind) {
    case OccupancyMessageKind::kReserve:
      send(from, handleReserve(from, message));
      return;
    case OccupancyMessageKind::kPromptRead:
      occupancy_.notePrefillDone({message.engine, from, message.number}, reactor::steadyNow());
      return;
    case OccupancyMessageKind::kRelease:
      occupancy_.release({message.engine, from, message.number}, absl::Milliseconds(message.pause_ms),
                         reactor::steadyNow());
      return;
    case OccupancyMessageKind::kReserved:
    case OccupancyMessageKind::kFull:
      handleResponse(from, message);
      return;
  }
}

void OccupancyExchange::handleResponse(const NodeId& from, const OccupancyMessage& response) {
  const ReservationResponse reservation_response = responseOf(from, response);
  const auto found = pending_requests_.find(response.number);
  if (found == pending_requests_.end() || found->second.owner != from) {
    if (reservation_response.is_reserved) {
      release(reservation_response.reservation);  // the response came too late
    }
    return;
  }
  const ResponseCallback on_response = std::move(found->second.on_response);
  pending_requests_.erase(found);
  on_response(reservation_response);
}

void OccupancyExchange::notePrefillDone(const Reservation& reservation) {
  sendUpdate(reservation, OccupancyMessageKind::kPromptRead, absl::ZeroDuration());
}

void OccupancyExchange::release(const Reservation& reservation, absl::Duration longest_pause) {
  sendUpdate(reservation, OccupancyMessageKind::kRelease, longest_pause);
}

void OccupancyExchange::sendUpdate(const Reservation& reservation, OccupancyMessageKind kind,
                                   absl::Duration longest_pause) {
  OccupancyMessage message;
  message.kind = kind;
  message.number = reservation.number;
  message.engine = reservation.engine;
  message.pause_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(longest_pause));
  if (reservation.owner == core_.settings.gateway_id) {
    handleMessage(reservation.owner, message);
  } else {
    send(reservation.owner, message);
  }
}

void OccupancyExchange::send(const NodeId& to, const OccupancyMessage& message) {
  peers_.sendTo(to, peer::PeerModule::kOccupancy, encodeOccupancyMessage(message));
}

void OccupancyExchange::scheduleExpiry() {
  if (has_timer_ || pending_requests_.empty()) {
    return;
  }
  has_timer_ = true;
  core_.timers.schedule(pending_requests_.begin()->second.deadline, [this] {
    has_timer_ = false;
    expirePending();
  });
}

void OccupancyExchange::expirePending() {
  const absl::Time now = reactor::steadyNow();
  std::vector<ResponseCallback> timed_out;
  while (!pending_requests_.empty() && pending_requests_.begin()->second.deadline <= now) {
    ranks_.noteSilence(pending_requests_.begin()->second.owner);
    timed_out.push_back(std::move(pending_requests_.begin()->second.on_response));
    pending_requests_.erase(pending_requests_.begin());
  }
  scheduleExpiry();
  for (const ResponseCallback& on_response : timed_out) {
    on_response({});
  }
}

}  // namespace quincewick::gateway
