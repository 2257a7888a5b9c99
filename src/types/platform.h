// Requests to the platform's services and their results, as decision logic sees them. Adapters carry them
// out.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "types/back_end.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick {

// Version of an absent item.
inline constexpr uint64_t kAbsentItemVersion = 0;

// An item of the transactional table. `version` rises with each write of the key.
struct TableItem {
  std::string key;
  std::string value;
  uint64_t version = kAbsentItemVersion;

  friend bool operator==(const TableItem&, const TableItem&) = default;
};

// Holds when the key's version is the given one.
struct TableCondition {
  std::string key;
  uint64_t version = kAbsentItemVersion;
};

// Sets the key's value, or deletes the key when there is none.
struct TableWrite {
  std::string key;
  std::optional<std::string> value;
};

// All writes take effect at once if all conditions hold; otherwise none does. The service knows no operation
// ids: a writer that must recognise its own write after a lost response puts an id into a value and reads it
// back.
struct TableTransaction {
  std::vector<TableCondition> conditions;
  std::vector<TableWrite> writes;
};

// Reads single keys; absent ones come back with kAbsentItemVersion.
struct TableRead {
  std::vector<std::string> keys;
};

// Reads up to `limit` items whose keys start with `prefix` and are greater than `after`, in key order.
struct TableScan {
  std::string prefix;
  std::string after;
  uint32_t limit = 1000;
};

struct ObjectPut {
  std::string name;
  std::string bytes;
};

struct ObjectGet {
  std::string name;
};

struct ObjectDelete {
  std::string name;
};

struct ObjectList {
  std::string prefix;
};

// Reads the list of live and leaving machines. The list lags behind the truth by seconds.
struct MachineListRead {};

using PlatformRequest = std::variant<TableTransaction, TableRead, TableScan, ObjectPut, ObjectGet,
                                     ObjectDelete, ObjectList, MachineListRead>;

// The transaction took effect. Holds the versions of the written keys, in the order of the writes (0:
// deleted).
struct TableCommitted {
  std::vector<uint64_t> versions;
};

// A condition did not hold and nothing was written. Holds the current items that the conditions name.
struct TableConflict {
  std::vector<TableItem> items;
};

struct TableItems {
  std::vector<TableItem> items;
};

struct ObjectStored {};

struct ObjectContent {
  std::string bytes;
};

struct ObjectNames {
  std::vector<std::string> names;
};

enum class MachineKind : uint8_t { kNode, kEngine, kActionServer, kCacheStore };

struct Machine {
  std::string id;
  MachineKind kind = MachineKind::kNode;
  ZoneName zone;
  RegionName region;
  Address address;  // nodes: of their peer port
  Labels labels;
  bool leaving = false;
};

struct MachineList {
  std::vector<Machine> machines;
};

// The code of an Error says what is known: kResourceExhausted (rate-limited, not run), kUnavailable (not
// run), kOutcomeUnknown (it may have taken effect), kNotFound (no such object).
using PlatformResult = std::variant<TableCommitted, TableConflict, TableItems, ObjectStored, ObjectContent,
                                    ObjectNames, MachineList, Error>;

// Matches a result to its request; unique within one module instance.
using PlatformCallId = StrongNumber<struct PlatformCallIdTag>;

// An action of decision logic: run `request` and return the result as a PlatformReply.
struct PlatformCall {
  PlatformCallId id;
  PlatformRequest request;
};

// The result of a PlatformCall. It may arrive late, and after that of a newer call.
struct PlatformReply {
  PlatformCallId id;
  PlatformResult result;
};

}  // namespace quincewick
