#include "forwarding/order_lease.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "types/http_message.h"

namespace quincewick::forwarding {
namespace {

// After the expiry of another holder's lease, before it is acquired.
constexpr absl::Duration kAcquireMargin = absl::Milliseconds(100);
// Before the expiry of the own lease, when orders stop.
constexpr absl::Duration kOrderMargin = absl::Milliseconds(1000);
// Upper bound for the delay of a datagram that reports a holder; a holder sends none after its lease expired.
constexpr absl::Duration kMaxReportDelay = absl::Milliseconds(500);

// A fencing token consists of the store's era, its clock in units of kFenceUnit, and a hash of the holder's
// id, from the highest bits to the lowest.
constexpr absl::Duration kFenceUnit = absl::Milliseconds(100);
constexpr int kHolderBits = 18;
constexpr int kClockBits = 35;  // enough for a clock that counts from 1970 until 2078
constexpr uint64_t kHolderMask = (uint64_t{1} << kHolderBits) - 1;
constexpr uint64_t kClockMask = (uint64_t{1} << kClockBits) - 1;
constexpr uint64_t kHighestEra = 511;                  // higher eras are clamped to it
constexpr uint64_t kHighestFence = uint64_t{1} << 62;  // leaves room for the next, higher one

constexpr const char* kEraSeparator = "@";  // between holder id and era
constexpr const char* kNoEra = "@-";        // marks a missing era after an id that contains the separator

uint64_t holderBits(const NodeId& holder) {
  return XXH3_64bits(holder.value().data(), holder.value().size()) & kHolderMask;
}

// The store's clock when the lease was acquired under this fencing token, rounded up by at most kFenceUnit.
absl::Duration acquisitionClock(Epoch fence) {
  const uint64_t units = (fence.value() >> kHolderBits) & kClockMask;
  return static_cast<int64_t>(units + 1) * kFenceUnit;
}

}  // namespace

std::string printLeaseRecord(const LeaseRecord& record) {
  std::string holder = record.holder.value();
  if (record.era) {
    absl::StrAppend(&holder, kEraSeparator, *record.era);
  } else if (absl::StrContains(holder, kEraSeparator)) {
    absl::StrAppend(&holder, kNoEra);
  }
  return absl::StrCat(holder, " ", record.fence.value(), " ", absl::ToInt64Milliseconds(record.until));
}

std::optional<LeaseRecord> parseLeaseRecord(const std::string& text) {
  const std::vector<std::string> parts = absl::StrSplit(text, ' ');
  uint64_t fence = 0;
  int64_t until = 0;
  const bool is_well_formed = parts.size() == 3 && absl::SimpleAtoi(parts[1], &fence) &&
                              fence <= kHighestFence && absl::SimpleAtoi(parts[2], &until);
  if (!is_well_formed) {
    return std::nullopt;
  }
  LeaseRecord record{NodeId(parts[0]), Epoch(fence), absl::Milliseconds(until), std::nullopt};
  const size_t separator = parts[0].rfind(kEraSeparator);
  if (separator == std::string::npos) {
    return record;
  }
  record.era = parseUnsigned(parts[0].substr(separator + 1));
  if (record.era || parts[0].substr(separator) == kNoEra) {
    record.holder = NodeId(parts[0].substr(0, separator));
  }
  return record;
}

OrderLease::OrderLease(NodeId self, absl::Duration length, const StoreHistory& history)
    : self_(std::move(self)), length_(length), history_(history) {}

std::optional<LeaseWrite> OrderLease::onRead(const std::optional<LeaseRecord>& record, uint64_t version,
                                             const StoreCallTiming& timing, absl::Time holder_last_seen) {
  held_ = false;
  last_timing_ = timing;
  highest_fence_ = std::max(highest_fence_, record ? record->fence : Epoch());
  // No valid lease expires this far ahead: the clock was set back, or the record is corrupt.
  const bool is_implausible = record && record->until > timing.store_clock + 2 * length_;
  const bool is_free = !record || is_implausible || record->holder == self_ ||
                       timing.store_clock > record->until + kAcquireMargin;
  if (!is_free) {
    return std::nullopt;
  }
  const Epoch fence = nextFence(timing.store_clock);
  first_order_time_ = firstOrderTime(record, version, timing, holder_last_seen);
  first_own_fence_ = record && isOfThisProcess(*record) ? first_own_fence_ : fence;
  generation_ = history_.generation();
  era_ = history_.era();
  return prepare(fence, timing.store_clock + length_, version, timing.began + length_);
}

// Rises with the store's era and clock even if the store lost the row. The holder's bits make the tokens of
// two nodes that read the same row differ.
Epoch OrderLease::nextFence(absl::Duration store_clock) const {
  const uint64_t era = std::min(history_.era().value_or(0), kHighestEra);
  const auto units = static_cast<uint64_t>(std::max<int64_t>(store_clock / kFenceUnit, 0)) & kClockMask;
  const uint64_t by_store = (era << kClockBits) | units;
  const uint64_t above_known = (highest_fence_.value() >> kHolderBits) + 1;
  return Epoch((std::max(by_store, above_known) << kHolderBits) | holderBits(self_));
}

absl::Time OrderLease::firstOrderTime(const std::optional<LeaseRecord>& record, uint64_t version,
                                      const StoreCallTiming& timing, absl::Time holder_last_seen) const {
  absl::Time first = timing.ended;
  if (record) {
    first = std::max(first, firstOrderTimeByRecord(*record, timing));
  }
  // The record may have replaced that of the last holder: a write from a past era may be applied late.
  const bool may_mask_holder = record ? record->era && record->era != history_.era() : version > 0;
  if (may_mask_holder) {
    first = std::max(first, timing.ended + maxHolderWait());
  }
  const bool proves_holder = record && record->era && record->era == history_.era();
  if (!proves_holder) {
    first = std::max(first, history_.continuousSince() + maxHolderWait());
  }
  const absl::Time end = record ? timing.ended + (record->until - timing.store_clock) : absl::InfinitePast();
  if (holder_last_seen > end + kMaxReportDelay) {
    first = std::max(first, holder_last_seen + maxHolderWait());  // the record is not the last holder's
  }
  return first;
}

absl::Duration OrderLease::maxHolderWait() const {
  return 2 * length_ - kOrderMargin;
}

absl::Time OrderLease::firstOrderTimeByRecord(const LeaseRecord& record,
                                              const StoreCallTiming& timing) const {
  if (isOfThisProcess(record)) {
    return first_order_time_;
  }
  // An earlier incarnation of this node may still have been waiting for its predecessor since it acquired the
  // lease. If the store reports eras, as a store that can be restored does, it may also have waited for a
  // holder whose record was lost; otherwise it did not.
  const bool has_acquisition_time =
      record.holder == self_ && (record.fence.value() & kHolderMask) == holderBits(self_);
  const absl::Duration max_wait_since_acquisition = record.era ? maxHolderWait() : length_ - kOrderMargin;
  const absl::Duration wait =
      has_acquisition_time ? acquisitionClock(record.fence) + max_wait_since_acquisition - timing.store_clock
                           : record.until + length_ - kOrderMargin - timing.store_clock;
  return timing.ended + std::min(wait, maxHolderWait());
}

bool OrderLease::isOfThisProcess(const LeaseRecord& record) const {
  return record.holder == self_ && first_own_fence_ != Epoch() && record.fence >= first_own_fence_;
}

LeaseWrite OrderLease::prepare(Epoch fence, absl::Duration until, uint64_t version, absl::Time valid_until) {
  pending_write_ = {{self_, fence, until, era_}, version};
  highest_fence_ = std::max(highest_fence_, fence);
  pending_valid_until_ = valid_until;
  return pending_write_;
}

std::optional<LeaseWrite> OrderLease::renew(absl::Time now) {
  if (!holds(now)) {
    return std::nullopt;
  }
  // A lower bound for the store's clock now; the true value is higher by at most the duration of the last
  // call.
  const absl::Duration store_now = last_timing_.store_clock + (now - last_timing_.ended);
  return prepare(record_.fence, store_now + length_, version_,
                 now + length_ - (last_timing_.ended - last_timing_.began));
}

void OrderLease::onWritten(uint64_t version, const StoreCallTiming& timing) {
  held_ = true;
  record_ = pending_write_.record;
  version_ = version;
  valid_until_ = pending_valid_until_;
  last_timing_ = timing;
}

void OrderLease::onWriteFailed() {
  held_ = false;
}

void OrderLease::onFenced(Epoch seen) {
  held_ = false;
  highest_fence_ = std::max(highest_fence_, seen);
}

// If the store was reverted after the lease was acquired, the acquisition may be lost and another node may
// hold the lease.
bool OrderLease::holds(absl::Time now) const {
  return held_ && now < valid_until_ && history_.generation() == generation_;
}

bool OrderLease::mayOrder(absl::Time now) const {
  return holds(now) && now >= first_order_time_ && now < valid_until_ - kOrderMargin;
}

}  // namespace quincewick::forwarding
