#include "emulator/table_model.h"

#include <algorithm>

namespace quincewick::emulator {

TableItem TableModel::itemOf(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return TableItem{key, "", kAbsentItemVersion};
  }
  return TableItem{key, found->second.value, found->second.version};
}

bool TableModel::withinLimits(const TableTransaction& transaction) const {
  if (transaction.conditions.size() + transaction.writes.size() > limits_.transaction_items) {
    return false;
  }
  return std::all_of(transaction.writes.begin(), transaction.writes.end(), [&](const TableWrite& write) {
    return !write.value || write.value->size() <= limits_.value_bytes;
  });
}

PlatformResult TableModel::transact(const TableTransaction& transaction) {
  if (!withinLimits(transaction)) {
    return Error{ErrorCode::kInvalidArgument, "the transaction has too many items or too long a value"};
  }
  TableConflict conflict;
  bool holds = true;
  for (const TableCondition& condition : transaction.conditions) {
    conflict.items.push_back(itemOf(condition.key));
    holds = holds && conflict.items.back().version == condition.version;
  }
  if (!holds) {
    return conflict;
  }
  TableCommitted committed;
  const uint64_t version = transaction.writes.empty() ? last_version_ : ++last_version_;
  for (const TableWrite& write : transaction.writes) {
    if (!write.value) {
      items_.erase(write.key);
      committed.versions.push_back(kAbsentItemVersion);
      continue;
    }
    items_.insert_or_assign(write.key, Stored{*write.value, version});
    committed.versions.push_back(version);
  }
  return committed;
}

PlatformResult TableModel::read(const TableRead& read) const {
  if (read.keys.size() > limits_.read_items) {
    return Error{ErrorCode::kInvalidArgument, "the read names too many keys"};
  }
  TableItems result;
  for (const std::string& key : read.keys) {
    result.items.push_back(itemOf(key));
  }
  return result;
}

PlatformResult TableModel::scan(const TableScan& scan) const {
  TableItems result;
  const size_t limit = std::min(scan.limit, limits_.read_items);
  const bool from_prefix = scan.after < scan.prefix;
  auto item = from_prefix ? items_.lower_bound(scan.prefix) : items_.upper_bound(scan.after);
  for (; item != items_.end() && result.items.size() < limit; ++item) {
    if (item->first.compare(0, scan.prefix.size(), scan.prefix) != 0) {
      break;
    }
    result.items.push_back(TableItem{item->first, item->second.value, item->second.version});
  }
  return result;
}

}  // namespace quincewick::emulator
