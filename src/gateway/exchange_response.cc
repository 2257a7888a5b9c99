// Handles servers' responses and forwards them to the caller.
#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

#include "gateway/crash_detector.h"
#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

using forwarding::AttemptOutcome;
using forwarding::RepeatKind;
using forwarding::ServerDirectory;

constexpr size_t kMaxBufferedBytes = 262144;  // a longer response is streamed
constexpr size_t kMaxUnsentBytes = 262144;    // to a slow caller, before reading pauses
constexpr size_t kMaxEventBytes = size_t{1} << 20;
constexpr size_t kMaxDiscardedBytes = size_t{1} << 20;  // of a response that isn't forwarded
// A stream of fewer pieces rarely overlaps with events that cause pauses, such as the prefill of a long
// prompt.
constexpr uint32_t kMinPiecesForPauses = 4;
constexpr double kRefusalWeight = 0.5;
constexpr double kFailureWeight = 0.5;
constexpr double kBrokenWeight = 1.0;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;
constexpr absl::string_view kEventStreamType = "text/event-stream";

bool isSuccess(const HttpHead& head) {
  return head.status >= kFirstSuccess && head.status < kFirstRedirect;
}

}  // namespace

Exchange::Verdict Exchange::judge(const HttpHead& head, const forwarding::ResponseFacts& facts) const {
  if (facts.is_not_run || facts.is_other_server) {
    return Verdict::kRefused;
  }
  if (isSuccess(head) && !facts.is_signed) {
    return Verdict::kBroken;
  }
  if (is_head_forwarded_ && !isEventStream()) {
    return Verdict::kFailed;  // only events may follow those that the caller has
  }
  if (forwarding::promisesNotRun(head.status)) {
    return Verdict::kFailed;  // not confirmed by the server, so it can't be forwarded as "not run"
  }
  if (head.status >= kFirstServerError && route_->mayRunAgain() &&
      ledger_.mayRetryAfter(AttemptOutcome::kFailed)) {
    return Verdict::kFailed;
  }
  return Verdict::kForward;
}

void Exchange::onResponseHead(const HttpHead& head, const forwarding::ResponseFacts& facts,
                              reactor::EndOfBody end) {
  const absl::Time now = reactor::steadyNow();
  response_head_ = head;
  response_end_ = end;
  discarded_bytes_ = 0;
  verdict_ = delegate_ ? judgeDelegated(head, facts) : judge(head, facts);
  const std::string* const length = findField(head.fields, "Content-Length");
  response_length_ = length == nullptr ? std::nullopt : parseUnsigned(*length);
  if (delegate_) {
    return;  // what the server says of itself is the delegate's to note
  }
  if (verdict_ != Verdict::kRefused && !forwarding::promisesNotRun(head.status)) {
    endUnaccepted(quota::PermitEnd::kAccepted);
  }
  if (facts.weights_version && !facts_.model.empty()) {
    if (ServerDirectory::noteVersion(*server_, facts_.model, *facts.weights_version)) {
      core_.unreported_versions.push_back({server_->identity_hash, facts_.model, *facts.weights_version});
    }
  }
  if (facts.is_other_server && facts.server_id && *facts.server_id != server_->entry.id) {
    ServerDirectory::noteAddressReassigned(*server_, now);
  }
}

void Exchange::onResponseBody(std::string bytes) {
  const auto self = shared_from_this();
  if (verdict_ != Verdict::kForward) {
    keepOrDiscard(bytes);
    return;
  }
  if (isEventStream()) {
    forwardEvents(bytes);
    if (events_.remainder().size() > kMaxEventBytes) {
      refuseResponse("event_too_long");
      onResponseBroken();
      return;
    }
  } else {
    bufferOrForward(std::move(bytes));
  }
  if (sink_ != nullptr && attempt_ != nullptr && sink_->unsentBytes() > kMaxUnsentBytes) {
    attempt_->pause();
  }
}

// The verdict stands, whatever follows: a failure that is too long to be kept isn't forwarded at all.
void Exchange::keepOrDiscard(std::string_view bytes) {
  const bool is_kept = verdict_ == Verdict::kFailed && mayForwardFailure() && is_buffering_;
  if (is_kept && buffered_body_.size() + bytes.size() <= kMaxBufferedBytes) {
    buffered_body_ += bytes;
    return;
  }
  is_buffering_ = false;
  discard(std::exchange(buffered_body_, std::string()).size() + bytes.size());
}

// Whether the caller may get the current response in place of an answer if no further attempt succeeds.
bool Exchange::mayForwardFailure() const {
  return !is_head_forwarded_ && !forwarding::promisesNotRun(response_head_.status);
}

