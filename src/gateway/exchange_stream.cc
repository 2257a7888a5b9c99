// Streams that go on: within one answer, and those that a caller takes up again.
#include <algorithm>
#include <memory>
#include <utility>

#include "gateway/exchange.h"
#include "gateway/stream_origin_exchange.h"

namespace quincewick::gateway {
namespace {

using forwarding::RepeatKind;

constexpr std::string_view kOriginUnknown = "stream_origin_unknown";
constexpr std::string_view kProvenByHistory = "history";
constexpr std::string_view kProvenByRecord = "record";
// A first event waits no longer for the store.
constexpr absl::Duration kMaxHold = absl::Milliseconds(100);
constexpr size_t kMaxHeldBytes = 262144;
constexpr absl::Duration kUnknownOriginRetryAfter = absl::Seconds(1);
// Callers may give each attempt a deadline of its own.
constexpr absl::Duration kTakeUpMargin = absl::Seconds(10);
constexpr int kUnavailable = 503;

}  // namespace

// Whether the request is a stream that another server may go on with.
bool Exchange::mayGoOnElsewhere() const {
  return route_->kind == RepeatKind::kStream && route_->is_resumable;
}

// Whether the caller has a part of the stream from an earlier attempt.
bool Exchange::isTakenUp() const {
  return route_->kind == RepeatKind::kStream && (facts_.resumed_attempt || facts_.last_event_id);
}

void Exchange::findOrigin() {
  if (facts_.resumed_attempt) {
    findOriginByRecord();
  } else {
    findOriginByHistory();
  }
}

void Exchange::findOriginByRecord() {
  origin_proof_ = kProvenByRecord;
  const auto is_found = std::make_shared<bool>(false);
  const uint64_t number =
      core_.stream_origins->find(streamKey(), [this, is_found](const StreamOriginExchange::Found& found) {
        const auto self = shared_from_this();
        *is_found = true;
        pending_origin_.reset();
        if (found.origin || found.is_contradictory) {
          onOriginFound(found.origin);
        } else {
          findOriginByHistory();
        }
      });
  if (!*is_found) {
    pending_origin_ = number;
  }
}

// A route that is divided doesn't tell which service began the stream.
void Exchange::findOriginByHistory() {
  origin_proof_ = kProvenByHistory;
  if (route_->shares.size() != 1) {
    onOriginFound(std::nullopt);
    return;
  }
  const absl::Duration longest = route_->timeout.value_or(absl::InfiniteDuration());
  const absl::Duration window = std::min(longest + kTakeUpMargin, forwarding::StreamOrigins::kMaxLifetime);
  const forwarding::ServiceName& service = route_->shares.front().service;
  const uint64_t routes = forwarding::hashOfResumableRoutes(*configuration_, service);
  pending_origin_ = core_.stream_origins->findByHistory({service, routes, window, began_},
                                                        [this](const StreamOriginExchange::Found& found) {
                                                          const auto self = shared_from_this();
                                                          pending_origin_.reset();
                                                          onOriginFound(found.origin);
                                                        });
}

void Exchange::cancelFindOrigin() {
  if (pending_origin_) {
    core_.stream_origins->cancel(*std::exchange(pending_origin_, std::nullopt));
  }
}

// The first attempt that brought an event names the stream.
forwarding::StreamKey Exchange::streamKey() const {
  return {tenant_ == nullptr ? TenantId() : tenant_->id, facts_.resumed_attempt.value_or(facts_.attempt_id)};
}

// Without a proven origin the stream goes on nowhere: its events might not fit those that the caller has.
void Exchange::onOriginFound(const std::optional<forwarding::StreamOrigin>& origin) {
  const bool has_service =
      origin && std::any_of(route_->shares.begin(), route_->shares.end(),
                            [&origin](const auto& share) { return share.service == origin->service; });
  if (!has_service) {
    reject(kUnavailable, kOriginUnknown, kUnknownOriginRetryAfter);
    return;
  }
  service_ = origin->service;
  begun_software_ = origin->software;
  acceptForService();
}

// Binds the answer to the software version of its first event, and keeps the version for a later attempt of
// the caller.
void Exchange::noteStreamBegun() {
  if (std::exchange(is_stream_begun_, true)) {
    return;
  }
  if (!begun_software_) {
    begun_software_ = attempt_software_;
  }
  const bool is_recorded = begun_software_ && mayGoOnElsewhere() && !terms_;
  if (is_recorded) {
    const absl::Time deadline = began_ + facts_.deadline.value_or(absl::InfiniteDuration());
    const absl::Duration lifetime = deadline + kTakeUpMargin - reactor::steadyNow();
    core_.stream_origins->record({streamKey(), {service_, *begun_software_}}, lifetime);
  }
}

std::optional<SoftwareVersion> Exchange::boundSoftware() const {
  if (begun_software_) {
    return begun_software_;
  }
  // A record that isn't acknowledged may still be written, whatever follows it.
  return record_state_ == RecordState::kStored ? std::nullopt : recorded_software_;
}

bool Exchange::mayBeginAt(const forwarding::Server& server) const {
  const std::optional<SoftwareVersion> software = server.provenSoftware();
  return software && core_.software_histories.mayBegin(service_, *software);
}

// The servers at which a stream that may be resumed may begin, of these.
const Exchange::Servers& Exchange::serversForStream(const Servers& servers) {
  const bool may_begin_anywhere =
      begun_software_ || !mayGoOnElsewhere() ||
      std::all_of(servers.begin(), servers.end(), [this](const auto& server) { return mayBeginAt(*server); });
  if (may_begin_anywhere) {
    return servers;
  }
  servers_of_history_ = servers;
  std::erase_if(servers_of_history_, [this](const auto& server) { return !mayBeginAt(*server); });
  return servers_of_history_;
}

// While one version alone may begin streams, the history proves it.
bool Exchange::needsStoredRecord() const {
  if (begun_software_ || terms_ || !mayGoOnElsewhere() || server_->provenSoftware() == recorded_software_) {
    return false;
  }
  const std::optional<absl::Duration> clock = core_.storeClock(reactor::steadyNow());
  return clock && core_.software_histories.hasSeveral(service_, *clock);
}

// The first record is written while the server works. A later one names another version: it is written after
// the first, and before the request is sent.
bool Exchange::recordInStore() {
  const bool replaces = recorded_software_.has_value();
  recorded_software_ = server_->provenSoftware();
  record_state_ = RecordState::kPending;
  sends_once_recorded_ = replaces;
  holds_events_ = !replaces && core_.stream_origins->isStoreWritable();
  core_.stream_origins->store({streamKey(), {service_, *recorded_software_}},
                              [weak = weak_from_this(), software = *recorded_software_](bool is_stored) {
                                const auto self = weak.lock();
                                if (self != nullptr && self->recorded_software_ == software) {
                                  self->onRecordStored(is_stored);
                                }
                              });
  return !replaces;
}

void Exchange::onRecordStored(bool is_stored) {
  record_state_ = is_stored ? RecordState::kStored : RecordState::kUncertain;
  if (is_done_) {
    return;
  }
  releaseFirstEvent();
  if (std::exchange(tries_once_recorded_, false)) {
    tryNext();
    return;
  }
  if (!std::exchange(sends_once_recorded_, false)) {
    return;
  }
  if (is_stored) {
    sendToChosenServer();
  } else {
    releaseServer();
    giveUp(false, "stream_not_recorded");
  }
}

bool Exchange::awaitRecord() {
  if (begun_software_ || record_state_ != RecordState::kPending) {
    return false;
  }
  tries_once_recorded_ = true;
  hold_timer_ = core_.timers.schedule(reactor::steadyNow() + kMaxHold, [this] {
    const auto self = shared_from_this();
    tries_once_recorded_ = false;
    record_state_ = RecordState::kUncertain;
    tryNext();
  });
  return true;
}

bool Exchange::isFirstEventHeld() const {
  return holds_events_ && !is_head_forwarded_ && held_events_.size() < kMaxHeldBytes;
}

void Exchange::deliverEvents(std::string_view events) {
  if (isFirstEventHeld()) {
    if (held_events_.empty()) {
      hold_timer_ = core_.timers.schedule(reactor::steadyNow() + kMaxHold, [this] {
        const auto self = shared_from_this();
        releaseFirstEvent();
      });
    }
    held_events_ += events;
    return;
  }
  core_.timers.cancel(hold_timer_);
  forwardHead();
  if (sink_ != nullptr) {
    sink_->sendBody(std::exchange(held_events_, std::string()).append(events));
  }
}

void Exchange::releaseFirstEvent() {
  core_.timers.cancel(hold_timer_);
  holds_events_ = false;
  if (!held_events_.empty()) {
    deliverEvents(std::exchange(held_events_, std::string()));
  }
  if (std::exchange(is_end_held_, false)) {
    finishServed();
  }
}

}  // namespace quincewick::gateway
