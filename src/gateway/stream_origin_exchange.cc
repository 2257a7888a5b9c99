#include "gateway/stream_origin_exchange.h"

#include <absl/random/distributions.h>
#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace quincewick::gateway {
namespace {

using forwarding::StreamKey;
using forwarding::StreamOrigin;
using forwarding::StreamOriginActions;
using forwarding::StreamRecord;

constexpr absl::Duration kMemberInterval = absl::Milliseconds(250);
constexpr absl::Duration kWriteInterval = absl::Milliseconds(200);
constexpr absl::Duration kStoreReadTimeout = absl::Milliseconds(500);
constexpr size_t kMaxReads = 16;
constexpr size_t kMaxRowsPerWrite = 100;
constexpr size_t kMaxUnstored = 1000;
// Rows of the table: a later record displaces an earlier one in its place, so that the table stays bounded
// without being cleared.
constexpr uint64_t kPlaces = 16'384;

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
  core_.timers.schedule(reactor::steadyNow() + kMemberInterval, [this] { heartbeat(); });
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
  origins_.cancel(number);
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
    queueForStore(record);
  }
  scheduleTick();
  for (const forwarding::StreamLookup& lookup : actions.lookups) {
    handleLookup(lookup);
  }
}

void StreamOriginExchange::handleLookup(const forwarding::StreamLookup& lookup) {
  if (lookup.is_contradictory) {
    answer(lookup.number, std::nullopt);
  } else if (lookup.origin) {
    answer(lookup.number, lookup.origin);
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
    answer(number, std::nullopt);
    return;
  }
  ++reads_under_way_;
  // Reads wait for each other: the caller waits no longer than for one.
  core_.timers.schedule(reactor::steadyNow() + kStoreReadTimeout, [this, number, key] {
    if (waiting_.contains(number)) {
      noteNotRead(key, "not in time");
      answer(number, std::nullopt);
    }
  });
  reader_.read(kTable, rowKeyOf(key), 1, kStoreReadTimeout,
               [this, number, key](StoreStatus status, const forwarding::StoreRows& rows) {
                 --reads_under_way_;
                 if (status != StoreStatus::kDone) {
                   noteNotRead(key, "no answer of the store");
                 }
                 answer(number, status == StoreStatus::kDone ? originIn(rows, key) : std::nullopt);
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

void StreamOriginExchange::answer(uint64_t number, const std::optional<StreamOrigin>& origin) {
  const auto waiting = waiting_.find(number);
  if (waiting == waiting_.end()) {
    return;
  }
  const ResultCallback on_result = std::move(waiting->second.on_result);
  waiting_.erase(waiting);
  core_.metrics.countStreamLookup(origin.has_value());
  on_result(origin);
}

void StreamOriginExchange::queueForStore(const StreamRecord& record) {
  if (unstored_.size() >= kMaxUnstored) {
    core_.log.event("stream_not_stored", reactor::steadyNow()).with("request", record.key.attempt_id);
    return;
  }
  unstored_[rowKeyOf(record.key)] = encodeStreamRecord(record);
  scheduleWrite();
}

// The first record after a pause is written at once.
void StreamOriginExchange::scheduleWrite() {
  if (!std::exchange(is_writing_, true)) {
    const absl::Time at = std::max(reactor::steadyNow(), last_write_ + kWriteInterval);
    core_.timers.schedule(at, [this] { writeToStore(); });
  }
}

// One call at a time; what isn't written is lost to lookups of gateways that reach no holder.
void StreamOriginExchange::writeToStore() {
  last_write_ = reactor::steadyNow();
  std::vector<forwarding::RowWrite> writes;
  while (!unstored_.empty() && writes.size() < kMaxRowsPerWrite) {
    auto row = unstored_.extract(unstored_.begin());
    writes.push_back({{kTable, row.key(), std::move(row.mapped()), 0, false}, std::nullopt});
  }
  const size_t count = writes.size();
  writer_.writeAll(writes, [this, count](StoreStatus status, const forwarding::StoreRows& /*rows*/) {
    if (status != StoreStatus::kDone) {
      core_.log.event("streams_not_stored", reactor::steadyNow()).with("count", static_cast<int64_t>(count));
    }
    is_writing_ = false;
    if (!unstored_.empty()) {
      scheduleWrite();
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
