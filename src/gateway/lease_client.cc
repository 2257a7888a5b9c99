#include "gateway/lease_client.h"

#include <algorithm>
#include <utility>

namespace quincewick::gateway {
namespace {

constexpr const char* kTable = "gateway-lease";
constexpr absl::Duration kRenewInterval = absl::Milliseconds(700);
constexpr absl::Duration kAcquireInterval = absl::Milliseconds(500);

}  // namespace

LeaseClient::LeaseClient(Core& core, std::string row, std::function<void()> on_renewed)
    : core_(core),
      store_(core),
      row_(std::move(row)),
      on_renewed_(std::move(on_renewed)),
      lease_(core.settings.gateway_id, core.settings.bounds.order_lease, core.store_history),
      refused_rows_(core, kTable) {}

void LeaseClient::maintain(bool is_needed, absl::Duration turn, absl::Time holder_last_heard,
                           absl::Time now) {
  if (!is_needed) {
    needed_since_ = absl::InfiniteFuture();
    return;
  }
  needed_since_ = std::min(needed_since_, now);
  if (lease_.holds(now)) {
    renew(now);
  } else if (now >= std::max(std::max(needed_since_, holder_last_heard) + turn, next_attempt_)) {
    next_attempt_ = now + kAcquireInterval;
    acquire(holder_last_heard, now);
  }
}

void LeaseClient::acquire(absl::Time holder_last_heard, absl::Time now) {
  if (std::exchange(is_call_pending_, true)) {
    return;
  }
  store_.read(kTable, row_, 1,
              [this, holder_last_heard, now](StoreStatus status, const forwarding::StoreRows& response) {
                is_call_pending_ = false;
                if (status != StoreStatus::kDone) {
                  needed_since_ = reactor::steadyNow();
                  return;
                }
                const bool row_exists = !response.rows.empty() && response.rows.front().key == row_;
                const auto record =
                    row_exists ? forwarding::parseLeaseRecord(response.rows.front().value) : std::nullopt;
                if (row_exists && !record) {
                  refused_rows_.note(row_, "the value is not a lease with holder, fencing token and expiry");
                }
                last_read_ = record;
                const uint64_t version = row_exists ? response.rows.front().version : 0;
                const auto next = lease_.onRead(record, version, {response.clock, now, reactor::steadyNow()},
                                                holder_last_heard);
                if (next) {
                  write(*next);
                } else {
                  needed_since_ = reactor::steadyNow();  // another gateway holds it
                }
              });
}

void LeaseClient::renew(absl::Time now) {
  if (now < next_renewal_ || is_call_pending_) {
    return;
  }
  if (const auto next = lease_.renew(now)) {
    write(*next);
  }
}

void LeaseClient::write(const forwarding::LeaseWrite& write) {
  is_call_pending_ = true;
  const absl::Time began = reactor::steadyNow();
  next_renewal_ = began + kRenewInterval;
  forwarding::StoreRow row;
  row.table = kTable;
  row.key = row_;
  row.value = forwarding::printLeaseRecord(write.record);
  const bool was_held = lease_.holds(began);
  store_.write(row, write.expected_version,
               [this, began, was_held](StoreStatus status, const forwarding::StoreRows& response) {
                 is_call_pending_ = false;
                 handleWriteResult(status, response, began, was_held);
               });
}

void LeaseClient::handleWriteResult(StoreStatus status, const forwarding::StoreRows& response,
                                    absl::Time began, bool was_held) {
  const absl::Time now = reactor::steadyNow();
  if (status == StoreStatus::kDone) {
    lease_.onWritten(response.version, {response.clock, began, now});
  } else {
    lease_.onWriteFailed();
  }
  // A completed write does not count if the store was rolled back in the meantime.
  const bool is_held = lease_.holds(now);
  if (is_held) {
    on_renewed_();
  }
  if (is_held && !was_held) {
    logAcquired(response.clock, now);
  } else if (was_held && !is_held) {
    core_.log.event("lease_lost", now)
        .with("row", row_)
        .with("why", static_cast<int64_t>(status))
        .with("fence", static_cast<int64_t>(lease_.fence().value()))
        .with("row_version", static_cast<int64_t>(lease_.version()))
        .with("store_version", static_cast<int64_t>(response.version));
  }
}

void LeaseClient::logAcquired(absl::Duration store_clock, absl::Time now) {
  auto line = core_.log.event("lease_taken", now);
  line.with("row", row_)
      .with("fence", static_cast<int64_t>(lease_.fence().value()))
      .with("row_version", static_cast<int64_t>(lease_.version()))
      .with("store_ms", absl::ToInt64Milliseconds(store_clock))
      .with("era", static_cast<int64_t>(core_.store_history.era().value_or(0)));
  if (last_read_) {
    line.with("from", last_read_->holder.value())
        .with("from_fence", static_cast<int64_t>(last_read_->fence.value()))
        .with("from_until_ms", absl::ToInt64Milliseconds(last_read_->until));
  }
}

}  // namespace quincewick::gateway
