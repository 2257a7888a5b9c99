#include "gateway/lease_keeper.h"

#include <algorithm>
#include <utility>

namespace quincewick::gateway {
namespace {

constexpr const char* kTable = "gateway-lease";
constexpr absl::Duration kRenewal = absl::Milliseconds(700);
constexpr absl::Duration kPursuitPause = absl::Milliseconds(500);

}  // namespace

LeaseKeeper::LeaseKeeper(Core& core, std::string row, std::function<void()> renewed)
    : core_(core),
      store_(core),
      row_(std::move(row)),
      renewed_(std::move(renewed)),
      lease_(core.settings.gateway_id, core.settings.bounds.order_lease, core.store_history),
      refused_rows_(core, kTable) {}

void LeaseKeeper::pursue(bool is_needed, absl::Duration turn, absl::Time holder_heard, absl::Time now) {
  if (!is_needed) {
    needed_since_ = absl::InfiniteFuture();
    return;
  }
  needed_since_ = std::min(needed_since_, now);
  if (lease_.holds(now)) {
    renew(now);
  } else if (now >= std::max(std::max(needed_since_, holder_heard) + turn, next_pursuit_)) {
    next_pursuit_ = now + kPursuitPause;
    take(holder_heard, now);
  }
}

void LeaseKeeper::take(absl::Time holder_heard, absl::Time now) {
  if (std::exchange(call_under_way_, true)) {
    return;
  }
  store_.read(
      kTable, row_, 1, [this, holder_heard, now](StoreStatus status, const forwarding::StoreRows& answer) {
        call_under_way_ = false;
        if (status != StoreStatus::kDone) {
          needed_since_ = reactor::steadyNow();
          return;
        }
        const bool is_there = !answer.rows.empty() && answer.rows.front().key == row_;
        const auto record = is_there ? forwarding::parseLeaseRecord(answer.rows.front().value) : std::nullopt;
        if (is_there && !record) {
          refused_rows_.note(row_, "no holder, fence and end of a lease");
        }
        found_ = record;
        const uint64_t version = is_there ? answer.rows.front().version : 0;
        const auto next =
            lease_.onRead(record, version, {answer.clock, now, reactor::steadyNow()}, holder_heard);
        if (next) {
          write(*next);
        } else {
          needed_since_ = reactor::steadyNow();  // another holds it
        }
      });
}

void LeaseKeeper::renew(absl::Time now) {
  if (now < next_renewal_ || call_under_way_) {
    return;
  }
  if (const auto next = lease_.renew(now)) {
    write(*next);
  }
}

void LeaseKeeper::write(const forwarding::LeaseWrite& write) {
  call_under_way_ = true;
  const absl::Time began = reactor::steadyNow();
  next_renewal_ = began + kRenewal;
  forwarding::StoreRow row;
  row.table = kTable;
  row.key = row_;
  row.value = forwarding::printLeaseRecord(write.record);
  const bool was_held = lease_.holds(began);
  store_.write(row, write.expected_version,
               [this, began, was_held](StoreStatus status, const forwarding::StoreRows& answer) {
                 call_under_way_ = false;
                 takeWritten(status, answer, began, was_held);
               });
}

void LeaseKeeper::takeWritten(StoreStatus status, const forwarding::StoreRows& answer, absl::Time began,
                              bool was_held) {
  const absl::Time now = reactor::steadyNow();
  if (status == StoreStatus::kDone) {
    lease_.onWritten(answer.version, {answer.clock, began, now});
  } else {
    lease_.onWriteFailed();
  }
  // A write that was done counts for nothing where the store went back meanwhile.
  const bool is_held = lease_.holds(now);
  if (is_held) {
    renewed_();
  }
  if (is_held && !was_held) {
    logTaken(answer.clock, now);
  } else if (was_held && !is_held) {
    core_.log.event("lease_lost", now)
        .with("row", row_)
        .with("why", static_cast<int64_t>(status))
        .with("fence", static_cast<int64_t>(lease_.fence().value()))
        .with("row_version", static_cast<int64_t>(lease_.version()))
        .with("store_version", static_cast<int64_t>(answer.version));
  }
}

void LeaseKeeper::logTaken(absl::Duration store_clock, absl::Time now) {
  auto line = core_.log.event("lease_taken", now);
  line.with("row", row_)
      .with("fence", static_cast<int64_t>(lease_.fence().value()))
      .with("row_version", static_cast<int64_t>(lease_.version()))
      .with("store_ms", absl::ToInt64Milliseconds(store_clock))
      .with("era", static_cast<int64_t>(core_.store_history.era().value_or(0)));
  if (found_) {
    line.with("from", found_->holder.value())
        .with("from_fence", static_cast<int64_t>(found_->fence.value()))
        .with("from_until_ms", absl::ToInt64Milliseconds(found_->until));
  }
}

}  // namespace quincewick::gateway
