// Streams that go on: within one answer, and those that a caller takes up again.
#include <algorithm>
#include <utility>

#include "gateway/exchange.h"
#include "gateway/stream_origin_exchange.h"

namespace quincewick::gateway {
namespace {

using forwarding::RepeatKind;

constexpr std::string_view kOriginUnknown = "stream_origin_unknown";
constexpr std::string_view kProvenByList = "list";
constexpr std::string_view kProvenByRecord = "record";
constexpr absl::Duration kUnknownOriginRetryAfter = absl::Seconds(1);
// Callers may give each attempt a deadline of its own.
constexpr absl::Duration kTakeUpMargin = absl::Seconds(10);
constexpr int kUnavailable = 503;

}  // namespace

// Whether the request is a stream that another server may go on with.
bool Exchange::mayGoOnElsewhere() const {
  return route_->kind == RepeatKind::kStream && route_->is_resumable;
}

// Whether the caller has a part of the stream from an earlier attempt.
bool Exchange::isTakenUp() const {
  return route_->kind == RepeatKind::kStream && (facts_.resumed_attempt || facts_.last_event_id);
}

void Exchange::findOrigin() {
  if (!facts_.resumed_attempt) {
    origin_proof_ = kProvenByList;
    onOriginFound(onlyListedOrigin());
    return;
  }
  origin_proof_ = kProvenByRecord;
  const auto is_found = std::make_shared<bool>(false);
  const uint64_t number = core_.stream_origins->find(streamKey(), [this, is_found](const auto& origin) {
    const auto self = shared_from_this();
    *is_found = true;
    pending_origin_.reset();
    onOriginFound(origin);
  });
  if (!*is_found) {
    pending_origin_ = number;
  }
}

void Exchange::cancelFindOrigin() {
  if (pending_origin_) {
    core_.stream_origins->cancel(*std::exchange(pending_origin_, std::nullopt));
  }
}

// The first attempt that brought an event names the stream.
forwarding::StreamKey Exchange::streamKey() const {
  return {tenant_ == nullptr ? TenantId() : tenant_->id, facts_.resumed_attempt.value_or(facts_.attempt_id)};
}

// For callers that don't name the attempt: where all listed servers of the route have one version, the stream
// is taken to have begun there.
std::optional<forwarding::StreamOrigin> Exchange::onlyListedOrigin() const {
  std::optional<SoftwareVersion> software;
  for (const forwarding::ServiceShare& share : route_->shares) {
    for (const auto& server : core_.directory.ofService(share.service)) {
      const std::optional<SoftwareVersion> listed = server->provenSoftware();
      if (!listed || (software && *software != *listed)) {
        return std::nullopt;
      }
      software = listed;
    }
  }
  return software ? std::optional(forwarding::StreamOrigin{service_, *software}) : std::nullopt;
}

// Without a proven origin the stream goes on nowhere: its events might not fit those that the caller has.
void Exchange::onOriginFound(const std::optional<forwarding::StreamOrigin>& origin) {
  const bool has_service =
      origin && std::any_of(route_->shares.begin(), route_->shares.end(),
                            [&origin](const auto& share) { return share.service == origin->service; });
  if (!has_service) {
    reject(kUnavailable, kOriginUnknown, kUnknownOriginRetryAfter);
    return;
  }
  service_ = origin->service;
  begun_software_ = origin->software;
  acceptForService();
}

// Binds the answer to the software version of its first event, and keeps the version for a later attempt of
// the caller.
void Exchange::noteStreamBegun() {
  if (std::exchange(is_stream_begun_, true)) {
    return;
  }
  if (!begun_software_) {
    begun_software_ = attempt_software_;
  }
  const bool is_recorded = begun_software_ && mayGoOnElsewhere() && !terms_;
  if (is_recorded) {
    const absl::Time deadline = began_ + facts_.deadline.value_or(absl::InfiniteDuration());
    const absl::Duration lifetime = deadline + kTakeUpMargin - reactor::steadyNow();
    core_.stream_origins->record({streamKey(), {service_, *begun_software_}}, lifetime);
  }
}

}  // namespace quincewick::gateway
