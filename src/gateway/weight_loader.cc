#include "gateway/weight_loader.h"

#include <algorithm>
#include <utility>

#include "forwarding/turn_schedule.h"
#include "gateway/back_pressure_notes.h"

namespace quincewick::gateway {
namespace {

constexpr const char* kLeaseRow = "orders";
constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(500);
constexpr absl::Duration kReportInterval = absl::Milliseconds(150);
constexpr absl::Duration kMaxReportInterval =
    absl::Seconds(1);                  // a longer one delays noticing that a load completed
constexpr int kRequestsPerReport = 4;  // at the engine's rate limit, one report per so many requests
// Delay between the gateways' turns to acquire the lease. The first few turns follow quickly, to replace a
// holder that crashed. If these fail, the store is down or another gateway holds the lease, and each further
// attempt costs a store call.
constexpr absl::Duration kLeaseTurnStep = absl::Milliseconds(400);
constexpr forwarding::TurnSchedule kLeaseTurns = {kLeaseTurnStep, 5, absl::Seconds(1)};
constexpr absl::Duration kLoadBlockDuration =
    absl::Milliseconds(3500);  // for an engine with an order, unless it is unblocked earlier
constexpr absl::Duration kReserveBlockDuration = absl::Milliseconds(1500);
constexpr absl::Duration kOrderReportDelay =
    absl::Milliseconds(700);  // after which a report must show an accepted order
constexpr absl::Duration kLoadTimeout = absl::Seconds(6);
constexpr uint32_t kMaxReportFailures = 3;
constexpr uint64_t kMaxReportBytes = 65536;
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kFenced = 412;
constexpr int kMisdirected = 421;

}  // namespace

WeightLoader::WeightLoader(Core& core, PeerExchange& peers)
    : core_(core),
      peers_(peers),
      lease_(core, kLeaseRow, [this] { peers_.announceOrderLease(lease_.validUntil()); }) {}

void WeightLoader::tick() {
  const absl::Time now = reactor::steadyNow();
  if (!lease_.holds(now)) {
    reserved_.clear();
    postponed_.clear();
  }
  is_work_due_ = !loads_.empty();
  std::vector<std::pair<ModelName, forwarding::RolloutPlan>> plans;
  for (const auto& [model, versions] : core_.weights.all()) {
    plans.emplace_back(model,
                       forwarding::planRollout(rolloutEngines(model, now), model, core_.weights,
                                               core_.settings.bounds.weights_in_force, load_time_.expected(),
                                               forwarding::RolloutSettings(), now));
    // Acquire the lease shortly before the first order.
    is_work_due_ = is_work_due_ || now >= plans.back().second.next_start - kLeaseTurnStep;
  }
  // A stopping gateway completes its work under a lease that it holds, but does not acquire one.
  const bool is_lease_needed = is_work_due_ && (!core_.is_stopping || lease_.holds(now));
  const bool needs_acquisition = is_lease_needed && !lease_.holds(now);
  lease_.maintain(is_lease_needed, needs_acquisition ? leaseTurnDelay(now) : absl::ZeroDuration(),
                  peers_.lastOrderAnnouncement(), now);
  if (lease_.mayAct(now)) {
    for (const auto& [model, plan] : plans) {
      executePlan(model, plan, now);
    }
  }
  core_.timers.schedule(now + kTickInterval, [this] { tick(); });
}

// Gateways try one after the other, so that they don't all call the store at once. They are ordered by hash,
// because gateways of one zone, which may be partitioned together, have neighbouring ids.
absl::Duration WeightLoader::leaseTurnDelay(absl::Time now) const {
  const auto position_of = [](const NodeId& gateway) { return hashOf(gateway.value()); };
  const uint64_t own = position_of(core_.settings.gateway_id);
  const std::vector<NodeId> peers = peers_.livePeers(now);
  const int64_t before =
      std::count_if(peers.begin(), peers.end(), [&](const NodeId& peer) { return position_of(peer) < own; });
  return kLeaseTurns.after(before);
}

std::vector<forwarding::RolloutEngine> WeightLoader::rolloutEngines(const ModelName& model, absl::Time now) {
  std::vector<forwarding::RolloutEngine> engines;
  for (const auto& [id, server] : core_.directory.all()) {
    const auto version = server->versionOf(model);
    if (version && !server->isLeaving()) {
      forwarding::RolloutEngine engine;
      engine.id = id;
      engine.version = *version;
      engine.is_loading = loads_.contains(id);
      if (const auto reserved = reserved_.find(server->identity_hash); reserved != reserved_.end()) {
        engine.reserved_since = reserved->second;
      }
      engine.is_reachable = now >= server->ejected_until && !server->back_pressure->isBackingOff(now);
      if (!engine.is_reachable && *version < core_.weights.newest(model)) {
        notePostponed(*server, now);
      }
      engine.running = server->running();
      engines.push_back(std::move(engine));
    }
  }
  return engines;
}

// Once a period: an engine is postponed for as long as its ejection or back-off lasts.
void WeightLoader::notePostponed(const forwarding::Server& server, absl::Time now) {
  const absl::Time until = std::max(server.ejected_until, server.back_pressure->backOffUntil());
  absl::Time& noted = postponed_[server.identity_hash];
  if (std::exchange(noted, until) != until) {
    core_.log.event("load_postponed", now)
        .with("server", server.entry.id)
        .with("ejected", now < server.ejected_until ? "true" : "false")
        .with("for_ms", until - now);
  }
}

void WeightLoader::executePlan(const ModelName& model, const forwarding::RolloutPlan& plan, absl::Time now) {
  for (const std::string& id : plan.order) {
    beginLoad(id, model, now);
  }
  for (const std::string& id : plan.reserve) {
    const auto server = core_.directory.find(id);
    if (server == nullptr) {
      continue;
    }
    reserved_.try_emplace(server->identity_hash, now);
    if (now >= server->loading_until) {
      blockRequests(server, model, kReserveBlockDuration);
    }
  }
}

void WeightLoader::beginLoad(const std::string& server_id, const ModelName& model, absl::Time now) {
  const auto server = core_.directory.find(server_id);
  if (server == nullptr) {
    return;
  }
  Load load;
  load.server = server;
  load.model = model;
  load.target = core_.weights.newest(model);
  load.started_at = now;
  reserved_.erase(server->identity_hash);
  load.caller = std::make_unique<reactor::HttpClient>(core_.reactor, core_.timers, server->entry.address,
                                                      kMaxReportBytes);
  loads_.emplace(server_id, std::move(load));
  blockRequests(server, model, kLoadBlockDuration);
  requestReport(server_id);
}

void WeightLoader::blockRequests(const forwarding::ServerDirectory::ServerPointer& server,
                                 const ModelName& model, absl::Duration block_duration) {
  const absl::Time now = reactor::steadyNow();
  server->loading_until =
      block_duration == absl::ZeroDuration() ? absl::InfinitePast() : now + block_duration;
  EngineDigest digest;
  digest.server = server->identity_hash;
  digest.model = hashOf(model.value());
  digest.version = server->versionOf(model).value_or(WeightsVersion()).value();
  digest.closed_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(block_duration));
  peers_.announce(digest);
}

