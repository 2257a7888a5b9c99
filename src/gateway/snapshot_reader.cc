#include "gateway/snapshot_reader.h"

#include <utility>

namespace quincewick::gateway {
namespace {

constexpr uint32_t kRowsPerPage = 500;  // the store's maximum

}  // namespace

forwarding::TableUpdate updateFrom(TableSnapshot snapshot, absl::Time began) {
  forwarding::TableUpdate update;
  update.rows = std::move(snapshot.rows);
  update.is_whole = true;
  update.version = snapshot.version;
  update.confirmed = began;
  update.as_of = began;
  return update;
}

void SnapshotReader::read(const std::string& table, Done done, absl::Duration page_limit) {
  ++generation_;
  readPage(table, "", page_limit, {}, std::move(done));
}

void SnapshotReader::readPage(const std::string& name, const std::string& from, absl::Duration limit,
                              TableSnapshot table, Done done) {
  store_.read(name, from, kRowsPerPage, limit,
              [this, generation = generation_, name, limit, is_first = from.empty(), table = std::move(table),
               done = std::move(done)](StoreStatus status, const forwarding::StoreRows& response) mutable {
                if (generation != generation_) {
                  return;
                }
                const uint64_t restores = core_.store_history.restores();
                restores_ = is_first ? restores : restores_;
                if (status != StoreStatus::kDone || restores != restores_) {
                  done(status == StoreStatus::kDone ? StoreStatus::kUnknown : status, {});
                  return;
                }
                table.version = is_first ? response.version : table.version;
                table.clock = response.clock;
                table.rows.insert(table.rows.end(), response.rows.begin(), response.rows.end());
                if (response.has_more && !response.rows.empty()) {
                  const std::string next = response.rows.back().key + '\x01';
                  readPage(name, next, limit, std::move(table), std::move(done));
                  return;
                }
                done(status, std::move(table));
              });
}

}  // namespace quincewick::gateway
