#include "gateway/order_giver.h"

#include <algorithm>
#include <utility>

#include "forwarding/turn_schedule.h"
#include "gateway/back_pressure_notes.h"

namespace quincewick::gateway {
namespace {

constexpr const char* kLeaseRow = "orders";
constexpr absl::Duration kTick = absl::Milliseconds(100);
constexpr absl::Duration kCallLimit = absl::Milliseconds(500);
constexpr absl::Duration kReportPause = absl::Milliseconds(150);
constexpr absl::Duration kLongestReportPause = absl::Seconds(1);  // else a load's end is noticed too late
constexpr int kReportsOfRate = 4;                                 // requests for each report
// Between the turns of gateways to take the lease: the first few follow quickly, for a giver that went. Where
// they don't get it, the store is down or another holds it, and each further one that asks costs a call.
constexpr absl::Duration kTurnStep = absl::Milliseconds(400);
constexpr forwarding::TurnSchedule kTurns = {kTurnStep, 5, absl::Seconds(1)};
constexpr absl::Duration kClosedFor =
    absl::Milliseconds(3500);  // an engine with an order, unless told otherwise
constexpr absl::Duration kReservedFor = absl::Milliseconds(1500);
constexpr absl::Duration kReportLag =
    absl::Milliseconds(700);  // after which a report must show an order taken
constexpr absl::Duration kLoadLimit = absl::Seconds(6);
constexpr uint32_t kFailuresAtMost = 3;
constexpr int kOk = 200;
constexpr int kAccepted = 202;
constexpr int kFenced = 412;
constexpr int kMisdirected = 421;

}  // namespace

OrderGiver::OrderGiver(Core& core, PeerExchange& peers)
    : core_(core),
      peers_(peers),
      lease_(core, kLeaseRow, [this] { peers_.announceOrders(lease_.validUntil()); }) {}

void OrderGiver::tick() {
  const absl::Time now = reactor::steadyNow();
  if (!lease_.holds(now)) {
    reserved_.clear();
  }
  is_due_ = !loads_.empty();
  std::vector<std::pair<ModelName, forwarding::RolloutPlan>> plans;
  for (const auto& [model, versions] : core_.weights.all()) {
    plans.emplace_back(model,
                       forwarding::planRollout(enginesOf(model, now), model, core_.weights,
                                               core_.settings.bounds.weights_in_force, load_time_.expected(),
                                               forwarding::RolloutSettings(), now));
    // The lease is taken a moment before the first order.
    is_due_ = is_due_ || now >= plans.back().second.next_start - kTurnStep;
  }
  // A gateway that stops goes on with what it holds, but takes nothing new.
  const bool is_lease_needed = is_due_ && (!core_.is_stopping || lease_.holds(now));
  const bool is_to_be_taken = is_lease_needed && !lease_.holds(now);
  lease_.pursue(is_lease_needed, is_to_be_taken ? turnDelay(now) : absl::ZeroDuration(), peers_.ordersHeard(),
                now);
  if (lease_.mayAct(now)) {
    for (const auto& [model, plan] : plans) {
      carryOut(model, plan, now);
    }
  }
  core_.timers.schedule(now + kTick, [this] { tick(); });
}

// Gateways try one after the other, so that they don't all ask at once. The order is by hashes: gateways of
// one zone, which may be cut off together, have neighbouring ids.
absl::Duration OrderGiver::turnDelay(absl::Time now) const {
  const auto place_of = [](const NodeId& gateway) { return hashOf(gateway.value()); };
  const uint64_t own = place_of(core_.settings.gateway_id);
  const std::vector<NodeId> peers = peers_.livePeers(now);
  const int64_t before =
      std::count_if(peers.begin(), peers.end(), [&](const NodeId& peer) { return place_of(peer) < own; });
  return kTurns.after(before);
}

std::vector<forwarding::RolloutEngine> OrderGiver::enginesOf(const ModelName& model, absl::Time now) const {
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
      engine.is_reachable = now >= server->ejected_until && !server->back_pressure->rests(now);
      engine.running = server->running();
      engines.push_back(std::move(engine));
    }
  }
  return engines;
}

