#include "forwarding/order_lease.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

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

constexpr char kEraSeparator = '@';  // between the holder's id and the era

uint64_t holderBits(const NodeId& holder) {
  return XXH3_64bits(holder.value().data(), holder.value().size()) & kHolderMask;
}

// The store's clock when the lease was taken under this fence, or at most so much later.
absl::Duration clockOf(Epoch fence) {
  const uint64_t units = (fence.value() >> kHolderBits) & kClockMask;
  return static_cast<int64_t>(units + 1) * kFenceUnit;
}

}  // namespace

std::string printLeaseRecord(const LeaseRecord& record) {
  std::string holder = record.holder.value();
  if (record.era) {
    absl::StrAppend(&holder, std::string(1, kEraSeparator), *record.era);
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
  uint64_t era = 0;
  const size_t separator = parts[0].rfind(kEraSeparator);
  if (separator != std::string::npos && absl::SimpleAtoi(parts[0].substr(separator + 1), &era)) {
    record.holder = NodeId(parts[0].substr(0, separator));
    record.era = era;
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
  // After a moment at which another may have renewed its lease for the last time.
  const absl::Duration longest = 2 * length_ - kOrderMargin;
  const bool is_proof = record && record->era == history_.era();
  absl::Time first = moment.ended;
  if (record) {
    first = std::max(first, firstOrderByRecord(*record, moment));
  } else if (version > 0) {
    first = moment.ended + longest;  // a record that can't be read may be a holder's
  }
  if (!is_proof || !history_.era()) {
    first = std::max(first, history_.unbrokenSince() + longest);
  }
  const absl::Time end = record ? moment.ended + (record->until - moment.store_clock) : absl::InfinitePast();
  if (holder_heard > end + kNewsDelay) {
    first = std::max(first, holder_heard + longest);  // the record is not the last holder's
  }
  return first;
}

absl::Time OrderLease::firstOrderByRecord(const LeaseRecord& record, const StoreMoment& moment) const {
  const absl::Duration longest = 2 * length_ - kOrderMargin;
  if (record.holder != self_) {
    return moment.ended + std::min(record.until + length_ - kOrderMargin - moment.store_clock, longest);
  }
  if (isOfThisProcess(record)) {
    return first_order_;
  }
  // An earlier life's, which may have been waiting for the holder before it.
  return moment.ended + std::min(clockOf(record.fence) + longest - moment.store_clock, longest);
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

// What the store forgot since the take is no proof any more: another may hold the lease.
bool OrderLease::holds(absl::Time now) const {
  return held_ && now < valid_until_ && history_.generation() == generation_;
}

bool OrderLease::mayOrder(absl::Time now) const {
  return holds(now) && now >= first_order_ && now < valid_until_ - kOrderMargin;
}

}  // namespace quincewick::forwarding
