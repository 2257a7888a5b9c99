#include "gateway/rollout_controller.h"

#include <algorithm>
#include <string>
#include <vector>

#include "forwarding/turn_schedule.h"

namespace quincewick::gateway {
namespace {

using forwarding::ServiceName;
using staged_rollout::KnownRecord;
using staged_rollout::ResponseStats;
using staged_rollout::RolloutInputs;
using staged_rollout::RolloutNotice;
using staged_rollout::RolloutRecord;
using staged_rollout::Variant;
using staged_rollout::Verdict;

constexpr const char* kLeaseRow = "rollouts";
constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
// Delays between the turns of the zone readers to acquire the lease.
constexpr forwarding::TurnSchedule kLeaseTurns = {absl::Milliseconds(400), 5, absl::Seconds(1)};
// Each peer is sent a notice every so many ticks, so that three may be lost before the decider counts as
// silent.
constexpr uint64_t kTicksPerRound = 4;
// A verdict against a version is sent several times, because datagrams get lost.
constexpr int kStopNotices = 3;
// A gateway whose last account is older counts as silent.
constexpr absl::Duration kAccountLifetime = absl::Milliseconds(1600);

// Returns the counts added to the account since `last`, and stores the account in `last`.
ResponseStats countsSinceLast(ResponseStats& last, const ResponseStats& account) {
  ResponseStats news;
  for (const Variant side : {Variant::kBaseline, Variant::kTarget}) {
    for (const auto& [stratum, counts] : account.of(side)) {
      news.of(side)[stratum] = counts.since(last.of(side)[stratum]);
      last.of(side)[stratum] = counts;
    }
  }
  return news;
}

}  // namespace

RolloutController::RolloutController(Core& core, PeerDirectory& directory, PeerExchange& peers,
                                     RolloutExchange& rollouts)
    : core_(core),
      directory_(directory),
      peers_(peers),
      rollouts_(rollouts),
      store_(core),
      lease_(core, kLeaseRow, [] {}) {}

void RolloutController::start(std::function<bool()> reads_store) {
  reads_store_ = std::move(reads_store);
  rollouts_.setAccountHandler(
      [this](const NodeId& from, const RolloutAccount& account) { handleAccount(from, account); });
  tick();
}

void RolloutController::tick() {
  const absl::Time now = reactor::steadyNow();
  ++ticks_;
  const bool may_hold = reads_store_() && rollouts_.hasRecords() && !core_.is_stopping;
  const bool is_needed = (may_hold || lease_.holds(now)) && isLeaseNeeded();
  const bool needs_acquisition = is_needed && !lease_.holds(now);
  lease_.maintain(is_needed, needs_acquisition ? leaseTurnDelay(now) : absl::ZeroDuration(),
                  absl::InfinitePast(), now);
  if (lease_.mayAct(now)) {
    for (auto& [service, state] : rollouts_.services()) {
      advance(service, state, now);
    }
  }
  core_.timers.schedule(now + kTickInterval, [this] { tick(); });
}

// Zone readers take turns in the order of their ids.
absl::Duration RolloutController::leaseTurnDelay(absl::Time now) const {
  int64_t before = 0;
  for (const auto& [id, peer] : directory_.peers()) {
    const bool goes_before =
        peer.is_zone_reader && id < core_.settings.gateway_id && peers_.isLive(peer, now);
    before += goes_before ? 1 : 0;
  }
  return kLeaseTurns.after(before);
}

bool RolloutController::needsDecision(const State& state) const {
  const auto& known = state.gate.known();
  if (!known) {
    return state.gate.base().has_value();
  }
  const bool has_new_request = state.operators_row && state.operators_row->row > known->record.request_row;
  return has_new_request || known->record.isRunning();
}

bool RolloutController::isLeaseNeeded() const {
  const auto& services = rollouts_.services();
  return std::any_of(services.begin(), services.end(),
                     [this](const auto& entry) { return needsDecision(entry.second); });
}

RolloutController::Evaluation& RolloutController::evaluationOf(const ServiceName& service,
                                                               const State& state) {
  Evaluation& evaluation = evaluations_[service];
  const RolloutRecord& record = state.gate.known()->record;
  if (!record.isSameRollout(evaluation.record)) {
    const bool is_write_pending = evaluation.is_write_pending;
    evaluation = {};
    evaluation.is_write_pending = is_write_pending;
  }
  evaluation.record = record;
  return evaluation;
}

void RolloutController::handleAccount(const NodeId& from, const RolloutAccount& account) {
  const auto state = rollouts_.services().find(account.service);
  const bool is_known = state != rollouts_.services().end() && state->second.gate.known();
  if (!is_known || state->second.gate.known()->record.request_row != account.request_row) {
    return;
  }
  const absl::Time now = reactor::steadyNow();
  Evaluation& evaluation = evaluationOf(account.service, state->second);
  AccountReport& report = evaluation.reports[from];
  if (report.incarnation != account.incarnation) {
    report = {};
    report.incarnation = account.incarnation;
  }
  report.last_received = now;
  report.confirmed_row = std::max(report.confirmed_row, account.confirmed_row);
  evaluation.verdict.take(countsSinceLast(report.counts, account.counts), now);
}

void RolloutController::advance(const ServiceName& service, State& state, absl::Time now) {
  if (!needsDecision(state)) {
    return;
  }
  if (!state.gate.known()) {
    writeInitialRecord(service, state);
    return;
  }
  Evaluation& evaluation = evaluationOf(service, state);
  const KnownRecord& known = *state.gate.known();
  if (known.record.fence > lease_.fence()) {
    lease_.onFenced(known.record.fence);
    return;
  }
  evaluation.verdict.judge(now);
  const bool is_bad = known.record.isRunning() && evaluation.verdict.verdict() == Verdict::kBad;
  if (is_bad && evaluation.stop_notices_sent < kStopNotices) {
    ++evaluation.stop_notices_sent;
    core_.log.event("rollout_found_bad", now)
        .with("service", service.value())
        .with("target", known.record.target.value())
        .with("bad_answers", static_cast<int64_t>(evaluation.verdict.badResponses()))
        .with("answers", static_cast<int64_t>(evaluation.verdict.targetResponses()));
    notifyAll({known, true});
  } else if (known.record.isRunning()) {
    notifyInTurn({known, is_bad});
  }
  if (evaluation.is_write_pending) {
    return;
  }
  const auto next = nextTransition(known.record, situationOf(state, evaluation, now),
                                   {core_.settings.bounds.key_revocation});
  if (next) {
    core_.log.event("rollout_step", now)
        .with("service", service.value())
        .with("stage", nameOf(next->record.stage))
        .with("why", next->reason)
        .with("bad_answers", static_cast<int64_t>(evaluation.verdict.badResponses()))
        .with("answers", static_cast<int64_t>(evaluation.verdict.targetResponses()));
    write(next->record, known.row);
  }
}

void RolloutController::writeInitialRecord(const ServiceName& service, State& state) {
  if (!evaluations_[service].is_write_pending) {
    write(staged_rollout::initialRecord(service, *state.gate.base()), 0);
  }
}

RolloutInputs RolloutController::situationOf(State& state, const Evaluation& evaluation,
                                             absl::Time now) const {
  RolloutInputs situation;
  situation.clock = core_.storeClock(now).value_or(absl::ZeroDuration());
  situation.operators_row = state.operators_row;
  situation.verdict = evaluation.verdict.verdict();
  situation.bad_responses = evaluation.verdict.badResponses();
  noteConfirmations(state, evaluation, now, situation);
  return situation;
}

void RolloutController::noteConfirmations(const State& state, const Evaluation& evaluation, absl::Time now,
                                          RolloutInputs& situation) const {
  const uint64_t row = state.gate.known()->row;
  situation.have_reachable_confirmed = state.confirmed_row == row;
  for (const auto& [id, peer] : directory_.peers()) {
    const auto report = evaluation.reports.find(id);
    const bool has_recent_report =
        report != evaluation.reports.end() && now - report->second.last_received <= kAccountLifetime;
    const bool has_confirmed = report != evaluation.reports.end() && report->second.confirmed_row == row;
    situation.have_reachable_confirmed =
        situation.have_reachable_confirmed && (!has_recent_report || has_confirmed);
    situation.is_any_unreachable = situation.is_any_unreachable || !has_confirmed;
  }
}

// Writes the record and the operator's status row in one transaction.
void RolloutController::write(RolloutRecord record, uint64_t expected_row) {
  record.fence = lease_.fence();
  evaluations_[record.service].is_write_pending = true;
  forwarding::StoreRow row;
  row.table = RolloutExchange::kTable;
  row.key = record.service.value();
  row.value = encodeRecord(record);
  std::vector<forwarding::RowWrite> writes = {{row, expected_row}};
  if (const auto status = statusOf(record)) {
    writes.push_back({core_.dialect->rolloutStatusRow(*status), std::nullopt});
  }
  store_.writeAll(writes, [this, record](StoreStatus status, const forwarding::StoreRows& response) {
    if (status == StoreStatus::kDone) {
      evaluations_[record.service].is_write_pending = false;
      handleWriteResult({record, response.version});
      return;
    }
    core_.log.event("rollout_not_written", reactor::steadyNow())
        .with("service", record.service.value())
        .with("why", static_cast<int64_t>(status));
    rereadRecord(record.service);
  });
}

// After a failed write: the record may have been written after all, or another one may have, so read the row.
void RolloutController::rereadRecord(const ServiceName& service) {
  store_.read(RolloutExchange::kTable, service.value(), 1,
              [this, service](StoreStatus status, const forwarding::StoreRows& response) {
                evaluations_[service].is_write_pending = false;
                const bool row_exists = status == StoreStatus::kDone && !response.rows.empty() &&
                                        response.rows.front().key == service.value();
                const auto record = row_exists ? staged_rollout::decodeRecord(response.rows.front().value)
                                               : fail(ErrorCode::kUnavailable, "the record was not read");
                if (record.has_value()) {
                  handleReread({record.value(), response.rows.front().version});
                }
              });
}

// The response to a write gives the store's version, which another write may have raised since. The row's own
// version is authoritative.
void RolloutController::handleReread(const KnownRecord& known) {
  const auto state = rollouts_.services().find(known.record.service);
  if (state != rollouts_.services().end() && state->second.gate.known() &&
      state->second.gate.known()->record == known.record) {
    state->second.gate.correctRow(known.row);
  }
  handleWriteResult(known);
}

// Notifies all gateways at once, so that they need not wait for their zone's reader.
void RolloutController::handleWriteResult(const KnownRecord& known) {
  const RolloutNotice notice{known, false};
  rollouts_.handleNotice(core_.settings.gateway_id, notice);
  if (known.record.request_row != 0) {
    notifyAll(notice);
  }
}

void RolloutController::notifyAll(const RolloutNotice& notice) {
  rollouts_.handleNotice(core_.settings.gateway_id, notice);
  peers_.sendToAll(peer::PeerModule::kStagedRollouts, encodeRolloutMessage({notice, std::nullopt}));
}

void RolloutController::notifyInTurn(const RolloutNotice& notice) {
  rollouts_.handleNotice(core_.settings.gateway_id, notice);
  const std::string bytes = encodeRolloutMessage({notice, std::nullopt});
  uint64_t place = 0;
  for (const auto& [id, peer] : directory_.peers()) {
    if (place++ % kTicksPerRound == ticks_ % kTicksPerRound) {
      peers_.sendTo(id, peer::PeerModule::kStagedRollouts, bytes);
    }
  }
}

}  // namespace quincewick::gateway
