#include "gateway/stream_origin_exchange.h"

#include <absl/random/distributions.h>
#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "gateway/software_record.h"

namespace quincewick::gateway {
namespace {

using forwarding::StreamKey;
using forwarding::StreamOrigin;
using forwarding::StreamOriginActions;
using forwarding::StreamRecord;

constexpr absl::Duration kMemberInterval = absl::Milliseconds(250);
constexpr absl::Duration kWriteInterval = absl::Milliseconds(200);
// Between writes that first events wait for: at least this, and so that all gateways together make at most
// kMaxWritesPerSecond calls.
constexpr absl::Duration kMinAwaitedWriteInterval = absl::Milliseconds(25);
constexpr double kMaxWritesPerSecond = 500;
constexpr absl::Duration kStoreReadTimeout = absl::Milliseconds(500);
constexpr size_t kMaxReads = 64;
constexpr size_t kMaxRowsPerWrite = 100;
constexpr size_t kMaxUnstored = 1000;
// Rows of the table: a later record displaces an earlier one in its place, so that the table stays bounded
// without being cleared.
constexpr uint64_t kPlaces = 65'536;

std::string rowKeyOf(const StreamKey& key) {
  const uint64_t tenant = XXH3_64bits(key.tenant.value().data(), key.tenant.value().size());
  const uint64_t hash = XXH3_64bits_withSeed(key.attempt_id.data(), key.attempt_id.size(), tenant);
  return absl::StrFormat("%04x", hash % kPlaces);
}

}  // namespace

StreamOriginExchange::StreamOriginExchange(Core& core, PeerDirectory& directory, PeerExchange& peers)
    : core_(core),
      directory_(directory),
      peers_(peers),
      reader_(core),
      history_reader_(core),
      writer_(core),
      origins_(core.settings.gateway_id, absl::Uniform<uint64_t>(core.random, 1, UINT64_MAX / 2)) {}

void StreamOriginExchange::start() {
  peers_.setMessageHandler(
      peer::PeerModule::kStreamOrigins,
      [this](const NodeId& from, std::string_view payload) { return receive(from, payload); });
  heartbeat();
}

void StreamOriginExchange::updateMembers() {
  if (directory_.isComplete()) {
    origins_.setMembers(directory_.ownerCandidates());
    peers_known_ = directory_.peers().size();
  }
}

// The periodic update alone would miss gateways that have just become known.
void StreamOriginExchange::noticeNewPeers() {
  if (peers_known_ != directory_.peers().size()) {
    updateMembers();
  }
}

void StreamOriginExchange::heartbeat() {
  updateMembers();
  storeBegunAlone();
  core_.timers.schedule(reactor::steadyNow() + kMemberInterval, [this] { heartbeat(); });
}

// While a version served alone, its history proved what it began.
void StreamOriginExchange::storeBegunAlone() {
  const absl::Time now = reactor::steadyNow();
  const std::optional<absl::Duration> clock = core_.storeClock(now);
  if (!clock || core_.in_force.configuration == nullptr) {
    return;
  }
  StreamOriginActions actions;
  for (const forwarding::Service& service : core_.in_force.configuration->services()) {
    if (!core_.software_histories.hasSeveral(service.name, *clock)) {
      with_several_versions_.erase(service.name);
    } else if (with_several_versions_.insert(service.name).second) {
      origins_.keepOwnInStore(service.name, now, actions);
    }
  }
  for (const StreamRecord& record : actions.to_store) {
    queueForStore(record, [](bool /*is_stored*/) {});
  }
}

void StreamOriginExchange::record(const StreamRecord& record, absl::Duration lifetime) {
  noticeNewPeers();
  StreamOriginActions actions;
  origins_.record(record, lifetime, reactor::steadyNow(), actions);
  execute(actions);
}

uint64_t StreamOriginExchange::find(const StreamKey& key, ResultCallback on_result) {
  noticeNewPeers();
  StreamOriginActions actions;
  const uint64_t number = origins_.find(key, reactor::steadyNow(), actions);
  waiting_[number] = {key, std::move(on_result)};
  execute(actions);
  return number;
}

void StreamOriginExchange::cancel(uint64_t number) {
  waiting_.erase(number);
  history_questions_.erase(number);
  origins_.cancel(number);
}

uint64_t StreamOriginExchange::findByHistory(const HistoryQuestion& question, ResultCallback on_result) {
  const uint64_t number = ++last_history_question_;
  history_questions_[number] = {question, std::move(on_result)};
  readHistory(question.service);
  return number;
}

// One read serves all questions that were asked before it was sent.
void StreamOriginExchange::readHistory(const forwarding::ServiceName& service) {
  if (!histories_read_.insert(service).second) {
    return;
  }
  history_reader_.read(
      SoftwareRecord::kTable, service.value(), 1, kStoreReadTimeout,
      [this, service, last = last_history_question_](StoreStatus status, const forwarding::StoreRows& rows) {
        histories_read_.erase(service);
        answerByHistory(service, last, status, rows);
      });
}

void StreamOriginExchange::answerByHistory(const forwarding::ServiceName& service, uint64_t last_number,
                                           StoreStatus status, const forwarding::StoreRows& rows) {
  const absl::Time now = reactor::steadyNow();
  std::optional<forwarding::SoftwareHistory> history;
  const bool has_row =
      status == StoreStatus::kDone && !rows.rows.empty() && rows.rows.front().key == service.value();
  if (has_row) {
    const auto decoded = forwarding::decodeSoftwareHistory(rows.rows.front().value);
    if (decoded.has_error()) {
      core_.log.event("history_not_read", now)
          .with("service", service.value())
          .with("why", decoded.error().message);
    } else {
      history = decoded.value();
    }
  } else {
    core_.log.event("history_not_read", now)
        .with("service", service.value())
        .with("why", status == StoreStatus::kDone ? "no row" : "no answer of the store");
  }
  std::vector<WaitingForHistory> answered;
  bool has_later = false;
  absl::erase_if(history_questions_, [&](auto& entry) {
    if (entry.second.question.service != service) {
      return false;
    }
    has_later = has_later || entry.first > last_number;
    if (entry.first > last_number) {
      return false;
    }
    answered.push_back(std::move(entry.second));
    return true;
  });
  if (has_later) {
    readHistory(service);
  }
  for (const auto& [question, on_result] : answered) {
    const absl::Duration earliest = rows.clock - (now - question.asked) - question.window;
    const auto software =
        history ? history->onlyVersion({earliest, question.routes, core_.store_history.era()}) : std::nullopt;
    core_.metrics.countStreamLookup(software.has_value());
    on_result({software ? std::optional(StreamOrigin{service, *software}) : std::nullopt, false});
  }
}

Result<void> StreamOriginExchange::receive(const NodeId& from, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, forwarding::decodeStreamOriginMessage(payload));
  StreamOriginActions actions;
  origins_.onMessage(from, message, reactor::steadyNow(), actions);
  execute(actions);
  return outcome::success();
}

