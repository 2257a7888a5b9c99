#include "fleet/leader_lease.h"

#include <algorithm>
#include <string>
#include <utility>

namespace quincewick::fleet {

std::optional<PlatformRequest> LeaderLease::nextCall(absl::Time now) {
  const bool is_held = isHeld(now);
  if (call_ != Call::kNone || now < next_call_ || (!is_candidate_ && !is_held)) {
    return std::nullopt;
  }
  next_call_ = now + settings_.pollInterval();
  if (must_read_) {
    return read();
  }
  if (is_held) {
    return renew(now);
  }
  // An own lease that lapsed may be taken again at once, with a new epoch.
  const bool is_own = record_.holder == self_ && record_.incarnation == incarnation_;
  const bool is_free =
      is_own || record_version_ == kAbsentItemVersion || now - record_seen_ > settings_.waitFor();
  return is_free ? acquire(now) : read();
}

// Unlike that of every earlier attempt: an attempt that takes effect late is not taken for a newer one, whose
// time would be too late.
uint64_t LeaderLease::nextRenewal() const {
  return std::max(record_.renewal, attempt_.renewal) + 1;
}

PlatformRequest LeaderLease::read() {
  call_ = Call::kRead;
  return TableRead{{std::string(kLeaseKey), std::string(kWindowKey)}};
}

PlatformRequest LeaderLease::acquire(absl::Time now) {
  call_ = Call::kAcquire;
  attempt_ = LeaseRecord{self_, incarnation_, Epoch(record_.epoch.value() + 1), nextRenewal()};
  attempt_sent_ = now;
  WindowRecord window = window_;
  window.epoch = attempt_.epoch;
  window.write = 0;
  return TableTransaction{
      {{std::string(kLeaseKey), record_version_}, {std::string(kWindowKey), window_version_}},
      {{std::string(kLeaseKey), encodeLease(attempt_)}, {std::string(kWindowKey), encodeWindow(window)}}};
}

PlatformRequest LeaderLease::renew(absl::Time now) {
  call_ = Call::kRenew;
  const uint64_t renewal = nextRenewal();
  attempt_ = record_;
  attempt_.renewal = renewal;
  attempt_sent_ = now;
  return TableTransaction{{{std::string(kLeaseKey), record_version_}},
                          {{std::string(kLeaseKey), encodeLease(attempt_)}}};
}

void LeaderLease::takeResult(const std::optional<PlatformResult>& result, absl::Time now) {
  const Call call = std::exchange(call_, Call::kNone);
  if (result && std::holds_alternative<TableItems>(*result)) {
    takeItems(std::get<TableItems>(*result).items, now);
    return;
  }
  if (result && std::holds_alternative<TableCommitted>(*result)) {
    takeCommitted(std::get<TableCommitted>(*result));
    next_call_ = now + settings_.renewInterval();
    return;
  }
  // A conflict, or an error after which the write may have taken effect: the table knows.
  must_read_ = true;
  if (call != Call::kRead) {
    next_call_ = now;
  }
}

void LeaderLease::takeCommitted(const TableCommitted& committed) {
  const bool is_takeover = !held_epoch_ || *held_epoch_ != attempt_.epoch;
  record_version_ = committed.versions.front();
  if (is_takeover) {
    window_.epoch = attempt_.epoch;
    window_.write = 0;
    window_version_ = committed.versions.back();
  }
  hold(attempt_);
}

void LeaderLease::takeItems(const std::vector<TableItem>& items, absl::Time now) {
  must_read_ = false;
  for (const TableItem& item : items) {
    if (item.key == kWindowKey) {
      const Result<WindowRecord> window = decodeWindow(item.value);
      window_ = window.has_value() ? window.value() : WindowRecord();
      window_version_ = item.version;
    }
  }
  for (const TableItem& item : items) {
    if (item.key == kLeaseKey) {
      takeLeaseItem(item, now);
    }
  }
}

void LeaderLease::takeLeaseItem(const TableItem& item, absl::Time now) {
  const Result<LeaseRecord> decoded = decodeLease(item.value);
  const LeaseRecord record = decoded.has_value() ? decoded.value() : LeaseRecord();
  if (!has_read_ || item.version != record_version_) {
    record_seen_ = now;
  }
  has_read_ = true;
  record_ = record;
  record_version_ = item.version;
  if (record.holder == self_ && record.incarnation == incarnation_ && record == attempt_) {
    hold(record);  // an own write whose answer was lost
    return;
  }
  if (held_epoch_ && record.epoch != *held_epoch_) {
    held_until_ = absl::InfinitePast();
  }
  if (isHeld(now) || record_version_ == kAbsentItemVersion) {
    next_call_ = now;  // renew or acquire at once
  }
}

void LeaderLease::hold(const LeaseRecord& record) {
  record_ = record;
  held_epoch_ = record.epoch;
  // Counted from when the write was sent: others can have seen it only later.
  held_until_ = attempt_sent_ + settings_.heldFor();
}

absl::Time LeaderLease::nextWakeup(absl::Time now) const {
  if (isHeld(now)) {
    return std::min(next_call_, held_until_);
  }
  return is_candidate_ ? next_call_ : absl::InfiniteFuture();
}

void LeaderLease::lose() {
  held_until_ = absl::InfinitePast();
  must_read_ = true;
}

}  // namespace quincewick::fleet
