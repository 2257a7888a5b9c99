#include "configuration/store_format.h"

#include <absl/strings/str_format.h>

namespace quincewick::configuration {

template <class Archive>
void serialize(Archive& archive, StoreHead& head) {
  archive(head.version);
  archiveText(archive, head.operation);
}

template <class Archive>
void serialize(Archive& archive, SnapshotPointer& pointer) {
  archive(pointer.version, pointer.previous);
}

template <class Archive>
void serialize(Archive& archive, AuditSegment& segment) {
  archiveList(archive, segment.records);
}

std::string logKey(ConfigurationVersion version) {
  return absl::StrFormat("%s%020d", kLogPrefix, version.value());
}

std::string snapshotName(ConfigurationVersion version) {
  return absl::StrFormat("configuration/snapshots/%020d", version.value());
}

std::string auditName(ConfigurationVersion first, ConfigurationVersion last) {
  return absl::StrFormat("configuration/audit/%020d-%020d", first.value(), last.value());
}

std::string encodeHead(const StoreHead& head) {
  return encodeArchive(head);
}

Result<StoreHead> decodeHead(const std::string& bytes) {
  return decodeArchive<StoreHead>(bytes);
}

std::string encodeSnapshotPointer(const SnapshotPointer& pointer) {
  return encodeArchive(pointer);
}

Result<SnapshotPointer> decodeSnapshotPointer(const std::string& bytes) {
  return decodeArchive<SnapshotPointer>(bytes);
}

std::string encodeRecord(const ChangeRecord& record) {
  return encodeArchive(record);
}

Result<ChangeRecord> decodeRecord(const std::string& bytes) {
  return decodeArchive<ChangeRecord>(bytes);
}

std::string encodeAuditSegment(const AuditSegment& segment) {
  return encodeArchive(segment);
}

Result<AuditSegment> decodeAuditSegment(const std::string& bytes) {
  return decodeArchive<AuditSegment>(bytes);
}

TableTransaction acceptTransaction(const ChangeRecord& record, uint64_t head_item_version) {
  TableTransaction transaction;
  transaction.conditions.push_back({kHeadKey, head_item_version});
  transaction.writes.push_back({kHeadKey, encodeHead({record.version, record.operation})});
  transaction.writes.push_back({logKey(record.version), encodeRecord(record)});
  return transaction;
}

const TableItem* findItem(const std::vector<TableItem>& items, const std::string& key) {
  for (const TableItem& item : items) {
    if (item.key == key) {
      return &item;
    }
  }
  return nullptr;
}

}  // namespace quincewick::configuration