void StreamOriginExchange::execute(const StreamOriginActions& actions) {
  for (const StreamOriginActions::Outgoing& outgoing : actions.messages) {
    peers_.sendTo(outgoing.to, peer::PeerModule::kStreamOrigins, encodeStreamOriginMessage(outgoing.message));
  }
  for (const StreamRecord& record : actions.to_store) {
    queueForStore(record, nullptr);
  }
  scheduleTick();
  for (const forwarding::StreamLookup& lookup : actions.lookups) {
    handleLookup(lookup);
  }
}

void StreamOriginExchange::handleLookup(const forwarding::StreamLookup& lookup) {
  if (lookup.is_contradictory) {
    answer(lookup.number, {std::nullopt, true});
  } else if (lookup.origin) {
    answer(lookup.number, {lookup.origin, false});
  } else {
    readFromStore(lookup.number);
  }
}

void StreamOriginExchange::readFromStore(uint64_t number) {
  const auto waiting = waiting_.find(number);
  if (waiting == waiting_.end()) {
    return;
  }
  const StreamKey key = waiting->second.key;
  if (reads_under_way_ >= kMaxReads) {
    noteNotRead(key, "too many reads wait");
    answer(number, {});
    return;
  }
  ++reads_under_way_;
  // Reads wait for each other: the caller waits no longer than for one.
  core_.timers.schedule(reactor::steadyNow() + kStoreReadTimeout, [this, number, key] {
    if (waiting_.contains(number)) {
      noteNotRead(key, "not in time");
      answer(number, {});
    }
  });
  reader_.read(kTable, rowKeyOf(key), 1, kStoreReadTimeout,
               [this, number, key](StoreStatus status, const forwarding::StoreRows& rows) {
                 --reads_under_way_;
                 if (status != StoreStatus::kDone) {
                   noteNotRead(key, "no answer of the store");
                 }
                 answer(number, {status == StoreStatus::kDone ? originIn(rows, key) : std::nullopt, false});
               });
}

// The row's place may be another stream's by now.
std::optional<StreamOrigin> StreamOriginExchange::originIn(const forwarding::StoreRows& rows,
                                                           const StreamKey& key) {
  if (rows.rows.empty()) {
    return std::nullopt;
  }
  const auto record = forwarding::decodeStreamRecord(rows.rows.front().value);
  if (record.has_error()) {
    noteNotRead(key, record.error().message);
    return std::nullopt;
  }
  return record.value().key == key ? std::optional(record.value().origin) : std::nullopt;
}