void OrderGiver::carryOut(const ModelName& model, const forwarding::RolloutPlan& plan, absl::Time now) {
  for (const std::string& id : plan.order) {
    begin(id, model, now);
  }
  for (const std::string& id : plan.reserve) {
    const auto server = core_.directory.find(id);
    if (server == nullptr) {
      continue;
    }
    reserved_.try_emplace(server->identity_hash, now);
    if (now >= server->loading_until) {
      close(server, model, kReservedFor);
    }
  }
}

void OrderGiver::begin(const std::string& server_id, const ModelName& model, absl::Time now) {
  const auto server = core_.directory.find(server_id);
  if (server == nullptr) {
    return;
  }
  Load load;
  load.server = server;
  load.model = model;
  load.target = core_.weights.newest(model);
  load.began = now;
  reserved_.erase(server->identity_hash);
  load.caller = std::make_unique<reactor::HttpClient>(core_.reactor, core_.timers, server->entry.address);
  loads_.emplace(server_id, std::move(load));
  close(server, model, kClosedFor);
  askReport(server_id);
}

void OrderGiver::close(const forwarding::ServerDirectory::ServerPointer& server, const ModelName& model,
                       absl::Duration closed_for) {
  const absl::Time now = reactor::steadyNow();
  server->loading_until = closed_for == absl::ZeroDuration() ? absl::InfinitePast() : now + closed_for;
  EngineDigest digest;
  digest.server = server->identity_hash;
  digest.model = hashOf(model.value());
  digest.version = server->versionOf(model).value_or(WeightsVersion()).value();
  digest.closed_ms = static_cast<uint32_t>(absl::ToInt64Milliseconds(closed_for));
  peers_.announce(digest);
}

void OrderGiver::askReport(const std::string& server_id) {
  loads_.at(server_id).caller->call(
      core_.dialect->askReport(), kCallLimit,
      [this, server_id](const Result<reactor::HttpResponse>& reply) { takeReport(server_id, reply); });
}

void OrderGiver::noteReply(const Load& load, const Result<reactor::HttpResponse>& reply) {
  if (reply.has_value()) {
    noteBackPressure(core_, *load.server, core_.dialect->readAnswer(reply.value().head), true,
                     reactor::steadyNow());
  }
}

void OrderGiver::takeReport(const std::string& server_id, const Result<reactor::HttpResponse>& reply) {
  Load& load = loads_.at(server_id);
  noteReply(load, reply);
  const absl::Time now = reactor::steadyNow();
  const bool is_given_up = now - load.began > kLoadLimit || load.server->isLeaving();
  if (is_given_up) {
    finish(server_id, false);
    return;
  }
  if (reply.has_error() || reply.value().head.status != kOk) {
    if (++load.failures >= kFailuresAtMost) {
      forwarding::ServerDirectory::noteConnectFailure(*load.server, now);
      finish(server_id, false);
      return;
    }
    askAgain(server_id, kReportPause);
    return;
  }
  const auto report = core_.dialect->readReport(reply.value().body);
  if (report.has_error()) {
    core_.log.event("report_refused", now).with("server", server_id).with("why", report.error().message);
    finish(server_id, false);
    return;
  }
  if (!isOfThisLife(load, report.value())) {
    finish(server_id, false);
    return;
  }
  for (const LoadedModel& model : report.value().models) {
    if (model.model == load.model) {
      forwarding::ServerDirectory::noteVersion(*load.server, load.model, model.weights_version);
    }
  }
  if (load.server->versionOf(load.model).value_or(WeightsVersion()) >= load.target &&
      !report.value().is_busy) {
    finish(server_id, true);
    return;
  }
  const bool may_be_under_way = report.value().is_busy || now - load.ordered < kReportLag;
  if (may_be_under_way) {
    askAgain(server_id, kReportPause);
    return;
  }
  giveOrder(server_id, report.value().orders_taken);
}

