#include "gateway/whole_table_reader.h"

#include <utility>

namespace quincewick::gateway {
namespace {

constexpr uint32_t kRowsAtOnce = 500;  // the most that the store gives

}  // namespace

void WholeTableReader::read(const std::string& table, Done done) {
  ++turn_;
  readPage(table, "", {}, std::move(done));
}

void WholeTableReader::readPage(const std::string& name, const std::string& from, WholeTable table,
                                Done done) {
  store_.read(name, from, kRowsAtOnce,
              [this, turn = turn_, name, is_first = from.empty(), table = std::move(table),
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
                  readPage(name, next, std::move(table), std::move(done));
                  return;
                }
                done(status, std::move(table));
              });
}

}  // namespace quincewick::gateway
