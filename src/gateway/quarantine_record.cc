#include "gateway/quarantine_record.h"

#include <utility>

namespace quincewick::gateway {
namespace {

// Limits the table, so that callers' requests can't fill the store.
constexpr uint32_t kMaxRows = 256;
constexpr size_t kMaxKeyBytes = 200;
constexpr absl::Duration kRetryDelay = absl::Seconds(2);

}  // namespace

void QuarantineRecord::write(const std::string& key, const std::string& value) {
  const bool is_full = rows_.size() >= kMaxRows && !rows_.contains(key);
  if (is_full || key.size() > kMaxKeyBytes) {
    core_.log.event("crash_not_recorded", reactor::steadyNow())
        .with("same_as", key)
        .with("why", is_full ? "the table is full" : "the key is too long");
    return;
  }
  rows_[key] = value;
  forwarding::StoreRow row;
  row.table = table_;
  row.key = key;
  row.value = value;
  store_.writeAll({{row, std::nullopt}}, [this, key](StoreStatus status,
                                                     const forwarding::StoreRows& /*rows*/) {
    if (status != StoreStatus::kDone) {
      core_.timers.schedule(reactor::steadyNow() + kRetryDelay, [this, key] { write(key, rows_.at(key)); });
    }
  });
}

void QuarantineRecord::read(Found found) {
  store_.read(table_, "", kMaxRows,
              [this, found = std::move(found)](StoreStatus status, const forwarding::StoreRows& response) {
                if (status != StoreStatus::kDone) {
                  retryRead(found);
                  return;
                }
                for (const forwarding::StoreRow& row : response.rows) {
                  if (found(row.key, row.value)) {
                    rows_.emplace(row.key, row.value);
                  } else {
                    refused_rows_.note(row.key, "it names nothing that can be quarantined");
                  }
                }
              });
}

void QuarantineRecord::retryRead(Found found) {
  core_.timers.schedule(reactor::steadyNow() + kRetryDelay,
                        [this, found = std::move(found)] { read(found); });
}

}  // namespace quincewick::gateway
