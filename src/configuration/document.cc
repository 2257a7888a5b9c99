#include "configuration/document.h"

#include <cassert>
#include <utility>

namespace quincewick::configuration {
namespace {

// One entry of the map of objects, for cereal.
struct ObjectEntry {
  ObjectKey key;
  ObjectState state;

  template <class Archive>
  void serialize(Archive& archive) {
    archiveText(archive, key);
    bool is_live = state.text.has_value();
    archive(is_live);
    if (is_live) {
      if (!state.text) {
        state.text.emplace();
      }
      archiveText(archive, *state.text);
    }
    archive(state.changed_in);
    archiveText(archive, state.changed_by);
  }
};

struct OperationEntry {
  OperationId operation;
  ConfigurationVersion version;

  template <class Archive>
  void serialize(Archive& archive) {
    archiveText(archive, operation);
    archive(version);
  }
};

struct NameEntry {
  ObjectKey key;

  template <class Archive>
  void serialize(Archive& archive) {
    archiveText(archive, key);
  }
};

}  // namespace

void Document::append(const ChangeRecord& record) {
  assert(record.version == version_.next());
  version_ = record.version;
  for (const ObjectChange& change : record.changes) {
    objects_[change.key] = {change.text, record.version, record.author};
    if (!change.text) {
      rememberDeletion(change.key);
    }
  }
  rememberOperation(record);
  // What this node's software can't read stays as it was; the accepting node has checked the rest.
  applyChanges(record.changes, policy_);
}

void Document::rememberOperation(const ChangeRecord& record) {
  operations_[record.operation] = record.version;
  operation_order_.push_back(record.operation);
  if (operation_order_.size() > kRememberedOperations) {
    operations_.erase(operation_order_.front());
    operation_order_.pop_front();
  }
}

void Document::rememberDeletion(const ObjectKey& key) {
  deletions_.push_back(key);
  if (deletions_.size() <= kRememberedDeletions) {
    return;
  }
  const auto oldest = objects_.find(deletions_.front());
  deletions_.pop_front();
  if (oldest != objects_.end() && !oldest->second.text) {
    forgotten_deletion_ = std::max(forgotten_deletion_, oldest->second.changed_in);
    objects_.erase(oldest);
  }
}

std::optional<ConfigurationVersion> Document::versionOf(const OperationId& operation) const {
  const auto found = operations_.find(operation);
  if (found == operations_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::optional<ChangeConflict> Document::findConflict(const std::vector<ObjectChange>& changes,
                                                     ConfigurationVersion base) const {
  for (const ObjectChange& change : changes) {
    const auto object = objects_.find(change.key);
    if (object == objects_.end()) {
      if (base < forgotten_deletion_) {
        return ChangeConflict{change.key, forgotten_deletion_, ""};
      }
    } else if (object->second.changed_in > base) {
      return ChangeConflict{change.key, object->second.changed_in, object->second.changed_by};
    }
  }
  return std::nullopt;
}

std::vector<ObjectChange> Document::effectiveChanges(std::vector<ObjectChange> changes) const {
  std::vector<ObjectChange> effective;
  for (ObjectChange& change : changes) {
    const auto object = objects_.find(change.key);
    const std::optional<std::string> present = object == objects_.end() ? std::nullopt : object->second.text;
    if (present != change.text) {
      effective.push_back(std::move(change));
    }
  }
  return effective;
}

template <class Archive>
void Document::serialize(Archive& archive) {
  std::vector<ObjectEntry> objects;
  std::vector<OperationEntry> operations;
  std::vector<NameEntry> deletions;
  if constexpr (!Archive::is_loading::value) {
    for (const auto& [key, state] : objects_) {
      objects.push_back({key, state});
    }
    for (const OperationId& operation : operation_order_) {
      operations.push_back({operation, operations_.at(operation)});
    }
    for (const ObjectKey& key : deletions_) {
      deletions.push_back({key});
    }
  }
  archive(version_, forgotten_deletion_);
  archiveList(archive, objects);
  archiveList(archive, operations);
  archiveList(archive, deletions);
  if constexpr (Archive::is_loading::value) {
    std::vector<ObjectChange> changes;
    for (ObjectEntry& entry : objects) {
      if (entry.state.text) {
        changes.push_back({entry.key, entry.state.text});
      }
      objects_.insert_or_assign(std::move(entry.key), std::move(entry.state));
    }
    for (OperationEntry& entry : operations) {
      operation_order_.push_back(entry.operation);
      operations_.insert_or_assign(std::move(entry.operation), entry.version);
    }
    for (NameEntry& entry : deletions) {
      deletions_.push_back(std::move(entry.key));
    }
    applyChanges(changes, policy_);
  }
}

std::string Document::encode() const {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  // Saving only reads; cereal's one function for both directions can't say so.
  const_cast<Document*>(this)->serialize(archive);
  return out.str();
}

Result<Document> Document::decode(const std::string& bytes) {
  return decodeArchive<Document>(bytes);
}

}  // namespace quincewick::configuration