void Exchange::discard(size_t bytes) {
  discarded_bytes_ += bytes;
  if (discarded_bytes_ > kMaxDiscardedBytes) {
    refuseResponse("discarded_too_long");
    onResponseEnd();
  }
}

void Exchange::refuseResponse(std::string_view cause) {
  core_.noteRefusedResponse(*server_, facts_.attempt_id, cause);
  attempt_->cancel();
}

// A response without a type is taken for what its route gives.
bool Exchange::isEventStream() const {
  const std::string* const type = findField(response_head_.fields, "Content-Type");
  return route_->kind == RepeatKind::kStream && isSuccess(response_head_) &&
         (type == nullptr || absl::StartsWithIgnoreCase(*type, kEventStreamType));
}

bool Exchange::isBrokenOff() const {
  if (!isEventStream() || head_.method == "HEAD") {
    return false;
  }
  const bool has_proof = response_end_ == reactor::EndOfBody::kProven || events_.hadEvent();
  return events_.isInsideEvent() || !has_proof;
}

// Forwards only complete events, each once: an event that a server truncated never reaches the caller.
void Exchange::forwardEvents(std::string_view bytes) {
  std::string out;
  for (const forwarding::StreamEvent& event : events_.take(bytes)) {
    if (event.id && last_event_ && *event.id <= *last_event_) {
      continue;
    }
    if (event.id) {
      last_event_ = event.id;
    }
    if (event.has_fields) {
      is_position_known_ = event.id.has_value();
      noteStreamBegun();
    }
    out += event.bytes;
  }
  if (out.empty()) {
    return;
  }
  onPromptRead();
  recordPiece();
  deliverEvents(out);
}

// Prefill is done, and the request has a slot.
void Exchange::onPromptRead() {
  server_->own.prefill_tokens -= std::min(server_->own.prefill_tokens, counted_.prefill_tokens);
  counted_.prefill_tokens = 0;
  if (reservation_ && !is_prompt_read_) {
    core_.occupancy->notePrefillDone(*reservation_);
  }
  if (engine_ && !delegate_ && !is_prompt_read_) {
    noteBegun();
  }
  is_prompt_read_ = true;
  if (counted_.running == 0) {
    ++server_->own.running;
    counted_.running = 1;
    if (core_.settings.placement.reserve_slots) {
      reserveStarted();
    }
  }
}

void Exchange::recordPiece() {
  const absl::Time now = reactor::steadyNow();
  if (first_piece_ == absl::InfiniteFuture()) {
    first_piece_ = now;
    core_.metrics.observeFirstPiece(now - began_);
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_piece_);
  }
  last_piece_ = now;
  if (attempt_last_piece_ != absl::InfinitePast()) {
    attempt_longest_pause_ = std::max(attempt_longest_pause_, now - attempt_last_piece_);
  }
  attempt_last_piece_ = now;
  if (++attempt_pieces_ == kMinPiecesForPauses && engine_) {
    core_.placement.notePauses(facts_.output_tokens);
  }
}

// Longest gap of the current attempt, including the one still open, since an engine that went silent never
// closes its gap. Zero if the attempt had too few pieces to characterize the engine.
absl::Duration Exchange::longestPauseNow() const {
  if (attempt_pieces_ < kMinPiecesForPauses) {
    return absl::ZeroDuration();
  }
  return std::max(attempt_longest_pause_, reactor::steadyNow() - attempt_last_piece_);
}

void Exchange::forwardHead() {
  if (is_head_forwarded_) {
    return;
  }
  is_head_forwarded_ = true;
  if (sink_ == nullptr) {
    return;
  }
  HeaderFields fields;
  const std::string* const connection = findField(response_head_.fields, "Connection");
  for (const HeaderField& field : response_head_.fields) {
    if (!isHopByHop(field.name, connection == nullptr ? "" : *connection) &&
        findField({field}, "Content-Length") == nullptr &&
        findField({field}, kDelegationOutcomeField) == nullptr) {
      fields.push_back(field);
    }
  }
  if (terms_) {
    const std::optional<SoftwareVersion> none;
    fields.push_back(core_.delegations->sealReport(
        *terms_, {DelegationOutcome::kServed, terms_->asks_for_software ? attempt_software_ : none}));
  }
  sink_->sendHead(response_head_.status, response_head_.reason, std::move(fields), framingForCaller());
}

// A stream is sent in chunks whatever its server's framing, so that the caller sees if it is truncated.
BodyFraming Exchange::framingForCaller() const {
  if (isEventStream()) {
    return {};
  }
  if (response_end_ == reactor::EndOfBody::kInferred) {
    return {.length = std::nullopt, .ends_at_close = true};
  }
  const bool is_length_known = is_buffering_ && head_.method != "HEAD";
  return {.length = is_length_known ? std::optional<uint64_t>(buffered_body_.size()) : response_length_};
}

