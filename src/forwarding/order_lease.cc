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

constexpr absl::Duration kTakeMargin = absl::Milliseconds(100);    // after the end of another's lease
constexpr absl::Duration kOrderMargin = absl::Milliseconds(1000);  // before the end of the own one
// Datagrams that tell of a holder may take so long; a holder tells none after its lease's end.
constexpr absl::Duration kNewsDelay = absl::Milliseconds(500);

// A fence is the store's era, its clock in these units, and bits that differ between holders, highest first.
constexpr absl::Duration kFenceUnit = absl::Milliseconds(100);
constexpr int kHolderBits = 18;
constexpr int kClockBits = 35;  // a clock that began in 1970 is good until 2078
constexpr uint64_t kHolderMask = (uint64_t{1} << kHolderBits) - 1;
constexpr uint64_t kClockMask = (uint64_t{1} << kClockBits) - 1;
constexpr uint64_t kHighestEra = 511;                  // later ones count as this one
constexpr uint64_t kHighestFence = uint64_t{1} << 62;  // above it the next one has no room

constexpr const char* kEraSeparator = "@";  // between the holder's id and the era
constexpr const char* kNoEra = "@-";        // behind an id that has a separator itself

uint64_t holderBits(const NodeId& holder) {
  return XXH3_64bits(holder.value().data(), holder.value().size()) & kHolderMask;
}

// The store's clock when a holder took the lease under a fence of its own, or a little later.
absl::Duration clockOf(Epoch fence) {
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
  const bool is_whole = parts.size() == 3 && absl::SimpleAtoi(parts[1], &fence) && fence <= kHighestFence &&
                        absl::SimpleAtoi(parts[2], &until);
  if (!is_whole) {
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
                                             const StoreMoment& moment, absl::Time holder_heard) {
  held_ = false;
  last_moment_ = moment;
  highest_fence_ = std::max(highest_fence_, record ? record->fence : Epoch());
  // No holder's end is as far ahead as that: the clock was put back, or the record is spoilt.
  const bool is_absurd = record && record->until > moment.store_clock + 2 * length_;
  const bool is_free =
      !record || is_absurd || record->holder == self_ || moment.store_clock > record->until + kTakeMargin;
  if (!is_free) {
    return std::nullopt;
  }
  const Epoch fence = nextFence(moment.store_clock);
  first_order_ = firstOrder(record, version, moment, holder_heard);
  first_own_fence_ = record && isOfThisProcess(*record) ? first_own_fence_ : fence;
  generation_ = history_.generation();
  era_ = history_.era();
  return prepare(fence, moment.store_clock + length_, version, moment.began + length_);
}

// Rises with the store's era and clock, also where the store forgot the row; two holders that read the same
// get different ones.
Epoch OrderLease::nextFence(absl::Duration store_clock) const {
  const uint64_t era = std::min(history_.era().value_or(0), kHighestEra);
  const auto units = static_cast<uint64_t>(std::max<int64_t>(store_clock / kFenceUnit, 0)) & kClockMask;
  const uint64_t by_store = (era << kClockBits) | units;
  const uint64_t above_known = (highest_fence_.value() >> kHolderBits) + 1;
  return Epoch((std::max(by_store, above_known) << kHolderBits) | holderBits(self_));
}

absl::Time OrderLease::firstOrder(const std::optional<LeaseRecord>& record, uint64_t version,
                                  const StoreMoment& moment, absl::Time holder_heard) const {
  absl::Time first = moment.ended;
  if (record) {
    first = std::max(first, firstOrderByRecord(*record, moment));
  }
  // It may have replaced the last holder's record: a write of an era that is over may be done late.
  const bool may_hide_holder = record ? record->era && record->era != history_.era() : version > 0;
  if (may_hide_holder) {
    first = std::max(first, moment.ended + longestWait());
  }
  const bool proves_holder = record && record->era && record->era == history_.era();
  if (!proves_holder) {
    first = std::max(first, history_.unbrokenSince() + longestWait());
  }
  const absl::Time end = record ? moment.ended + (record->until - moment.store_clock) : absl::InfinitePast();
  if (holder_heard > end + kNewsDelay) {
    first = std::max(first, holder_heard + longestWait());  // the record is not the last holder's
  }
  return first;
}

absl::Duration OrderLease::longestWait() const {
  return 2 * length_ - kOrderMargin;
}

absl::Time OrderLease::firstOrderByRecord(const LeaseRecord& record, const StoreMoment& moment) const {
  if (isOfThisProcess(record)) {
    return first_order_;
  }
  // An earlier life may have been waiting for the holder before it, since its take: for a forgotten one only
  // where the store can go back, which then tells eras.
  const bool tells_take = record.holder == self_ && (record.fence.value() & kHolderMask) == holderBits(self_);
  const absl::Duration longest_since_take = record.era ? longestWait() : length_ - kOrderMargin;
  const absl::Duration wait = tells_take ? clockOf(record.fence) + longest_since_take - moment.store_clock
                                         : record.until + length_ - kOrderMargin - moment.store_clock;
  return moment.ended + std::min(wait, longestWait());
}

bool OrderLease::isOfThisProcess(const LeaseRecord& record) const {
  return record.holder == self_ && first_own_fence_ != Epoch() && record.fence >= first_own_fence_;
}

LeaseWrite OrderLease::prepare(Epoch fence, absl::Duration until, uint64_t version, absl::Time valid_until) {
  written_ = {{self_, fence, until, era_}, version};
  highest_fence_ = std::max(highest_fence_, fence);
  written_valid_until_ = valid_until;
  return written_;
}

std::optional<LeaseWrite> OrderLease::renew(absl::Time now) {
  if (!holds(now)) {
    return std::nullopt;
  }
  // The store's clock is at least this much now, and at most later by the last call's time.
  const absl::Duration store_now = last_moment_.store_clock + (now - last_moment_.ended);
  return prepare(record_.fence, store_now + length_, version_,
                 now + length_ - (last_moment_.ended - last_moment_.began));
}

void OrderLease::onWritten(uint64_t version, const StoreMoment& moment) {
  held_ = true;
  record_ = written_.record;
  version_ = version;
  valid_until_ = written_valid_until_;
  last_moment_ = moment;
}

void OrderLease::onNotWritten() {
  held_ = false;
}

void OrderLease::onFenced(Epoch seen) {
  held_ = false;
  highest_fence_ = std::max(highest_fence_, seen);
}

// What the store forgot since the take is no proof any more: another may hold the lease.
bool OrderLease::holds(absl::Time now) const {
  return held_ && now < valid_until_ && history_.generation() == generation_;
}

bool OrderLease::mayOrder(absl::Time now) const {
  return holds(now) && now >= first_order_ && now < valid_until_ - kOrderMargin;
}

}  // namespace quincewick::forwarding
