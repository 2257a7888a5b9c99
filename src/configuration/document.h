// The accepted configuration at one version, as a node holds it.
#pragma once

#include <absl/container/btree_map.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "configuration/change_record.h"
#include "configuration/policy.h"
#include "configuration/policy_objects.h"
#include "types/error.h"

namespace quincewick::configuration {

// The state of one object, and who brought it there. A deleted object is remembered, so that a change that
// was made without knowing of the deletion is seen as a conflict.
struct ObjectState {
  std::optional<std::string> text;  // nothing: deleted
  ConfigurationVersion changed_in;
  std::string changed_by;

  friend bool operator==(const ObjectState&, const ObjectState&) = default;
};

// An earlier change stands in the way of a proposed one.
struct ChangeConflict {
  ObjectKey key;
  ConfigurationVersion version;  // of the change that won
  std::string author;            // of the change that won

  friend bool operator==(const ChangeConflict&, const ChangeConflict&) = default;
};

// The operations remembered, so that a repeat of one is recognised; older ones are forgotten.
inline constexpr size_t kRememberedOperations = 1024;
// The deletions remembered; a change based on a version before the oldest forgotten one is a conflict.
inline constexpr size_t kRememberedDeletions = 1024;

// A value: the same records give the same document on every node.
class Document {
 public:
  ConfigurationVersion version() const { return version_; }
  const Policy& policy() const { return policy_; }
  const absl::btree_map<ObjectKey, ObjectState>& objects() const { return objects_; }

  // Takes the record of the next version. Anything but version() + 1 is a broken invariant of the caller.
  void append(const ChangeRecord& record);

  // The version that an operation made, if it is remembered.
  std::optional<ConfigurationVersion> versionOf(const OperationId& operation) const;

  // The first change that was made after `base` to an object that `changes` would change.
  std::optional<ChangeConflict> findConflict(const std::vector<ObjectChange>& changes,
                                             ConfigurationVersion base) const;

  // The changes that would change something.
  std::vector<ObjectChange> effectiveChanges(std::vector<ObjectChange> changes) const;

  // All of it as bytes, and back. Equal documents have equal bytes.
  std::string encode() const;
  static Result<Document> decode(const std::string& bytes);

  friend bool operator==(const Document&, const Document&) = default;

  // For cereal.
  template <class Archive>
  void serialize(Archive& archive);

 private:
  void rememberOperation(const ChangeRecord& record);
  void rememberDeletion(const ObjectKey& key);

  ConfigurationVersion version_;
  absl::btree_map<ObjectKey, ObjectState> objects_;
  std::deque<OperationId> operation_order_;  // the last one made version_
  absl::btree_map<OperationId, ConfigurationVersion> operations_;
  std::deque<ObjectKey> deletions_;          // oldest first; may name objects that live again
  ConfigurationVersion forgotten_deletion_;  // the greatest version of a deletion no longer remembered
  Policy policy_;                            // follows from objects_
};

}  // namespace quincewick::configuration
