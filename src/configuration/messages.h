// What nodes tell each other about the configuration, and the codec (cereal, portable binary).
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "configuration/change_record.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::configuration {

// The greatest encoded message that is sent as a datagram; greater ones need the channel for bulk.
inline constexpr size_t kMaximumDatagram = 1080;
// The bytes of one snapshot chunk.
inline constexpr size_t kSnapshotChunkSize = size_t{256} << 10;
// The greatest snapshot taken from a peer.
inline constexpr uint64_t kMaximumSnapshotSize = uint64_t{16} << 20;
// The bytes of change records in one batch, but for a single greater one.
inline constexpr size_t kChangeBatchSize = size_t{256} << 10;
// An age that stands for "never".
inline constexpr uint32_t kNeverConfirmed = 0xffffffff;

// Tells which version the sender holds. Who is behind asks for more; who is ahead of an unconfirmed sender
// answers with its own.
struct Announcement {
  ConfigurationVersion version;
  // Milliseconds since the store, directly or through others, confirmed that the sender was up to date;
  // kNeverConfirmed when the sender only runs on what it was started with.
  uint32_t confirmed_age = kNeverConfirmed;
  bool wants_answer = false;  // a node that starts asks for everybody's version
};

// Asks for all changes after a version.
struct ChangesRequest {
  ConfigurationVersion after;
};

// Changes without gaps, in order.
struct ChangeBatch {
  std::vector<ChangeRecord> records;
};

// Asks for a part of a whole document. Version 0: of whichever the receiver holds.
struct SnapshotRequest {
  ConfigurationVersion version;
  uint64_t offset = 0;
};

// A part of an encoded document of `total` bytes.
struct SnapshotChunk {
  ConfigurationVersion version;
  uint64_t offset = 0;
  uint64_t total = 0;
  std::string bytes;
};

using PeerMessage = std::variant<Announcement, ChangesRequest, ChangeBatch, SnapshotRequest, SnapshotChunk>;

std::string encodePeerMessage(const PeerMessage& message);

// Decodes untrusted bytes; kInvalidArgument where they are no message.
Result<PeerMessage> decodePeerMessage(const std::string& bytes);

}  // namespace quincewick::configuration