bool OrderGiver::isOfThisLife(const Load& load, const forwarding::EngineReport& report) {
  const forwarding::ServerEntry& entry = load.server->entry;
  const bool is_told = report.started != absl::InfinitePast() && core_.isPlausibleStart(report.started);
  if (!is_told || report.started == entry.started) {
    return true;
  }
  const bool is_later = report.started > entry.started;
  core_.log.event("report_of_another_start", reactor::steadyNow())
      .with("server", entry.id)
      .with("later", is_later ? "true" : "false");
  if (is_later) {
    core_.directory.noteRestart(*load.server, report.started, report.models);
    core_.forgetFreedSlots();
  }
  return false;
}

void OrderGiver::giveOrder(const std::string& server_id, uint64_t orders_taken) {
  Load& load = loads_.at(server_id);
  const absl::Time now = reactor::steadyNow();
  if (!lease_.mayAct(now)) {
    finish(server_id, false);
    return;
  }
  load.target = core_.weights.newest(load.model);
  load.ordered = now;
  load.fence = lease_.fence();
  core_.log.event("order", now)
      .with("server", server_id)
      .with("version", static_cast<int64_t>(load.target.value()))
      .with("fence", static_cast<int64_t>(load.fence.value()))
      .with("row_version", static_cast<int64_t>(lease_.rowVersion()))
      .with("orders_taken", static_cast<int64_t>(orders_taken));
  load.caller->call(core_.dialect->loadWeights({load.model, load.target}, core_.settings.gateway_id.value(),
                                               load.fence, orders_taken, server_id),
                    kCallLimit, [this, server_id](const Result<reactor::HttpResponse>& reply) {
                      takeOrderAnswer(server_id, reply);
                    });
}

void OrderGiver::takeOrderAnswer(const std::string& server_id, const Result<reactor::HttpResponse>& reply) {
  Load& load = loads_.at(server_id);
  noteReply(load, reply);
  const absl::Time now = reactor::steadyNow();
  const int status = reply.has_value() ? reply.value().head.status : 0;
  core_.log.event("order_answered", now)
      .with("server", server_id)
      .with("status", status)
      .with("fence", static_cast<int64_t>(load.fence.value()));
  if (status == kOk) {
    forwarding::ServerDirectory::noteVersion(*load.server, load.model, load.target);
    finish(server_id, true);
    return;
  }
  if (status == kMisdirected) {
    forwarding::ServerDirectory::noteReplaced(*load.server, now);
    finish(server_id, false);
    return;
  }
  if (status == kFenced) {
    lease_.onFenced();
    finish(server_id, false);
    return;
  }
  const bool was_refused = reply.has_value() && status != kAccepted;
  if (was_refused) {
    load.ordered = absl::InfinitePast();
  }
  askAgain(server_id, kReportPause);
}

// Reports count among what an engine takes: of a rate that it named they use up a quarter at most, and a rest
// that it asked for holds for them, too.
void OrderGiver::askAgain(const std::string& server_id, absl::Duration after) {
  const Load& load = loads_.at(server_id);
  const forwarding::BackPressure& pressure = *load.server->back_pressure;
  const absl::Duration paced =
      std::max(after, std::min(kReportsOfRate * pressure.timePerRequest(), kLongestReportPause));
  const absl::Time rested = std::min(pressure.restsUntil(), load.began + kLoadLimit);
  const absl::Time at = std::max(reactor::steadyNow() + paced, rested);
  core_.timers.schedule(at, [this, server_id] {
    const auto found = loads_.find(server_id);
    if (found == loads_.end()) {
      return;
    }
    if (found->second.server->back_pressure->rests(reactor::steadyNow())) {
      finish(server_id, false);
    } else {
      askReport(server_id);
    }
  });
}

void OrderGiver::finish(const std::string& server_id, bool is_done) {
  const auto found = loads_.find(server_id);
  Load load = std::move(found->second);
  loads_.erase(found);
  const absl::Time now = reactor::steadyNow();
  if (is_done) {
    load_time_.note(now - load.began);
  }
  core_.log.event("load_ended", now)
      .with("server", server_id)
      .with("done", is_done ? "true" : "false")
      .with("took_ms", now - load.began);
  close(load.server, load.model, absl::ZeroDuration());
  // The caller is in the middle of its answer: it goes once the reactor is back.
  core_.timers.schedule(now, [caller = std::shared_ptr<reactor::HttpClient>(std::move(load.caller))] {});
}

}  // namespace quincewick::gateway
