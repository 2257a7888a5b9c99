// Accepted changes as they are logged in the store, kept for audit, and sent between nodes.
#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

#include "configuration/policy_objects.h"
#include "types/bounded_archive.h"
#include "types/cereal_time.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::configuration {

// One accepted change: who changed what, under which operation, and which version it made.
struct ChangeRecord {
  ConfigurationVersion version;
  OperationId operation;  // chosen by the operator's tool; a repeat of it is recognised
  std::string author;     // the operator's name
  std::string comment;
  absl::Time accepted_at;  // by the clock of the node that accepted it
  std::vector<ObjectChange> changes;

  friend bool operator==(const ChangeRecord&, const ChangeRecord&) = default;
};

template <class Archive>
void serialize(Archive& archive, ObjectChange& change) {
  archiveText(archive, change.key);
  bool has_text = change.text.has_value();
  archive(has_text);
  if (has_text) {
    if (!change.text) {
      change.text.emplace();
    }
    archiveText(archive, *change.text);
  }
}

template <class Archive>
void serialize(Archive& archive, ChangeRecord& record) {
  archive(record.version);
  archiveText(archive, record.operation);
  archiveText(archive, record.author);
  archiveText(archive, record.comment);
  archive(record.accepted_at);
  archiveList(archive, record.changes);
}

}  // namespace quincewick::configuration
