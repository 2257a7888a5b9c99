#include "gateway/quarantine_record.h"

#include <utility>

namespace quincewick::gateway {
namespace {

// Limits the table, so that callers' requests can't fill the store.
constexpr uint32_t kMaxRows = 256;
// The key holds all information. A std::string, because g++ 12 warns of an overlap in assigned literals.
const std::string kValue = "blamed";
constexpr absl::Duration kRetryDelay = absl::Seconds(2);

}  // namespace

void QuarantineRecord::write(const forwarding::RequestIdentity& identity) {
  if (known_.size() >= kMaxRows && !known_.contains(identity)) {
    core_.log.event("crash_not_recorded", reactor::steadyNow())
        .with("same_as", forwarding::printIdentity(identity))
        .with("why", "the table is full");
    return;
  }
  known_.insert(identity);
  forwarding::StoreRow row;
  row.table = kTable;
  row.key = forwarding::printIdentity(identity);
  row.value = kValue;
  store_.write(row, 0, [this, identity](StoreStatus status, const forwarding::StoreRows& /*rows*/) {
    const bool is_settled = status == StoreStatus::kDone || status == StoreStatus::kConflict;
    if (!is_settled) {
      core_.timers.schedule(reactor::steadyNow() + kRetryDelay, [this, identity] { write(identity); });
    }
  });
}

void QuarantineRecord::read(Found found) {
  store_.read(kTable, "", kMaxRows,
              [this, found = std::move(found)](StoreStatus status, const forwarding::StoreRows& response) {
                if (status != StoreStatus::kDone) {
                  retryRead(found);
                  return;
                }
                for (const forwarding::StoreRow& row : response.rows) {
                  const auto identity = forwarding::parseIdentity(row.key);
                  if (identity) {
                    known_.insert(*identity);
                    found(*identity);
                  } else {
                    refused_rows_.note(row.key, "the key is not a request's hash");
                  }
                }
              });
}

void QuarantineRecord::retryRead(Found found) {
  core_.timers.schedule(reactor::steadyNow() + kRetryDelay,
                        [this, found = std::move(found)] { read(found); });
}

}  // namespace quincewick::gateway
