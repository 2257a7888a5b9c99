#include "gateway/part_message.h"

#include <algorithm>
#include <utility>

#include "peer/envelope.h"
#include "types/bounded_archive.h"

namespace quincewick::forwarding {
namespace {

constexpr uint32_t kMaxListed = 128;
constexpr int64_t kMaxAgeMs = int64_t{24} * 3'600'000;

template <class Archive>
void archiveAge(Archive& archive, absl::Duration& age) {
  auto age_ms = static_cast<uint32_t>(std::clamp<int64_t>(absl::ToInt64Milliseconds(age), 0, kMaxAgeMs));
  archive(age_ms);
  age = absl::Milliseconds(age_ms);
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, PartCarrier& carrier) {
  archive(carrier.request);
  archiveList(archive, carrier.parts, kMaxSharedParts);
}

template <class Archive>
void serialize(Archive& archive, PartCrash& crash) {
  archive(crash.incarnation, crash.service);
  archiveAge(archive, crash.ago);
  archiveList(archive, crash.in_flight, kMaxListed);
}

template <class Archive>
void serialize(Archive& archive, AccusedParts& accused) {
  archiveAge(archive, accused.first_crash);
  archiveList(archive, accused.parts, kMaxSharedParts);
}

template <class Archive>
void serialize(Archive& archive, ServedPart& served) {
  archive(served.part);
  archiveAge(archive, served.ago);
}

template <class Archive>
void serialize(Archive& archive, QuarantinedParts& quarantined) {
  archive(quarantined.service, quarantined.was_served);
  archiveList(archive, quarantined.trials, kMaxListed);
  archiveAge(archive, quarantined.first_crash);
  archiveAge(archive, quarantined.last_crash);
  archiveList(archive, quarantined.parts, kMaxSharedParts);
}

}  // namespace quincewick::forwarding

namespace quincewick::gateway {
namespace {

constexpr uint8_t kVersion = 1;
constexpr uint32_t kMaxListed = 128;
// Bytes for the requests of one report of a crash, beside its frame and the message's.
constexpr size_t kMaxCrashBytes = peer::kMaximumDatagramPayload - 64;
constexpr size_t kRequestBytes = 12;  // without its parts
constexpr size_t kPartBytes = 8;

}  // namespace

template <class Archive>
void serialize(Archive& archive, PartMessage& message) {
  uint8_t version = kVersion;
  archive(version);
  if (version != kVersion) {
    throw cereal::Exception("unknown message version");
  }
  archiveList(archive, message.crashes, kMaxListed);
  archiveList(archive, message.accused, kMaxListed);
  archiveList(archive, message.served, kMaxListed);
  archiveList(archive, message.quarantined, kMaxListed);
}

std::string encodePartMessage(const PartMessage& message) {
  return encodeArchive(message);
}

size_t encodedSize(const PartMessage& message) {
  return encodePartMessage(message).size();
}

Result<PartMessage> decodePartMessage(std::string_view bytes) {
  return decodeArchive<PartMessage>(bytes);
}

std::vector<forwarding::PartCrash> splitForDatagrams(const forwarding::PartCrash& crash) {
  std::vector<forwarding::PartCrash> reports;
  size_t used = kMaxCrashBytes;
  for (const forwarding::PartCarrier& carrier : crash.in_flight) {
    const size_t size = kRequestBytes + kPartBytes * carrier.parts.size();
    if (used + size > kMaxCrashBytes) {
      reports.push_back({crash.incarnation, crash.service, {}, crash.ago});
      used = 0;
    }
    used += size;
    reports.back().in_flight.push_back(carrier);
  }
  return reports;
}

}  // namespace quincewick::gateway
