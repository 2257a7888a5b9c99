#include "gateway/rollout_exchange.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "gateway/peer_digest.h"

namespace quincewick::gateway {
namespace {

using forwarding::ServerDirectory;
using forwarding::ServiceName;
using staged_rollout::KnownRecord;
using staged_rollout::RolloutStage;
using staged_rollout::Variant;

constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
constexpr absl::Duration kAccountInterval = absl::Milliseconds(500);

}  // namespace

RolloutExchange::RolloutExchange(Core& core, PeerExchange& peers)
    : core_(core),
      peers_(peers),
      refused_records_(core, kTable),
      refused_requests_(core, core.dialect->tables().configuration),
      incarnation_(absl::Uniform<uint64_t>(core.random, 1, std::numeric_limits<uint64_t>::max())) {}

void RolloutExchange::start() {
  peers_.setMessageHandler(
      peer::PeerModule::kStagedRollouts,
      [this](const NodeId& from, std::string_view payload) { return handleMessage(from, payload); });
  tick();
}

void RolloutExchange::tick() {
  const absl::Time now = reactor::steadyNow();
  addServices();
  for (auto& [service, state] : services_) {
    if (!state.gate.known()) {
      state.gate.noteListed(listedVersions(service));
    }
    if (state.gate.isRunning()) {
      noteConfirmed(state);
      if (now - state.account_sent_at >= kAccountInterval) {
        sendAccount(service, state, now);
      }
    }
  }
  core_.timers.schedule(now + kTickInterval, [this] { tick(); });
}

void RolloutExchange::addServices() {
  if (core_.in_force.configuration == nullptr) {
    return;
  }
  for (const forwarding::Service& service : core_.in_force.configuration->services()) {
    if (!core_.directory.ofService(service.name).empty()) {
      stateOf(service.name);
    }
  }
}

RolloutExchange::ServiceState& RolloutExchange::stateOf(const ServiceName& service) {
  return services_.try_emplace(service, staged_rollout::TrafficSplitterSettings{core_.settings.rollout_share})
      .first->second;
}

bool RolloutExchange::isAnyRunning() const {
  return std::any_of(services_.begin(), services_.end(),
                     [](const auto& entry) { return entry.second.gate.isRunning(); });
}

void RolloutExchange::handleOperatorRow(const forwarding::StoreRow& row) {
  staged_rollout::OperatorRequestRow taken;
  taken.row = row.version;
  taken.is_gone = row.is_gone;
  taken.seen = core_.storeClock(reactor::steadyNow()).value_or(absl::ZeroDuration());
  if (row.is_gone) {
    taken.request.service = ServiceName(row.key.substr(core_.dialect->tables().rollout_prefix.size()));
  } else {
    auto read = core_.dialect->readRolloutRequest(row.key, row.value);
    if (read.has_error()) {
      refused_requests_.note(row.key, read.error().message);
      return;
    }
    taken.request = std::move(read.value());
  }
  refused_requests_.forget(row.key);
  ServiceState& state = stateOf(taken.request.service);
  if (state.operators_row && state.operators_row->row >= taken.row) {
    return;
  }
  core_.log.event("rollout_asked", reactor::steadyNow())
      .with("service", taken.request.service.value())
      .with("target", taken.request.target.value())
      .with("taken_back", taken.is_gone ? "true" : "false")
      .with("allowed_ms", taken.request.time_allowed);
  state.operators_row = std::move(taken);
}

void RolloutExchange::handleRecords(const forwarding::TableUpdate& news) {
  for (const forwarding::StoreRow& row : news.rows) {
    applyRecord(row, news.as_of);
  }
  for (auto& [service, state] : services_) {
    state.gate.confirmRecord(news.as_of);
  }
  has_records_ = has_records_ || news.is_whole;
}

void RolloutExchange::applyRecord(const forwarding::StoreRow& row, absl::Time as_of) {
  if (row.is_gone) {
    refused_records_.note(row.key, "the record was removed; its last state stays in force");
    return;
  }
  const auto record = staged_rollout::decodeRecord(row.value);
  const bool is_sound = record.has_value() && record.value().service.value() == row.key;
  if (!is_sound) {
    refused_records_.note(
        row.key, record.has_error() ? record.error().message : "the record belongs to another service");
    return;
  }
  refused_records_.forget(row.key);
  ServiceState& state = stateOf(record.value().service);
  const std::optional<KnownRecord> before = state.gate.known();
  state.gate.takeRecord({record.value(), row.version}, as_of);
  noteChange(before ? &*before : nullptr, state, "row");
}

void RolloutExchange::handleNotice(const NodeId& from, const staged_rollout::RolloutNotice& notice) {
  ServiceState& state = stateOf(notice.known.record.service);
  const std::optional<KnownRecord> before = state.gate.known();
  state.gate.takeNotice(notice, reactor::steadyNow());
  if (notice.known.row >= state.gate.known()->row) {
    state.decider = from;
  }
  noteChange(before ? &*before : nullptr, state, "notice");
}

void RolloutExchange::noteChange(const KnownRecord* before, ServiceState& state, std::string_view by) {
  const KnownRecord& known = *state.gate.known();
  if (before != nullptr && before->row == known.row) {
    return;
  }
  state.account_request_row = known.record.request_row;
  if (before == nullptr || !known.record.isSameRollout(before->record)) {
    state.account = {};
  }
  core_.log.event("rollout", reactor::steadyNow())
      .with("service", known.record.service.value())
      .with("stage", nameOf(known.record.stage))
      .with("base", known.record.base.value())
      .with("target", known.record.target.value())
      .with("share_percent", static_cast<int64_t>(std::lround(known.record.share * 100)))
      .with("bad_answers", static_cast<int64_t>(known.record.bad_responses))
      .with("fence", static_cast<int64_t>(known.record.fence.value()))
      .with("by", by);
  noteConfirmed(state);
}

void RolloutExchange::noteConfirmed(ServiceState& state) {
  const KnownRecord& known = *state.gate.known();
  const auto running = state.attempts_in_progress.find(known.record.base);
  const bool is_empty = running == state.attempts_in_progress.end() || running->second == 0;
  const bool confirms = known.record.stage == RolloutStage::kFinishing && is_empty;
  if (confirms && state.confirmed_row != known.row) {
    state.confirmed_row = known.row;
    sendAccount(known.record.service, state, reactor::steadyNow());
  }
}

RolloutAccount RolloutExchange::accountOf(const ServiceName& service) {
  const ServiceState& state = stateOf(service);
  RolloutAccount account;
  account.service = service;
  account.request_row = state.account_request_row;
  account.incarnation = incarnation_;
  account.confirmed_row = state.confirmed_row;
  account.counts = state.account;
  return account;
}

void RolloutExchange::sendAccount(const ServiceName& service, ServiceState& state, absl::Time now) {
  state.account_sent_at = now;
  const RolloutAccount account = accountOf(service);
  account_handler_(core_.settings.gateway_id, account);
  if (state.decider.empty() || state.decider == core_.settings.gateway_id) {
    return;
  }
  for (const RolloutAccount& part : splitIntoDatagrams(account)) {
    peers_.sendTo(state.decider, peer::PeerModule::kStagedRollouts,
                  encodeRolloutMessage({std::nullopt, part}));
  }
}

Result<void> RolloutExchange::handleMessage(const NodeId& from, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, decodeRolloutMessage(payload));
  if (message.notice) {
    handleNotice(from, *message.notice);
  } else {
    account_handler_(from, *message.account);
  }
  return outcome::success();
}

