// How the configuration is kept in the platform's table and object store.
//
//   table   configuration/head               StoreHead; changes with each accepted change
//           configuration/log/VERSION        the ChangeRecord of that version; written with the head at once
//           configuration/snapshot           SnapshotPointer to the newest snapshot
//   objects configuration/snapshots/VERSION  an encoded Document
//           configuration/audit/FROM-TO      the change records that were taken out of the log, in order
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "configuration/change_record.h"
#include "types/error.h"
#include "types/platform.h"

namespace quincewick::configuration {

inline constexpr const char* kHeadKey = "configuration/head";
inline constexpr const char* kSnapshotKey = "configuration/snapshot";
inline constexpr const char* kLogPrefix = "configuration/log/";

struct StoreHead {
  ConfigurationVersion version;
  OperationId operation;  // that made it
};

struct SnapshotPointer {
  ConfigurationVersion version;
  ConfigurationVersion previous;  // of the snapshot before, which is deleted when this one is replaced
};

// Change records that were taken out of the log.
struct AuditSegment {
  std::vector<ChangeRecord> records;
};

// The keys sort as the versions do.
std::string logKey(ConfigurationVersion version);
std::string snapshotName(ConfigurationVersion version);
std::string auditName(ConfigurationVersion first, ConfigurationVersion last);

std::string encodeHead(const StoreHead& head);
Result<StoreHead> decodeHead(const std::string& bytes);
std::string encodeSnapshotPointer(const SnapshotPointer& pointer);
Result<SnapshotPointer> decodeSnapshotPointer(const std::string& bytes);
std::string encodeRecord(const ChangeRecord& record);
Result<ChangeRecord> decodeRecord(const std::string& bytes);
std::string encodeAuditSegment(const AuditSegment& segment);
Result<AuditSegment> decodeAuditSegment(const std::string& bytes);

// The transaction that accepts `record` on top of the head with the given item version. It takes effect at
// most once, however often it is sent.
TableTransaction acceptTransaction(const ChangeRecord& record, uint64_t head_item_version);

// The item with this key, or null.
const TableItem* findItem(const std::vector<TableItem>& items, const std::string& key);

}  // namespace quincewick::configuration