// Loads have no fixed duration: the block is renewed while the engine reports that it is busy.
void WeightLoader::renewBlock(const Load& load, absl::Time now) {
  if (load.server->loading_until - now < kLoadBlockDuration / 2) {
    blockRequests(load.server, load.model, kLoadBlockDuration);
  }
}

void WeightLoader::requestReport(const std::string& server_id) {
  loads_.at(server_id).caller->call(
      core_.dialect->requestReport(), kCallTimeout,
      [this, server_id](const Result<reactor::HttpResponse>& reply) { handleReport(server_id, reply); });
}

void WeightLoader::applyBackPressure(const Load& load, const Result<reactor::HttpResponse>& reply) {
  if (reply.has_value()) {
    noteBackPressure(core_, *load.server, core_.dialect->readResponse(reply.value().head), true,
                     reactor::steadyNow());
  } else {
    core_.noteLostCall(load.server->entry.id, reply.error());
  }
}

void WeightLoader::handleReport(const std::string& server_id, const Result<reactor::HttpResponse>& reply) {
  Load& load = loads_.at(server_id);
  applyBackPressure(load, reply);
  const absl::Time now = reactor::steadyNow();
  const bool is_abandoned = now - load.started_at > kLoadTimeout || load.server->isLeaving();
  if (is_abandoned) {
    finishLoad(server_id, false);
    return;
  }
  if (reply.has_error() || reply.value().head.status != kOk) {
    if (++load.failures >= kMaxReportFailures) {
      forwarding::ServerDirectory::noteConnectFailure(*load.server, now);
      finishLoad(server_id, false);
      return;
    }
    requestReportLater(server_id, kReportInterval);
    return;
  }
  const auto report = core_.dialect->readReport(reply.value().body);
  if (report.has_error()) {
    core_.log.event("report_refused", now).with("server", server_id).with("why", report.error().message);
    finishLoad(server_id, false);
    return;
  }
  if (!isSameIncarnation(load, report.value())) {
    finishLoad(server_id, false);
    return;
  }
  for (const LoadedModel& model : report.value().models) {
    if (model.model == load.model) {
      forwarding::ServerDirectory::noteVersion(*load.server, load.model, model.weights_version);
    }
  }
  if (load.server->versionOf(load.model).value_or(WeightsVersion()) >= load.target &&
      !report.value().is_busy) {
    finishLoad(server_id, true);
    return;
  }
  load.is_busy = report.value().is_busy;
  if (load.is_busy) {
    renewBlock(load, now);
  }
  const bool may_be_under_way = load.is_busy || now - load.last_order_at < kOrderReportDelay;
  if (may_be_under_way) {
    requestReportLater(server_id, kReportInterval);
    return;
  }
  sendOrder(server_id, report.value().orders_taken);
}

