#include "gateway/occupancy_messages.h"

#include <cmath>

#include "types/bounded_archive.h"

namespace quincewick::gateway {
namespace {

// Above any real request or engine; larger values could overflow sums.
constexpr uint64_t kMaxTokens = 1'000'000'000;

}  // namespace

std::string encodeOccupancyMessage(const OccupancyMessage& message) {
  return encodeArchive(message);
}

Result<OccupancyMessage> decodeOccupancyMessage(std::string_view bytes) {
  Result<OccupancyMessage> decoded = decodeArchive<OccupancyMessage>(bytes);
  if (decoded.has_error()) {
    return decoded;
  }
  const OccupancyMessage& message = decoded.value();
  const bool is_known =
      message.kind >= OccupancyMessageKind::kReserve && message.kind <= OccupancyMessageKind::kRelease;
  if (!is_known || std::isnan(message.max_load_seconds) || message.prefill_tokens > kMaxTokens) {
    return fail(ErrorCode::kInvalidArgument, "occupancy message has an unknown kind or an invalid size");
  }
  const bool is_response =
      message.kind == OccupancyMessageKind::kReserved || message.kind == OccupancyMessageKind::kFull;
  if (is_response) {
    BOOST_OUTCOME_TRY(capabilityFrom(message.capability));
  }
  return decoded;
}

}  // namespace quincewick::gateway
