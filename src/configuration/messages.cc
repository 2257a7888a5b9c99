#include "configuration/messages.h"

#include <cereal/types/variant.hpp>

namespace quincewick::configuration {

template <class Archive>
void serialize(Archive& archive, Announcement& message) {
  archive(message.version, message.confirmed_age, message.wants_answer);
}

template <class Archive>
void serialize(Archive& archive, ChangesRequest& message) {
  archive(message.after);
}

template <class Archive>
void serialize(Archive& archive, ChangeBatch& message) {
  archiveList(archive, message.records);
}

template <class Archive>
void serialize(Archive& archive, SnapshotRequest& message) {
  archive(message.version, message.offset);
}

template <class Archive>
void serialize(Archive& archive, SnapshotChunk& message) {
  archive(message.version, message.offset, message.total);
  archiveText(archive, message.bytes);
}

std::string encodePeerMessage(const PeerMessage& message) {
  return encodeArchive(message);
}

Result<PeerMessage> decodePeerMessage(const std::string& bytes) {
  return decodeArchive<PeerMessage>(bytes);
}

}  // namespace quincewick::configuration
