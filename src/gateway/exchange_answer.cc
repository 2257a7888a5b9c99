// The answers of servers as they come, and what of them goes on to the caller.
#include <algorithm>
#include <utility>

#include "gateway/crash_watch.h"
#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

using forwarding::AttemptEnd;
using forwarding::RepeatKind;
using forwarding::ServerDirectory;

constexpr size_t kKeptAnswerBytes = 262144;    // a longer answer is passed on as it comes
constexpr size_t kUnsentBytesAtMost = 262144;  // of a slow caller
// A stream of fewer pieces seldom meets the moments that make pauses, such as the reading of a long prompt.
constexpr uint32_t kPiecesThatTell = 4;
constexpr double kRefusalWeight = 0.5;
constexpr double kFailureWeight = 0.5;
constexpr double kBrokenWeight = 1.0;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

}  // namespace

Exchange::Verdict Exchange::judge(const HttpHead& head, const forwarding::AnswerFacts& facts) const {
  if (facts.is_not_run || facts.is_other_server) {
    return Verdict::kRefused;
  }
  const bool is_success = head.status >= kFirstSuccess && head.status < kFirstRedirect;
  if (is_success && !facts.is_signed) {
    return Verdict::kBroken;
  }
  if (forwarding::promisesNotRun(head.status)) {
    return Verdict::kFailed;  // without the server's word the promise can't be passed on
  }
  if (head.status >= kFirstServerError && ledger_.execution() != Execution::kNotRun &&
      route_->mayRunAgain()) {
    return Verdict::kFailed;
  }
  return Verdict::kPassOn;
}

void Exchange::onAnswerHead(const HttpHead& head, const forwarding::AnswerFacts& facts) {
  const absl::Time now = reactor::steadyNow();
  answer_ = head;
  verdict_ = judge(head, facts);
  const std::string* const length = findField(head.fields, "Content-Length");
  answer_length_ = length == nullptr ? std::nullopt : parseWhole(*length);
  if (facts.weights_version && !facts_.model.empty()) {
    if (ServerDirectory::noteVersion(*server_, facts_.model, *facts.weights_version)) {
      core_.new_versions.push_back({server_->identity_hash, facts_.model, *facts.weights_version});
    }
  }
  if (facts.is_other_server && facts.server_id && *facts.server_id != server_->entry.id) {
    ServerDirectory::noteReplaced(*server_, now);
  }
}

void Exchange::onAnswerBody(std::string bytes) {
  const auto self = shared_from_this();
  if (verdict_ == Verdict::kRefused || verdict_ == Verdict::kBroken) {
    return;
  }
  const bool is_success = answer_.status >= kFirstSuccess && answer_.status < kFirstRedirect;
  if (route_->kind == RepeatKind::kStream && is_success) {
    passEvents(bytes);
  } else {
    keepOrPass(std::move(bytes));
  }
  if (sink_ != nullptr && attempt_ != nullptr && sink_->unsentBytes() > kUnsentBytesAtMost) {
    attempt_->pause();
  }
}

// Only whole events go on, each once: what a server broke off in the middle is not seen by the caller.
void Exchange::passEvents(std::string_view bytes) {
  std::string out;
  for (const forwarding::StreamEvent& event : events_.take(bytes)) {
    if (event.id && last_event_ && *event.id <= *last_event_) {
      continue;
    }
    if (event.id) {
      last_event_ = event.id;
    }
    out += event.bytes;
  }
  if (out.empty()) {
    return;
  }
  noteReading();
  notePiece();
  passHead();
  if (sink_ != nullptr) {
    sink_->sendBody(out);
  }
}

// The engine has read the prompt, and the request has a slot.
void Exchange::noteReading() {
  server_->own.prefill_tokens -= std::min(server_->own.prefill_tokens, counted_.prefill_tokens);
  counted_.prefill_tokens = 0;
  if (place_ && !is_read_) {
    core_.occupancy->noteRead(*place_);
  }
  is_read_ = true;
  if (counted_.running == 0) {
    ++server_->own.running;
    counted_.running = 1;
    if (core_.settings.placement.booked_places) {
      reserveBegun();
    }
  }
}

void Exchange::notePiece() {
  const absl::Time now = reactor::steadyNow();
  if (first_piece_ == absl::InfiniteFuture()) {
    first_piece_ = now;
    core_.metrics.observeFirstPiece(now - began_);
  } else {
    longest_pause_ = std::max(longest_pause_, now - last_piece_);
  }
  last_piece_ = now;
  if (attempt_piece_ != absl::InfinitePast()) {
    attempt_pause_ = std::max(attempt_pause_, now - attempt_piece_);
  }
  attempt_piece_ = now;
  if (++attempt_pieces_ == kPiecesThatTell && engine_) {
    core_.placement.notePauses(facts_.output_tokens);
  }
}