void Exchange::bufferOrForward(std::string bytes) {
  if (is_buffering_) {
    buffered_body_ += bytes;
    if (buffered_body_.size() <= kMaxBufferedBytes) {
      return;
    }
    is_buffering_ = false;
    bytes = std::exchange(buffered_body_, std::string());
    forwardHead();
    is_position_known_ = false;
  }
  if (sink_ != nullptr) {
    sink_->sendBody(bytes);
  }
}

// The server may have broken off: its connection's end is all that is known.
void Exchange::noteInferredEnd() {
  core_.metrics.countInferredEnd();
  core_.log.event("end_inferred", reactor::steadyNow())
      .with("request", facts_.attempt_id)
      .with("server", server_->entry.id)
      .with("status", response_head_.status)
      .with("unfinished_bytes", static_cast<int64_t>(events_.remainder().size()));
}

void Exchange::onResponseEnd() {
  const auto self = shared_from_this();
  const absl::Time now = reactor::steadyNow();
  if (response_end_ == reactor::EndOfBody::kInferred) {
    noteInferredEnd();
  }
  switch (verdict_) {
    case Verdict::kRefused:
      if (delegate_) {
        endDelegatedRefusal();
        return;
      }
      endUnaccepted(quota::PermitEnd::kMaybeRejected);
      ServerDirectory::noteFailure(*server_, kRefusalWeight, now);
      endAttempt(AttemptOutcome::kRefused);
      return;
    case Verdict::kBroken:
      noteRolloutEnd(RolloutExchange::AttemptOutcome::kFailed);
      ServerDirectory::noteFailure(*server_, kBrokenWeight, now);
      endAttempt(AttemptOutcome::kUnknown);
      return;
    case Verdict::kFailed:
      noteRolloutEnd(RolloutExchange::AttemptOutcome::kFailed);
      ServerDirectory::noteFailure(*server_, kFailureWeight, now);
      endAttempt(AttemptOutcome::kFailed);
      return;
    case Verdict::kForward:
      break;
  }
  if (isBrokenOff()) {
    onResponseBroken();
    return;
  }
  recordServerResult(now);
  if (engine_ && first_piece_ != absl::InfiniteFuture()) {
    core_.placement.noteServed(now - first_piece_);
    core_.engine_waits.noteRun(now - first_piece_);
  }
  finishServed();
}

void Exchange::finishServed() {
  if (!held_events_.empty()) {
    is_end_held_ = true;
    return;
  }
  noteServed();
  forwardBufferedBody();
  complete("answered");
}

void Exchange::noteServed() {
  if (!isSuccess(response_head_)) {
    return;
  }
  if (response_end_ == reactor::EndOfBody::kProven) {
    core_.crash_detector->noteServed(service_, subject_);
  } else if (!delegate_) {
    core_.crash_detector->onEndInferred(server_, subject_);
  }
}

// A 5xx response that is forwarded because the request may not run again still counts as a failure. Counted
// as a fast response, it attracted all further requests to its server.
void Exchange::recordServerResult(absl::Time now) {
  if (response_head_.status >= kFirstServerError) {
    noteRolloutEnd(RolloutExchange::AttemptOutcome::kFailed);
    ServerDirectory::noteFailure(*server_, kFailureWeight, now);
  } else {
    noteRolloutEnd(RolloutExchange::AttemptOutcome::kAnswered);
    ServerDirectory::noteSuccess(*server_, now - attempt_began_);
  }
}

void Exchange::forwardBufferedBody() {
  forwardHead();
  if (sink_ == nullptr) {
    return;
  }
  // What remains of a stream that wasn't broken off are comments and empty lines.
  const std::string& remaining = isEventStream() ? events_.remainder() : buffered_body_;
  if (!remaining.empty()) {
    sink_->sendBody(remaining);
  }
}

void Exchange::onResponseBroken() {
  const auto self = shared_from_this();
  noteRolloutEnd(RolloutExchange::AttemptOutcome::kFailed);
  if (delegate_) {
    // After the head it may have been the server that broke off.
    if (response_head_.status == 0) {
      noteDelegateFailed();
    }
  } else {
    ServerDirectory::noteFailure(*server_, kBrokenWeight, reactor::steadyNow());
    core_.crash_detector->onAttemptBroken(server_, subject_);
  }
  endAttempt(AttemptOutcome::kUnknown);
}

}  // namespace quincewick::gateway
