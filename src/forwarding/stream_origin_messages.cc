#include "forwarding/stream_origin_messages.h"

#include <algorithm>

#include "types/bounded_archive.h"

namespace quincewick::forwarding {
namespace {

constexpr uint32_t kMaxNameBytes = 255;

template <class Archive, class Name>
void archiveName(Archive& archive, Name& name) {
  std::string text = name.value();
  archiveText(archive, text, kMaxNameBytes);
  name = Name(std::move(text));
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, StreamRecord& record) {
  archiveName(archive, record.key.tenant);
  archiveText(archive, record.key.attempt_id, kMaxNameBytes);
  archiveName(archive, record.origin.service);
  archiveName(archive, record.origin.software);
}

template <class Archive>
void serialize(Archive& archive, StreamOriginMessage& message) {
  auto kind = static_cast<uint8_t>(message.kind);
  auto lifetime_ms =
      static_cast<uint32_t>(std::clamp<int64_t>(absl::ToInt64Milliseconds(message.lifetime), 0, UINT32_MAX));
  archive(kind, message.number, message.record, lifetime_ms);
  message.kind = static_cast<StreamOriginMessageKind>(kind);
  message.lifetime = absl::Milliseconds(lifetime_ms);
}

std::string encodeStreamOriginMessage(const StreamOriginMessage& message) {
  return encodeArchive(message);
}

Result<StreamOriginMessage> decodeStreamOriginMessage(std::string_view bytes) {
  Result<StreamOriginMessage> decoded = decodeArchive<StreamOriginMessage>(bytes);
  if (decoded.has_error()) {
    return decoded;
  }
  const StreamOriginMessageKind kind = decoded.value().kind;
  if (kind < StreamOriginMessageKind::kRecord || kind > StreamOriginMessageKind::kContradictory) {
    return fail(ErrorCode::kInvalidArgument, "stream origin message has an unknown kind");
  }
  return decoded;
}

std::string encodeStreamRecord(const StreamRecord& record) {
  return encodeArchive(record);
}

Result<StreamRecord> decodeStreamRecord(std::string_view bytes) {
  return decodeArchive<StreamRecord>(bytes);
}

}  // namespace quincewick::forwarding