absl::flat_hash_map<SoftwareVersion, size_t> RolloutExchange::listedVersions(
    const ServiceName& service) const {
  absl::flat_hash_map<SoftwareVersion, size_t> versions;
  for (const auto& server : core_.directory.ofService(service)) {
    ++versions[server->entry.software];
  }
  return versions;
}

RolloutExchange::ServiceState& RolloutExchange::stateWithBase(const ServiceName& service) {
  ServiceState& state = stateOf(service);
  if (!state.gate.known()) {
    state.gate.noteListed(listedVersions(service));
  }
  return state;
}

std::optional<SoftwareVersion> RolloutExchange::choose(const VersionRequest& request) {
  ServiceState& state = stateWithBase(request.service);
  if (!state.gate.known()) {
    return state.gate.base();
  }
  const absl::Time now = reactor::steadyNow();
  const absl::Duration clock = core_.storeClock(now).value_or(absl::InfiniteDuration());
  const KnownRecord& known = *state.gate.known();
  if (request.is_repeat && state.gate.mayUse(known.record.base, clock, now)) {
    return known.record.base;
  }
  const auto side = state.gate.choose(hashOf(request.route), request.prompt_position, clock, now);
  if (!side) {
    return std::nullopt;
  }
  core_.metrics.countRolloutRequest(*side);
  return state.gate.versionOf(*side);
}