// Of the attempt under way, with the one that lasts: an engine that fell silent ends no pause. Zero where it
// had too few pieces to tell of the engine.
absl::Duration Exchange::longestPauseNow() const {
  if (attempt_pieces_ < kPiecesThatTell) {
    return absl::ZeroDuration();
  }
  return std::max(attempt_pause_, reactor::steadyNow() - attempt_piece_);
}

void Exchange::passHead() {
  if (head_passed_) {
    return;
  }
  head_passed_ = true;
  if (sink_ == nullptr) {
    return;
  }
  HeaderFields fields;
  const std::string* const connection = findField(answer_.fields, "Connection");
  for (const HeaderField& field : answer_.fields) {
    if (!isHopByHop(field.name, connection == nullptr ? "" : *connection) &&
        findField({field}, "Content-Length") == nullptr) {
      fields.push_back(field);
    }
  }
  const bool is_stream = route_->kind == RepeatKind::kStream;
  std::optional<uint64_t> length = is_stream ? std::nullopt : answer_length_;
  if (keeps_answer_ && !is_stream) {
    length = head_.method == "HEAD" ? answer_length_ : std::optional<uint64_t>(kept_body_.size());
  }
  sink_->sendHead(answer_.status, answer_.reason, std::move(fields), length);
}

void Exchange::keepOrPass(std::string bytes) {
  if (keeps_answer_) {
    kept_body_ += bytes;
    if (kept_body_.size() <= kKeptAnswerBytes) {
      return;
    }
    keeps_answer_ = false;
    verdict_ = Verdict::kPassOn;  // too long to be kept for another decision
    bytes = std::exchange(kept_body_, std::string());
    passHead();
  }
  if (sink_ != nullptr) {
    sink_->sendBody(bytes);
  }
}

void Exchange::onAnswerEnd() {
  const auto self = shared_from_this();
  const absl::Time now = reactor::steadyNow();
  switch (verdict_) {
    case Verdict::kRefused:
      ServerDirectory::noteFailure(*server_, kRefusalWeight, now);
      endAttempt(AttemptEnd::kRefused);
      return;
    case Verdict::kBroken:
      noteRolloutEnd(RolloutExchange::AttemptOutcome::kFailed);
      ServerDirectory::noteFailure(*server_, kBrokenWeight, now);
      endAttempt(AttemptEnd::kUnknown);
      return;
    case Verdict::kFailed:
      noteRolloutEnd(RolloutExchange::AttemptOutcome::kFailed);
      ServerDirectory::noteFailure(*server_, kFailureWeight, now);
      endAttempt(AttemptEnd::kFailed);
      return;
    case Verdict::kPassOn:
      break;
  }
  noteServersAnswer(now);
  if (engine_ && first_piece_ != absl::InfiniteFuture()) {
    core_.placement.noteServed(now - first_piece_);
  }
  if (answer_.status >= kFirstSuccess && answer_.status < kFirstRedirect) {
    core_.crashes->noteServed(identity_);
  }
  passKeptAnswer();
  complete("answered");
}

// A failure that is passed on, for the request may not run again, is a failure all the same: counted as a
// quick answer, it drew all further requests to its server.
void Exchange::noteServersAnswer(absl::Time now) {
  if (answer_.status >= kFirstServerError) {
    noteRolloutEnd(RolloutExchange::AttemptOutcome::kFailed);
    ServerDirectory::noteFailure(*server_, kFailureWeight, now);
  } else {
    noteRolloutEnd(RolloutExchange::AttemptOutcome::kAnswered);
    ServerDirectory::noteSuccess(*server_, now - attempt_began_);
  }
}

void Exchange::passKeptAnswer() {
  passHead();
  if (sink_ == nullptr) {
    return;
  }
  const std::string& rest =
      route_->kind == RepeatKind::kStream && kept_body_.empty() ? events_.rest() : kept_body_;
  if (!rest.empty()) {
    sink_->sendBody(rest);
  }
}

void Exchange::onAnswerBroken() {
  const auto self = shared_from_this();
  noteRolloutEnd(RolloutExchange::AttemptOutcome::kFailed);
  ServerDirectory::noteFailure(*server_, kBrokenWeight, reactor::steadyNow());
  core_.crashes->noteBroken(server_, identity_);
  endAttempt(AttemptEnd::kUnknown);
}

}  // namespace quincewick::gateway
