#include "quota/quota_messages.h"

#include <algorithm>
#include <cmath>

#include "types/bounded_archive.h"

namespace quincewick::quota {
namespace {

constexpr uint32_t kMaxNameBytes = 256;
constexpr int64_t kMaxRetryAfterMs = 3'600'000;

}  // namespace

template <class Archive>
void serialize(Archive& archive, QuotaMessage& message) {
  auto kind = static_cast<uint8_t>(message.kind);
  std::string name = message.name.value();
  auto retry = static_cast<uint32_t>(
      std::clamp<int64_t>(absl::ToInt64Milliseconds(message.retry_after), 0, kMaxRetryAfterMs));
  archive(kind, message.number);
  archiveText(archive, name, kMaxNameBytes);
  archive(message.cost, message.is_first_candidate, retry);
  message.kind = static_cast<QuotaMessageKind>(kind);
  message.name = LimitName(std::move(name));
  message.retry_after = absl::Milliseconds(retry);
}

std::string encodeQuotaMessage(const QuotaMessage& message) {
  return encodeArchive(message);
}

Result<QuotaMessage> decodeQuotaMessage(std::string_view bytes) {
  Result<QuotaMessage> decoded = decodeArchive<QuotaMessage>(bytes);
  if (decoded.has_error()) {
    return decoded;
  }
  const QuotaMessage& message = decoded.value();
  const bool is_known =
      message.kind >= QuotaMessageKind::kRequestGrant && message.kind <= QuotaMessageKind::kNotOwner;
  if (!is_known || !std::isfinite(message.cost) || message.cost < 0) {
    return fail(ErrorCode::kInvalidArgument, "quota message has an unknown kind or an invalid cost");
  }
  return decoded;
}

}  // namespace quincewick::quota