// While the target version is watched, its requests go to only a few of its servers, so that these carry the
// same load as the baseline's. This exposes a version that fails only under load.
std::vector<ServerDirectory::ServerPointer> RolloutExchange::serversOf(const ServiceName& service,
                                                                       const SoftwareVersion& version) const {
  std::vector<ServerDirectory::ServerPointer> servers;
  size_t others = 0;
  const absl::Time now = reactor::steadyNow();
  const auto state = services_.find(service);
  const bool is_watched = state != services_.end() && state->second.gate.isRunning() &&
                          state->second.gate.known()->record.stage == RolloutStage::kWatching &&
                          state->second.gate.known()->record.target == version;
  for (const auto& server : core_.directory.ofService(service)) {
    if (server->entry.software != version) {
      ++others;
    } else if (!is_watched || server->isEligible(now)) {
      servers.push_back(server);
    }
  }
  const auto max_servers = static_cast<size_t>(
      std::max(1.0, std::ceil(core_.settings.rollout_share * static_cast<double>(others))));
  if (is_watched && servers.size() > max_servers) {
    std::sort(servers.begin(), servers.end(),
              [](const auto& one, const auto& other) { return one->home_hash < other->home_hash; });
    servers.resize(max_servers);
  }
  return servers;
}

bool RolloutExchange::mayUse(const forwarding::Server& server) {
  const ServiceState& state = stateWithBase(server.entry.service);
  const absl::Time now = reactor::steadyNow();
  return state.gate.mayUse(server.entry.software, core_.storeClock(now).value_or(absl::InfiniteDuration()),
                           now);
}

void RolloutExchange::noteSent(const forwarding::Server& server) {
  ++stateOf(server.entry.service).attempts_in_progress[server.entry.software];
}

void RolloutExchange::noteOver(const forwarding::Server& server, std::string_view route, bool was_crowded,
                               AttemptOutcome outcome, absl::Duration took) {
  ServiceState& state = stateOf(server.entry.service);
  uint32_t& attempts_in_progress = state.attempts_in_progress[server.entry.software];
  attempts_in_progress -= std::min(attempts_in_progress, 1U);
  if (!state.gate.isRunning()) {
    return;
  }
  const staged_rollout::RolloutRecord& record = state.gate.known()->record;
  const bool is_target = server.entry.software == record.target;
  if ((!is_target && server.entry.software != record.base) || outcome == AttemptOutcome::kUncounted) {
    return;
  }
  const Variant side = is_target ? Variant::kTarget : Variant::kBaseline;
  const staged_rollout::Stratum stratum{hashOf(route), was_crowded};
  if (outcome == AttemptOutcome::kAnswered) {
    state.account.noteResponse(side, stratum, took);
  } else {
    state.account.noteFailure(side, stratum);
  }
  if (side == Variant::kBaseline) {
    state.gate.noteBaselineResponse(hashOf(route));
  }
}

}  // namespace quincewick::gateway
