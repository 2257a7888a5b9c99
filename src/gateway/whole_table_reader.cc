#include "gateway/whole_table_reader.h"

#include <utility>

namespace quincewick::gateway {
namespace {

constexpr uint32_t kRowsAtOnce = 500;  // the most that the store gives

}  // namespace

void WholeTableReader::read(const std::string& table, Done done, absl::Duration page_limit) {
  ++turn_;
  readPage(table, "", page_limit, {}, std::move(done));
}

void WholeTableReader::readPage(const std::string& name, const std::string& from, absl::Duration limit,
                                WholeTable table, Done done) {
  store_.read(name, from, kRowsAtOnce, limit,
              [this, turn = turn_, name, limit, is_first = from.empty(), table = std::move(table),
               done = std::move(done)](StoreStatus status, const forwarding::StoreRows& answer) mutable {
                if (turn != turn_) {
                  return;
                }
                if (status != StoreStatus::kDone) {
                  done(status, {});
                  return;
                }
                table.version = is_first ? answer.version : table.version;
                table.clock = answer.clock;
                table.rows.insert(table.rows.end(), answer.rows.begin(), answer.rows.end());
                if (answer.has_more && !answer.rows.empty()) {
                  const std::string next = answer.rows.back().key + '\x01';
                  readPage(name, next, limit, std::move(table), std::move(done));
                  return;
                }
                done(status, std::move(table));
              });
}

}  // namespace quincewick::gateway