void StreamOriginExchange::noteNotRead(const StreamKey& key, std::string_view why) {
  core_.log.event("stream_not_read", reactor::steadyNow()).with("request", key.attempt_id).with("why", why);
}

void StreamOriginExchange::answer(uint64_t number, const Found& found) {
  const auto waiting = waiting_.find(number);
  if (waiting == waiting_.end()) {
    return;
  }
  const ResultCallback on_result = std::move(waiting->second.on_result);
  waiting_.erase(waiting);
  core_.metrics.countStreamLookup(found.origin.has_value());
  on_result(found);
}

void StreamOriginExchange::store(const StreamRecord& record, StoredCallback on_result) {
  queueForStore(record, std::move(on_result));
}

void StreamOriginExchange::queueForStore(const StreamRecord& record, StoredCallback on_result) {
  const std::string key = rowKeyOf(record.key);
  std::string value = encodeStreamRecord(record);
  const auto place = unstored_.find(key);
  const bool is_valid = record.key.attempt_id.size() <= forwarding::StreamOrigins::kMaxAttemptIdBytes;
  if (!is_valid || (place == unstored_.end() && unstored_.size() >= kMaxUnstored)) {
    core_.log.event("stream_not_stored", reactor::steadyNow()).with("request", record.key.attempt_id);
    if (on_result) {
      on_result(false);
    }
    return;
  }
  std::vector<StoredCallback> displaced;
  Unstored& row = place == unstored_.end() ? unstored_[key] : place->second;
  if (row.value != value) {
    displaced = std::exchange(row.on_result, {});
    row.value = std::move(value);
  }
  const bool is_awaited = on_result != nullptr;
  if (is_awaited) {
    row.on_result.push_back(std::move(on_result));
  }
  scheduleWrite(is_awaited ? awaitedWriteInterval() : kWriteInterval);
  for (const StoredCallback& callback : displaced) {
    callback(false);
  }
}

absl::Duration StreamOriginExchange::awaitedWriteInterval() const {
  const auto gateways = static_cast<double>(directory_.peers().size() + 1);
  return std::max(kMinAwaitedWriteInterval, absl::Seconds(gateways / kMaxWritesPerSecond));
}

// The first record after a pause is written at once. One call at a time.
void StreamOriginExchange::scheduleWrite(absl::Duration interval) {
  const absl::Time at = std::max(reactor::steadyNow(), last_write_ + interval);
  if (is_writing_ || at >= write_due_) {
    return;
  }
  core_.timers.cancel(write_timer_);
  write_due_ = at;
  write_timer_ = core_.timers.schedule(at, [this] {
    write_due_ = absl::InfiniteFuture();
    writeToStore();
  });
}

// What isn't written is lost to lookups of gateways that reach no holder.
void StreamOriginExchange::writeToStore() {
  is_writing_ = true;
  last_write_ = reactor::steadyNow();
  std::vector<forwarding::RowWrite> writes;
  std::vector<StoredCallback> on_result;
  while (!unstored_.empty() && writes.size() < kMaxRowsPerWrite) {
    auto row = unstored_.extract(unstored_.begin());
    writes.push_back({{kTable, row.key(), std::move(row.mapped().value), 0, false}, std::nullopt});
    std::move(row.mapped().on_result.begin(), row.mapped().on_result.end(), std::back_inserter(on_result));
  }
  const size_t count = writes.size();
  writer_.writeAll(writes, [this, count, on_result = std::move(on_result)](
                               StoreStatus status, const forwarding::StoreRows& /*rows*/) {
    is_store_writable_ = status == StoreStatus::kDone;
    if (!is_store_writable_) {
      core_.log.event("streams_not_stored", reactor::steadyNow()).with("count", static_cast<int64_t>(count));
    }
    is_writing_ = false;
    if (!unstored_.empty()) {
      const bool is_awaited = std::any_of(unstored_.begin(), unstored_.end(),
                                          [](const auto& row) { return !row.second.on_result.empty(); });
      scheduleWrite(is_awaited ? awaitedWriteInterval() : kWriteInterval);
    }
    for (const StoredCallback& callback : on_result) {
      callback(is_store_writable_);
    }
  });
}

void StreamOriginExchange::scheduleTick() {
  const absl::Time next = origins_.nextWakeup();
  if (next >= timer_at_) {
    return;  // the earlier timer reschedules
  }
  core_.timers.cancel(timer_);
  timer_at_ = next;
  timer_ = core_.timers.schedule(next, [this] {
    timer_at_ = absl::InfiniteFuture();
    StreamOriginActions actions;
    origins_.onTick(reactor::steadyNow(), actions);
    execute(actions);
  });
}

}  // namespace quincewick::gateway