bool WeightLoader::isSameIncarnation(const Load& load, const forwarding::EngineReport& report) {
  const forwarding::ServerEntry& entry = load.server->entry;
  const bool has_start_time =
      report.started != absl::InfinitePast() && core_.isPlausibleStart(report.started);
  if (!has_start_time || report.started == entry.started) {
    return true;
  }
  const bool is_later = report.started > entry.started;
  core_.log.event("report_of_another_start", reactor::steadyNow())
      .with("server", entry.id)
      .with("later", is_later ? "true" : "false");
  if (is_later) {
    core_.directory.noteRestart(*load.server, report.started, report.models);
    core_.clearFreedSlots();
  }
  return false;
}

void WeightLoader::sendOrder(const std::string& server_id, uint64_t orders_taken) {
  Load& load = loads_.at(server_id);
  const absl::Time now = reactor::steadyNow();
  if (!lease_.mayAct(now)) {
    finishLoad(server_id, false);
    return;
  }
  load.target = core_.weights.newest(load.model);
  load.last_order_at = now;
  load.fence = lease_.fence();
  core_.log.event("order", now)
      .with("server", server_id)
      .with("version", static_cast<int64_t>(load.target.value()))
      .with("fence", static_cast<int64_t>(load.fence.value()))
      .with("row_version", static_cast<int64_t>(lease_.rowVersion()))
      .with("orders_taken", static_cast<int64_t>(orders_taken))
      .with("planned_ms_ago", now - load.started_at)
      .with("due_in_ms", dueIn(load, now));
  load.caller->call(core_.dialect->loadWeights({load.model, load.target}, core_.settings.gateway_id.value(),
                                               load.fence, orders_taken, server_id),
                    kCallTimeout, [this, server_id](const Result<reactor::HttpResponse>& reply) {
                      handleOrderResponse(server_id, reply);
                    });
}

// Negative if the engine's weights are past their bound; infinite if they are the newest.
absl::Duration WeightLoader::dueIn(const Load& load, absl::Time now) const {
  const WeightsVersion version = load.server->versionOf(load.model).value_or(WeightsVersion());
  return core_.weights.deadlineOf(load.model, version) - now;
}

void WeightLoader::handleOrderResponse(const std::string& server_id,
                                       const Result<reactor::HttpResponse>& reply) {
  Load& load = loads_.at(server_id);
  applyBackPressure(load, reply);
  const absl::Time now = reactor::steadyNow();
  const int status = reply.has_value() ? reply.value().head.status : 0;
  core_.log.event("order_answered", now)
      .with("server", server_id)
      .with("status", status)
      .with("fence", static_cast<int64_t>(load.fence.value()));
  if (status == kOk) {
    forwarding::ServerDirectory::noteVersion(*load.server, load.model, load.target);
    finishLoad(server_id, true);
    return;
  }
  if (status == kMisdirected) {
    forwarding::ServerDirectory::noteAddressReassigned(*load.server, now);
    finishLoad(server_id, false);
    return;
  }
  if (status == kFenced) {
    lease_.onFenced();
    finishLoad(server_id, false);
    return;
  }
  const bool was_refused = reply.has_value() && status != kAccepted;
  if (was_refused) {
    load.last_order_at = absl::InfinitePast();
  }
  requestReportLater(server_id, kReportInterval);
}

// Report requests count against the engine's rate limit: they use a quarter of it at most, and they observe
// its back-off periods.
void WeightLoader::requestReportLater(const std::string& server_id, absl::Duration after) {
  const Load& load = loads_.at(server_id);
  const forwarding::BackPressure& pressure = *load.server->back_pressure;
  const absl::Duration paced_delay =
      std::max(after, std::min(kRequestsPerReport * pressure.timePerRequest(), kMaxReportInterval));
  const absl::Time back_off_end = std::min(pressure.backOffUntil(), load.started_at + kLoadTimeout);
  const absl::Time at = std::max(reactor::steadyNow() + paced_delay, back_off_end);
  core_.timers.schedule(at, [this, server_id] {
    const auto found = loads_.find(server_id);
    if (found == loads_.end()) {
      return;
    }
    if (found->second.server->back_pressure->isBackingOff(reactor::steadyNow())) {
      finishLoad(server_id, false);
    } else {
      requestReport(server_id);
    }
  });
}

void WeightLoader::finishLoad(const std::string& server_id, bool is_done) {
  const auto found = loads_.find(server_id);
  Load load = std::move(found->second);
  loads_.erase(found);
  const absl::Time now = reactor::steadyNow();
  if (is_done) {
    load_time_.note(now - load.started_at);
  }
  core_.log.event("load_ended", now)
      .with("server", server_id)
      .with("done", is_done ? "true" : "false")
      .with("took_ms", now - load.started_at);
  if (is_done || !load.is_busy) {
    blockRequests(load.server, load.model, absl::ZeroDuration());
  }
}

}  // namespace quincewick::gateway
