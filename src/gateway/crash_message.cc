#include "gateway/crash_message.h"

#include <algorithm>

#include "types/bounded_archive.h"

namespace quincewick::forwarding {

namespace {

constexpr uint32_t kMaxRequests = 64;  // in one crash
constexpr int64_t kMaxAgeMs = 3'600'000;

}  // namespace

template <class Archive>
void serialize(Archive& archive, ServerCrash& end) {
  auto ago_ms = static_cast<uint32_t>(std::clamp<int64_t>(absl::ToInt64Milliseconds(end.ago), 0, kMaxAgeMs));
  archive(end.incarnation, end.service, ago_ms);
  archiveList(archive, end.in_flight, kMaxRequests);
  end.ago = absl::Milliseconds(ago_ms);
}

template <class Archive>
void serialize(Archive& archive, QuarantinedRequest& quarantined) {
  archive(quarantined.identity, quarantined.had_trial);
}

}  // namespace quincewick::forwarding

namespace quincewick::gateway {
namespace {

constexpr uint8_t kVersion = 1;
constexpr uint32_t kMaxListed = 64;

}  // namespace

template <class Archive>
void serialize(Archive& archive, CrashMessage& message) {
  uint8_t version = kVersion;
  archive(version);
  if (version != kVersion) {
    throw cereal::Exception("unknown message version");
  }
  archiveList(archive, message.crashes, kMaxListed);
  archiveList(archive, message.cleared, kMaxListed);
  archiveList(archive, message.quarantined, kMaxListed);
}

std::string encodeCrashMessage(const CrashMessage& message) {
  return encodeArchive(message);
}

Result<CrashMessage> decodeCrashMessage(std::string_view bytes) {
  return decodeArchive<CrashMessage>(bytes);
}

}  // namespace quincewick::gateway
