#include "quota/permit_messages.h"

#include <algorithm>

#include "types/bounded_archive.h"

namespace quincewick::quota {
namespace {

constexpr int64_t kMaxRetryAfterMs = 60'000;

}  // namespace

template <class Archive>
void serialize(Archive& archive, PermitMessage& message) {
  auto kind = static_cast<uint8_t>(message.kind);
  auto retry_ms = static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(message.retry_after), 0, kMaxRetryAfterMs));
  archive(kind, message.number, message.server, message.max_rejections, message.renewal, message.share,
          retry_ms);
  message.kind = static_cast<PermitMessageKind>(kind);
  message.retry_after = absl::Milliseconds(retry_ms);
}

std::string encodePermitMessage(const PermitMessage& message) {
  return encodeArchive(message);
}

Result<PermitMessage> decodePermitMessage(std::string_view bytes) {
  Result<PermitMessage> decoded = decodeArchive<PermitMessage>(bytes);
  if (decoded.has_error()) {
    return decoded;
  }
  const PermitMessage& message = decoded.value();
  const bool is_known =
      message.kind >= PermitMessageKind::kRequest && message.kind <= PermitMessageKind::kInquire;
  const bool is_share = message.share > 0 && message.share <= 1;
  if (!is_known || !is_share) {
    return fail(ErrorCode::kInvalidArgument, "permit message has an unknown kind or an invalid share");
  }
  return decoded;
}

}  // namespace quincewick::quota
