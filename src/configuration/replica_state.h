// The document of a node with its recent history. Versions only rise.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "configuration/document.h"
#include "configuration/messages.h"

namespace quincewick::configuration {

// The changes kept in memory for peers that are a little behind, and for going back.
inline constexpr size_t kHistoryLength = 512;

class ReplicaState {
 public:
  const Document& document() const { return document_; }
  ConfigurationVersion version() const { return document_.version(); }

  // Takes a record if it is the next one. Returns whether it was.
  bool take(const ChangeRecord& record);
  // Takes a whole document if it is newer. Returns whether it was.
  bool takeSnapshot(Document document);

  // The records after a version, up to kChangeBatchSize bytes; empty where the history does not reach back so
  // far.
  std::vector<ChangeRecord> recordsAfter(ConfigurationVersion version) const;
  // All records held, oldest first.
  const std::deque<ChangeRecord>& history() const { return history_; }
  // The changes that bring back the objects as they were at an earlier version. Fails with kNotFound where
  // the history does not reach back so far.
  Result<std::vector<ObjectChange>> changesBackTo(ConfigurationVersion version) const;

  // Notes that at `time` the store, directly or through others, held nothing newer than this.
  void confirm(absl::Time time);
  bool isConfirmed() const { return confirmed_at_ != absl::InfinitePast(); }
  absl::Time confirmedAt() const { return confirmed_at_; }
  // What to tell peers.
  Announcement announcement(absl::Time now) const;

 private:
  Document document_;
  std::deque<ChangeRecord> history_;            // the last one made the document's version
  std::deque<std::vector<ObjectChange>> undo_;  // for each record of history_
  absl::Time confirmed_at_ = absl::InfinitePast();
};

}  // namespace quincewick::configuration
