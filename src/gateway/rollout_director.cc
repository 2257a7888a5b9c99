#include "gateway/rollout_director.h"

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
constexpr absl::Duration kTick = absl::Milliseconds(100);
// Between the turns of those who may take the lease.
constexpr forwarding::TurnSchedule kTurns = {absl::Milliseconds(400), 5, absl::Seconds(1)};
// Each peer hears a notice every so many ticks: three may be lost before it counts as silence.
constexpr uint64_t kTicksARound = 4;
// A verdict against a version goes out more than once, for datagrams get lost.
constexpr int kStopsTold = 3;
// A gateway whose account is older than that is silent.
constexpr absl::Duration kAccountLasts = absl::Milliseconds(1600);

// What of the account is new since it was told last; the account is kept.
ResponseStats takeNews(ResponseStats& last, const ResponseStats& account) {
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

RolloutDirector::RolloutDirector(Core& core, PeerDirectory& directory, PeerExchange& peers,
                                 RolloutExchange& rollouts)
    : core_(core),
      directory_(directory),
      peers_(peers),
      rollouts_(rollouts),
      store_(core),
      lease_(core, kLeaseRow, [] {}) {}

void RolloutDirector::start(std::function<bool()> reads_store) {
  reads_store_ = std::move(reads_store);
  rollouts_.setAccountTaker(
      [this](const NodeId& from, const RolloutAccount& account) { takeAccount(from, account); });
  tick();
}

void RolloutDirector::tick() {
  const absl::Time now = reactor::steadyNow();
  ++ticks_;
  const bool may_hold = reads_store_() && rollouts_.knowsRecords() && !core_.is_stopping;
  const bool is_needed = (may_hold || lease_.holds(now)) && isNeeded();
  const bool is_to_be_taken = is_needed && !lease_.holds(now);
  lease_.pursue(is_needed, is_to_be_taken ? turn(now) : absl::ZeroDuration(), absl::InfinitePast(), now);
  if (lease_.mayAct(now)) {
    for (auto& [service, state] : rollouts_.services()) {
      direct(service, state, now);
    }
  }
  core_.timers.schedule(now + kTick, [this] { tick(); });
}

// Among the readers of the store, in the order of their ids.
absl::Duration RolloutDirector::turn(absl::Time now) const {
  int64_t before = 0;
  for (const auto& [id, peer] : directory_.peers()) {
    const bool goes_before = peer.reads_well && id < core_.settings.gateway_id && peers_.isLive(peer, now);
    before += goes_before ? 1 : 0;
  }
  return kTurns.after(before);
}

bool RolloutDirector::isOpen(const State& state) const {
  const auto& known = state.gate.known();
  if (!known) {
    return state.gate.base().has_value();
  }
  const bool is_asked_anew = state.operators_row && state.operators_row->row > known->record.request_row;
  return is_asked_anew || known->record.isRunning();
}

bool RolloutDirector::isNeeded() const {
  const auto& services = rollouts_.services();
  return std::any_of(services.begin(), services.end(),
                     [this](const auto& entry) { return isOpen(entry.second); });
}

RolloutDirector::Judged& RolloutDirector::judgedOf(const ServiceName& service, const State& state) {
  Judged& judged = judged_[service];
  const RolloutRecord& record = state.gate.known()->record;
  if (!record.isSameRollout(judged.record)) {
    const bool is_write_under_way = judged.is_write_under_way;
    judged = {};
    judged.is_write_under_way = is_write_under_way;
  }
  judged.record = record;
  return judged;
}

void RolloutDirector::takeAccount(const NodeId& from, const RolloutAccount& account) {
  const auto state = rollouts_.services().find(account.service);
  const bool is_known = state != rollouts_.services().end() && state->second.gate.known();
  if (!is_known || state->second.gate.known()->record.request_row != account.request_row) {
    return;
  }
  const absl::Time now = reactor::steadyNow();
  Judged& judged = judgedOf(account.service, state->second);
  Told& told = judged.told[from];
  if (told.life != account.life) {
    told = {};
    told.life = account.life;
  }
  told.heard = now;
  told.confirmed_row = std::max(told.confirmed_row, account.confirmed_row);
  judged.verdict.take(takeNews(told.counts, account.counts), now);
}

void RolloutDirector::direct(const ServiceName& service, State& state, absl::Time now) {
  if (!isOpen(state)) {
    return;
  }
  if (!state.gate.known()) {
    writeFirst(service, state);
    return;
  }
  Judged& judged = judgedOf(service, state);
  const KnownRecord& known = *state.gate.known();
  if (known.record.fence > lease_.fence()) {
    lease_.onFenced(known.record.fence);
    return;
  }
  judged.verdict.judge(now);
  const bool is_bad = known.record.isRunning() && judged.verdict.verdict() == Verdict::kBad;
  if (is_bad && judged.stops_told < kStopsTold) {
    ++judged.stops_told;
    core_.log.event("rollout_found_bad", now)
        .with("service", service.value())
        .with("target", known.record.target.value())
        .with("bad_answers", static_cast<int64_t>(judged.verdict.badResponses()))
        .with("answers", static_cast<int64_t>(judged.verdict.targetResponses()));
    tellAll({known, true});
  } else if (known.record.isRunning()) {
    tellInTurn({known, is_bad});
  }
  if (judged.is_write_under_way) {
    return;
  }
  const auto next =
      nextTransition(known.record, situationOf(state, judged, now), {core_.settings.bounds.key_revocation});
  if (next) {
    core_.log.event("rollout_step", now)
        .with("service", service.value())
        .with("stage", nameOf(next->record.stage))
        .with("why", next->reason)
        .with("bad_answers", static_cast<int64_t>(judged.verdict.badResponses()))
        .with("answers", static_cast<int64_t>(judged.verdict.targetResponses()));
    write(next->record, known.row);
  }
}

void RolloutDirector::writeFirst(const ServiceName& service, State& state) {
  if (!judged_[service].is_write_under_way) {
    write(staged_rollout::initialRecord(service, *state.gate.base()), 0);
  }
}

RolloutInputs RolloutDirector::situationOf(State& state, const Judged& judged, absl::Time now) const {
  RolloutInputs situation;
  situation.clock = core_.storeClock(now).value_or(absl::ZeroDuration());
  situation.operators_row = state.operators_row;
  situation.verdict = judged.verdict.verdict();
  situation.bad_responses = judged.verdict.badResponses();
  noteConfirmations(state, judged, now, situation);
  return situation;
}

void RolloutDirector::noteConfirmations(const State& state, const Judged& judged, absl::Time now,
                                        RolloutInputs& situation) const {
  const uint64_t row = state.gate.known()->row;
  situation.have_reachable_confirmed = state.confirmed_row == row;
  for (const auto& [id, peer] : directory_.peers()) {
    const auto told = judged.told.find(id);
    const bool is_heard = told != judged.told.end() && now - told->second.heard <= kAccountLasts;
    const bool has_confirmed = told != judged.told.end() && told->second.confirmed_row == row;
    situation.have_reachable_confirmed = situation.have_reachable_confirmed && (!is_heard || has_confirmed);
    situation.is_any_unreachable = situation.is_any_unreachable || !has_confirmed;
  }
}

// The record, and what the operator is told, at once or not at all.
void RolloutDirector::write(RolloutRecord record, uint64_t expected_row) {
  record.fence = lease_.fence();
  judged_[record.service].is_write_under_way = true;
  forwarding::StoreRow row;
  row.table = RolloutExchange::kTable;
  row.key = record.service.value();
  row.value = encodeRecord(record);
  std::vector<forwarding::RowWrite> writes = {{row, expected_row}};
  if (const auto status = statusOf(record)) {
    writes.push_back({core_.dialect->rolloutStatusRow(*status), std::nullopt});
  }
  store_.writeAll(writes, [this, record](StoreStatus status, const forwarding::StoreRows& answer) {
    if (status == StoreStatus::kDone) {
      judged_[record.service].is_write_under_way = false;
      takeWritten({record, answer.version});
      return;
    }
    core_.log.event("rollout_not_written", reactor::steadyNow())
        .with("service", record.service.value())
        .with("why", static_cast<int64_t>(status));
    readAgain(record.service);
  });
}

// It may have been written all the same, or another one was: the row tells.
void RolloutDirector::readAgain(const ServiceName& service) {
  store_.read(RolloutExchange::kTable, service.value(), 1,
              [this, service](StoreStatus status, const forwarding::StoreRows& answer) {
                judged_[service].is_write_under_way = false;
                const bool is_there = status == StoreStatus::kDone && !answer.rows.empty() &&
                                      answer.rows.front().key == service.value();
                const auto record = is_there ? staged_rollout::decodeRecord(answer.rows.front().value)
                                             : fail(ErrorCode::kUnavailable, "the record was not read");
                if (record.has_value()) {
                  takeReadAgain({record.value(), answer.rows.front().version});
                }
              });
}

// A write is answered with the store's version, which another write may have raised: the row's own one
// stands.
void RolloutDirector::takeReadAgain(const KnownRecord& known) {
  const auto state = rollouts_.services().find(known.record.service);
  if (state != rollouts_.services().end() && state->second.gate.known() &&
      state->second.gate.known()->record == known.record) {
    state->second.gate.correctRow(known.row);
  }
  takeWritten(known);
}

// Told to all at once: gateways need not wait for the reading of their zone.
void RolloutDirector::takeWritten(const KnownRecord& known) {
  const RolloutNotice notice{known, false};
  rollouts_.takeNotice(core_.settings.gateway_id, notice);
  if (known.record.request_row != 0) {
    tellAll(notice);
  }
}

void RolloutDirector::tellAll(const RolloutNotice& notice) {
  rollouts_.takeNotice(core_.settings.gateway_id, notice);
  peers_.sendToAll(peer::PeerModule::kStagedRollouts, encodeRolloutMessage({notice, std::nullopt}));
}

void RolloutDirector::tellInTurn(const RolloutNotice& notice) {
  rollouts_.takeNotice(core_.settings.gateway_id, notice);
  const std::string bytes = encodeRolloutMessage({notice, std::nullopt});
  uint64_t place = 0;
  for (const auto& [id, peer] : directory_.peers()) {
    if (place++ % kTicksARound == ticks_ % kTicksARound) {
      peers_.sendTo(id, peer::PeerModule::kStagedRollouts, bytes);
    }
  }
}

}  // namespace quincewick::gateway
