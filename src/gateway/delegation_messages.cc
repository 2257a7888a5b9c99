#include "gateway/delegation_messages.h"

#include <algorithm>

#include "types/bounded_archive.h"

namespace quincewick {

template <class Archive>
void serialize(Archive& archive, HeaderField& field) {
  archiveText(archive, field.name);
  archiveText(archive, field.value);
}

}  // namespace quincewick

namespace quincewick::gateway {
namespace {

constexpr uint8_t kVersion = 1;
constexpr uint8_t kVersionWithSoftware = 2;  // of requests; earlier builds reject it
constexpr uint32_t kMaxNameBytes = 255;
constexpr uint32_t kMaxBodyBytes = 4U << 20;
constexpr uint32_t kMaxFields = 1000;
constexpr uint32_t kNoDeadlineMs = UINT32_MAX;

template <class Archive>
void archiveVersion(Archive& archive) {
  uint8_t version = kVersion;
  archive(version);
  if (version != kVersion) {
    throw cereal::Exception("unknown message version");
  }
}

uint32_t millisecondsOf(absl::Duration duration) {
  const int64_t milliseconds = absl::ToInt64Milliseconds(duration);
  return static_cast<uint32_t>(std::clamp<int64_t>(milliseconds, 0, kNoDeadlineMs));
}

absl::Duration durationOf(uint32_t milliseconds) {
  return milliseconds == kNoDeadlineMs ? absl::InfiniteDuration() : absl::Milliseconds(milliseconds);
}

// All that earlier builds know of an outcome.
struct ArchivedOutcome {
  uint8_t outcome = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(outcome);
  }
};

struct ArchivedReport {
  uint8_t outcome = 0;
  SoftwareVersion software;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(outcome);
    archiveText(archive, software);
  }
};

Result<DelegationOutcome> outcomeFrom(uint8_t number) {
  const auto outcome = static_cast<DelegationOutcome>(number);
  if (outcome < DelegationOutcome::kServed || outcome > DelegationOutcome::kUnknown) {
    return fail(ErrorCode::kInvalidArgument, "delegation outcome is unknown");
  }
  return outcome;
}

template <class Archive>
void archiveSoftware(Archive& archive, DelegatedRequest& request) {
  bool is_bound = request.software.has_value();
  SoftwareVersion software = request.software.value_or(SoftwareVersion());
  archive(is_bound);
  archiveText(archive, software);
  request.asks_for_software = true;
  request.software = is_bound ? std::optional(software) : std::nullopt;
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, DelegationMessage& message) {
  archiveVersion(archive);
  auto kind = static_cast<uint8_t>(message.kind);
  std::string service = message.service.value();
  std::vector<std::string> referrals;
  for (const NodeId& id : message.referrals) {
    referrals.push_back(id.value());
  }
  auto count = static_cast<uint8_t>(std::min(referrals.size(), kMaxReferrals));
  archive(kind);
  archiveText(archive, service, kMaxNameBytes);
  archive(message.port, message.room, count);
  if (count > kMaxReferrals) {
    throw cereal::Exception("list is too long");
  }
  referrals.resize(count);
  for (std::string& id : referrals) {
    archiveText(archive, id, kMaxNameBytes);
  }
  message.kind = static_cast<DelegationMessageKind>(kind);
  message.service = forwarding::ServiceName(std::move(service));
  message.referrals.clear();
  for (const std::string& id : referrals) {
    message.referrals.emplace_back(id);
  }
}

template <class Archive>
void serialize(Archive& archive, DelegatedRequest& request) {
  uint8_t version = request.asks_for_software ? kVersionWithSoftware : kVersion;
  archive(version);
  if (version != kVersion && version != kVersionWithSoftware) {
    throw cereal::Exception("unknown message version");
  }
  std::string service = request.service.value();
  uint32_t elapsed_ms = millisecondsOf(request.elapsed);
  uint32_t left_ms = millisecondsOf(request.time_left);
  archiveText(archive, request.method, kMaxNameBytes);
  archiveText(archive, request.target);
  archiveList(archive, request.fields, kMaxFields);
  archiveText(archive, request.body, kMaxBodyBytes);
  archiveText(archive, service, kMaxNameBytes);
  archiveText(archive, request.last_event_id);
  archive(elapsed_ms, left_ms);
  request.service = forwarding::ServiceName(std::move(service));
  request.elapsed = durationOf(elapsed_ms);
  request.time_left = durationOf(left_ms);
  if (version == kVersionWithSoftware) {
    archiveSoftware(archive, request);
  }
}

std::string encodeDelegationMessage(const DelegationMessage& message) {
  return encodeArchive(message);
}

Result<DelegationMessage> decodeDelegationMessage(std::string_view bytes) {
  Result<DelegationMessage> decoded = decodeArchive<DelegationMessage>(bytes);
  if (decoded.has_error()) {
    return decoded;
  }
  const DelegationMessage& message = decoded.value();
  const bool is_known =
      message.kind >= DelegationMessageKind::kAsk && message.kind <= DelegationMessageKind::kRefusal;
  const bool is_offer_without_port = message.kind == DelegationMessageKind::kOffer && message.port == 0;
  if (!is_known || is_offer_without_port) {
    return fail(ErrorCode::kInvalidArgument, "delegation message has an unknown kind or no port");
  }
  return decoded;
}

std::string encodeDelegatedRequest(const DelegatedRequest& request) {
  return encodeArchive(request);
}

Result<DelegatedRequest> decodeDelegatedRequest(std::string_view bytes) {
  Result<DelegatedRequest> decoded = decodeArchive<DelegatedRequest>(bytes);
  if (decoded.has_error()) {
    return decoded;
  }
  if (decoded.value().method.empty() || decoded.value().target.empty()) {
    return fail(ErrorCode::kInvalidArgument, "delegated request has no method or target");
  }
  return decoded;
}

std::string encodeDelegationReport(const DelegationReport& report) {
  const auto outcome = static_cast<uint8_t>(report.outcome);
  return report.software ? encodeArchive(ArchivedReport{outcome, *report.software})
                         : encodeArchive(ArchivedOutcome{outcome});
}

Result<DelegationReport> decodeDelegationReport(std::string_view bytes) {
  const Result<ArchivedReport> with_software = decodeArchive<ArchivedReport>(bytes);
  if (with_software.has_value()) {
    BOOST_OUTCOME_TRY(outcome, outcomeFrom(with_software.value().outcome));
    return DelegationReport{outcome, with_software.value().software};
  }
  BOOST_OUTCOME_TRY(archived, decodeArchive<ArchivedOutcome>(bytes));
  BOOST_OUTCOME_TRY(outcome, outcomeFrom(archived.outcome));
  return DelegationReport{outcome, std::nullopt};
}

}  // namespace quincewick::gateway
