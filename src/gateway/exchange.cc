#include "gateway/exchange.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

#include "forwarding/prompt_part_key.h"
#include "forwarding/server_choice.h"
#include "gateway/crash_detector.h"
#include "gateway/path_prober.h"

namespace quincewick::gateway {
namespace {

using forwarding::AttemptOutcome;
using forwarding::RepeatKind;

constexpr absl::Duration kMinTimeToSend = absl::Milliseconds(15);
constexpr uint32_t kLowestPriority = 9;
constexpr int kUnavailable = 503;

std::string softwareText(const std::optional<SoftwareVersion>& software) {
  return software ? software->value() : "";
}

// The ids of the prompt's shared parts, as the caller named them.
std::string sharedPartIds(const std::vector<forwarding::PromptPart>& prompt) {
  const size_t shared = prompt.empty() ? 0 : std::min(prompt.size() - 1, forwarding::kMaxSharedParts);
  return absl::StrJoin(prompt.begin(), prompt.begin() + static_cast<ptrdiff_t>(shared), ",",
                       [](std::string* out, const forwarding::PromptPart& part) { out->append(part.id); });
}

}  // namespace

Exchange::Exchange(Core& core, BackEndPool& pool, HttpHead head, RequestBody body, ResponseSink* sink,
                   std::optional<DelegationTerms> terms)
    : core_(core),
      pool_(pool),
      head_(std::move(head)),
      body_(std::move(body)),
      sealed_charge_(core.buffers),
      sink_(sink),
      began_(reactor::steadyNow()),
      terms_(std::move(terms)) {
  ++core_.requests_under_way;
  if (terms_) {
    core_.delegations->noteTaken();
  }
}

Exchange::~Exchange() {
  core_.timers.cancel(deadline_timer_);
  core_.timers.cancel(crash_timer_);
  core_.timers.cancel(offer_timer_);
  core_.timers.cancel(permit_timer_);
  cancelFindOrigin();
  releaseQuota();
  releaseServer();
  --core_.requests_under_way;
  if (terms_) {
    core_.delegations->noteTakenEnded();
  }
}

void Exchange::begin() {
  const auto self = shared_from_this();
  facts_ = core_.dialect->readRequest(head_);
  configuration_ = core_.in_force.configuration;
  noteConfigurationAge();
  if (terms_) {
    beginDelegated();
    return;
  }
  if (!admit()) {
    return;
  }
  identify();
  ledger_ = forwarding::AttemptLedger(route_->mayRunAgain(), route_->max_attempts);
  setDeadline();
  chooseService();
  if (isTakenUp()) {
    findOrigin();
  } else {
    acceptForService();
  }
}

void Exchange::acceptForService() {
  core_.budget.noteRequest(service_);
  if (core_.crash_detector->verdictOn(subject_) == forwarding::CrashVerdict::kReject) {
    rejectForCrashes();
    return;
  }
  requestQuota();
}

void Exchange::identify() {
  subject_.identity = forwarding::identityOf(head_.method, head_.target,
                                             tenant_ == nullptr ? TenantId() : tenant_->id, body_.bytes);
  subject_.carrier = {subject_.identity.low, forwarding::sharedPartsOf(facts_.model, facts_.prompt)};
}

void Exchange::tryNext() {
  reservations_requested_ = 0;
  software_.reset();
  if (!maySend() || awaitRecord()) {
    return;
  }
  if (prefersDelegate() && delegate()) {
    return;
  }
  if (!chooseTarget()) {
    onNoServer();
    return;
  }
  if (engine_ && core_.settings.placement.reserve_slots) {
    reserveSlot();
  } else {
    sendToChosenServer();
  }
}

void Exchange::onNoServer() {
  if (!without_permit_.empty()) {
    awaitPermit();
  } else if (!isHeldBackByPath() || !delegate()) {
    giveUp(false, kNoServer);
  }
}

bool Exchange::maySend() {
  const absl::Time now = reactor::steadyNow();
  if (deadline_ - now < kMinTimeToSend) {
    giveUp(true, "no_time_left");
    return false;
  }
  if (tenant_ != nullptr && !core_.keysAreConfirmed(now)) {
    giveUp(false, "keys_not_confirmed");
    return false;
  }
  return mayReachServers();
}

void Exchange::sendToChosenServer() {
  const absl::Time now = reactor::steadyNow();
  const bool has_waited = engine_ || rate_grant_ || has_permit_;
  if (has_waited && !maySend()) {
    return;
  }
  // The server may have left or asked for a back-off period, or its weights may be past their bound, while
  // the owner of its occupancy was queried.
  if (!server_->mayReceive(now) || !mayStillUseServer() || !areWeightsInForce(now)) {
    releaseServer();
    tryNext();
    return;
  }
  if (server_->back_pressure->rateLimit() && !rate_grant_) {
    requestRate();
    return;
  }
  if (needsPermit()) {
    requestPermit();
    return;
  }
  if (needsStoredRecord() && !recordInStore()) {
    return;
  }
  if (ledger_.isNextRetry() && !mayRepeat(now)) {
    releaseServer();
    server_ = nullptr;
    giveUp(false, "retry_budget");
    return;
  }
  if (engine_) {
    notePlacement(now);
  }
  sendAttempt();
}

// A tenant's urgency overrides the route's.
uint32_t Exchange::enginePriority() const {
  const uint32_t urgency = tenant_ != nullptr && tenant_->urgency ? *tenant_->urgency : route_->urgency;
  if (core_.settings.placement.late_within_class) {
    return configuration_->levelsOf(service_).levelOf(urgency, yields_);
  }
  return yields_ ? kLowestPriority : std::min(urgency, kLowestPriority - 1);
}

bool Exchange::mayRepeat(absl::Time now) {
  const bool is_allowed = core_.budget.tryAcquireRetry(service_);
  core_.log.event("repeat", now)
      .with("request", facts_.attempt_id)
      .with("service", service_.value())
      .with("done", is_allowed ? "true" : "false")
      .with("left", static_cast<int64_t>(core_.budget.left(service_)));
  return is_allowed;
}

bool Exchange::chooseTarget() {
  const absl::Time now = reactor::steadyNow();
  engine_.reset();
  server_ = nullptr;
  if (const std::optional<SoftwareVersion> bound = boundSoftware()) {
    return chooseServerOfStream(*bound, now);
  }
  return core_.rollouts != nullptr ? chooseServerByVersion(now)
                                   : chooseServerAmong(core_.directory.ofService(service_), now);
}

bool Exchange::chooseServerAmong(const Servers& candidates, absl::Time now) {
  const Servers& servers = serversForStream(candidates);
  const forwarding::Service* const service = configuration_->findService(service_);
  const bool is_engine = service != nullptr && service->engine.has_value() && !facts_.model.empty();
  return is_engine ? chooseEngine(servers, now) : choosePlainServer(servers, now);
}

bool Exchange::choosePlainServer(const Servers& servers, absl::Time now) {
  server_ = forwarding::chooseServer(servers, excludedServers(), core_.settings.zone, now, core_.random);
  return server_ != nullptr;
}

// State of an attempt that starts.
void Exchange::resetAttempt() {
  attempt_began_ = reactor::steadyNow();
  attempt_sent_ = absl::InfiniteFuture();
  rates_requested_ = 0;
  verdict_ = Verdict::kBroken;
  attempt_software_.reset();
  response_head_ = HttpHead();
  has_failure_ = false;
  is_buffering_ = true;
  buffered_body_.clear();
  events_ = forwarding::EventSplitter(last_event_.has_value());
  is_prompt_read_ = false;
  attempt_last_piece_ = absl::InfinitePast();
  attempt_pieces_ = 0;
  attempt_longest_pause_ = absl::ZeroDuration();
}

void Exchange::sendAttempt() {
  resetAttempt();
  // A request that yields queues behind all others, so it adds no load for them until it starts.
  yields_ = engine_ && isPredictedLate();
  if (yields_ && reservation_) {
    core_.occupancy->release(*std::exchange(reservation_, std::nullopt));
  }
  counted_ =
      yields_ ? forwarding::ServerLoad() : forwarding::ServerLoad{1, engine_ ? engine_->uncached_tokens : 0};
  if (ledger_.isNextRetry()) {
    core_.metrics.countRetry();
    if (is_head_forwarded_) {
      core_.metrics.countResumed();
    }
  }
  if (engine_) {
    core_.metrics.countPromptTokens(engine_->cached_tokens, engine_->fetched_tokens,
                                    engine_->uncached_tokens);
  }
  server_->back_pressure->noteSent(attempt_began_);
  server_->own.running += counted_.running;
  server_->own.prefill_tokens += counted_.prefill_tokens;

  forwarding::SendFacts send;
  const absl::Time deadline = deadlineAtServer(attempt_began_);
  if (deadline != absl::InfiniteFuture()) {
    send.time_left = deadline - attempt_began_;
  }
  send.server_id = server_->entry.id;
  if (tenant_ != nullptr) {
    send.tenant = tenant_->id;
  }
  if (last_event_) {
    send.last_event_id = absl::StrCat(*last_event_);
  }
  if (engine_) {
    send.urgency = enginePriority();
    send.cache_salt = engine_->salt;
    send.weights_version = engine_->version;
    send.cache_source = engine_->cache_source;
    send.cache_target = engine_->cache_target;
  }
  HeaderFields fields = core_.dialect->fieldsForServer(head_, send);
  if (!body_.bytes.empty() || findField(head_.fields, "Content-Length") != nullptr ||
      findField(head_.fields, "Transfer-Encoding") != nullptr) {
    fields.push_back({"Content-Length", absl::StrCat(body_.bytes.size())});
  }
  AttemptRequest request;
  request.bytes = absl::Cord(printRequestHead(head_.method, head_.target, fields));
  request.bytes.Append(body_.bytes);
  request.attempt_id = facts_.attempt_id;
  request.is_head_method = head_.method == "HEAD";
  request.wants_fresh_connection = !route_->mayRunAgain();
  tried_.push_back(server_->identity_hash);
  is_at_server_ = true;
  attempt_software_ = server_->provenSoftware();
  core_.crash_detector->noteSent(subject_);
  noteRolloutSent();
  noteUnaccepted();
  limitStart();
  attempt_ = pool_.start(server_, std::move(request), this);
}

void Exchange::onSending() {
  rate_grant_.reset();
  attempt_sent_ = reactor::steadyNow();
  ledger_.noteSent();
}

void Exchange::onNeverSent() {
  const auto self = shared_from_this();
  endUnaccepted(quota::PermitEnd::kNeverSent);
  if (delegate_) {
    noteDelegateFailed();
  }
  endAttempt(AttemptOutcome::kNeverSent);
}

void Exchange::logAttemptEnd(AttemptOutcome end) {
  const absl::Time now = reactor::steadyNow();
  auto line = core_.log.event("attempt_ended", now);
  line.with("request", facts_.attempt_id)
      .with("server", server_->entry.id)
      .with("software", softwareText(attempt_software_))
      .with("same_as", forwarding::printIdentity(subject_.identity))
      .with("end", static_cast<int64_t>(end))
      .with("status", response_head_.status)
      .with("after_ms", now - attempt_began_)
      .with("events", static_cast<int64_t>(attempt_pieces_));
  if (end == AttemptOutcome::kUnknown && !facts_.prompt.empty()) {
    line.with("prompt", sharedPartIds(facts_.prompt))
        .with("parts", forwarding::printParts(subject_.carrier.parts));
  }
}

void Exchange::endAttempt(AttemptOutcome end) {
  core_.metrics.countAttempt(end);
  logAttemptEnd(end);
  releaseFirstEvent();
  releaseServer();
  attempt_.reset();
  ledger_.noteOutcome(end);
  has_failure_ = end == AttemptOutcome::kFailed && mayForwardFailure() && is_buffering_;
  const bool is_bound = begun_software_.has_value() || !is_stream_begun_;
  const bool is_cut = is_head_forwarded_ && !(mayGoOnElsewhere() && is_position_known_ && is_bound);
  if (is_done_ || sink_ == nullptr) {
    complete("caller_left");
    return;
  }
  const bool may_delegate = end == AttemptOutcome::kNeverSent && mayStillDelegate();
  if (!is_cut && (ledger_.mayRetry() || may_delegate)) {
    tryNext();
    return;
  }
  giveUp(false, "attempts_used_up");
}

void Exchange::releaseServer() {
  core_.timers.cancel(start_timer_);
  settleRollout();
  releaseRate();
  releasePermit();
  if (std::exchange(is_at_server_, false)) {
    core_.crash_detector->noteOver(subject_);
  }
  if (pending_reservation_) {
    core_.occupancy->cancel(*std::exchange(pending_reservation_, std::nullopt));
  }
  if (reservation_) {
    core_.occupancy->release(*std::exchange(reservation_, std::nullopt), longestPauseNow());
  }
  releaseDelegate();
  if (server_ == nullptr) {
    return;
  }
  server_->own.running -= std::min(server_->own.running, counted_.running);
  server_->own.prefill_tokens -= std::min(server_->own.prefill_tokens, counted_.prefill_tokens);
  counted_ = {};
}

void Exchange::onDeadline() {
  if (is_done_) {
    return;
  }
  releaseFirstEvent();
  if (is_done_) {
    return;
  }
  const bool was_sent = ledger_.isNextRetry();
  core_.timers.cancel(offer_timer_);
  core_.timers.cancel(permit_timer_);
  noteRolloutEnd(RolloutExchange::AttemptOutcome::kFailed);
  attempt_.reset();
  releaseServer();
  if (!was_sent) {
    giveUp(true, "never_sent");
    return;
  }
  giveUp(true, "deadline");
}

void Exchange::giveUp(bool out_of_time, std::string_view why) {
  if (has_failure_) {
    forwardBufferedBody();
    complete("failure_passed_on");
    return;
  }
  if (is_head_forwarded_) {
    core_.metrics.countTruncated();
    if (sink_ != nullptr) {
      std::exchange(sink_, nullptr)->truncate();
    }
    complete(why);
    return;
  }
  reject(ledger_.finalStatus(out_of_time), why, retryAfter());
}

void Exchange::reject(int status, std::string_view why, absl::Duration retry_after) {
  if (sink_ != nullptr) {
    if (terms_ && !forwarding::promisesNotRun(status) &&
        outcomeOfRejection(status) != DelegationOutcome::kUnknown) {
      status = kUnavailable;  // the origin's configuration allows the request
    }
    const std::string body = absl::StrCat("{\"error\":\"", std::string(why), "\"}\n");
    HeaderFields fields = {{"Content-Type", "application/json"}};
    if (!facts_.attempt_id.empty()) {
      fields.push_back(core_.dialect->attemptField(facts_.attempt_id));
    }
    if (terms_) {
      fields.push_back(core_.delegations->sealReport(*terms_, {outcomeOfRejection(status), std::nullopt}));
    }
    if (forwarding::promisesNotRun(status)) {
      fields.push_back({"Retry-After", absl::StrFormat("%.2f", absl::ToDoubleSeconds(retry_after))});
    }
    sink_->sendHead(status, std::string(reasonOf(status)), std::move(fields), {.length = body.size()});
    sink_->sendBody(body);
  }
  core_.metrics.countRefusal(status, why);
  core_.log.event("refused", reactor::steadyNow())
      .with("request", facts_.attempt_id)
      .with("status", status)
      .with("why", why)
      .with("service", service_.value())
      .with("configuration", configurationVersion())
      .with("configuration_age_ms", configuration_age_)
      .with("tried", static_cast<int64_t>(tried_.size()))
      .with("last_server", lastServerId());
  complete(why);
}

// The server of the last attempt; empty if there was none or it is no longer listed.
std::string Exchange::lastServerId() const {
  const auto server = tried_.empty() ? nullptr : core_.directory.findByHash(tried_.back());
  return server == nullptr ? "" : server->entry.id;
}

void Exchange::complete(std::string_view outcome) {
  if (is_done_) {
    return;
  }
  is_done_ = true;
  core_.timers.cancel(deadline_timer_);
  core_.timers.cancel(crash_timer_);
  core_.timers.cancel(offer_timer_);
  core_.timers.cancel(permit_timer_);
  core_.timers.cancel(hold_timer_);
  cancelFindOrigin();
  releaseQuota();
  settleRollout();
  const absl::Time now = reactor::steadyNow();
  core_.metrics.countRequest(route_ == nullptr ? std::nullopt : std::optional(route_->kind), outcome);
  core_.metrics.observeResponse(now - began_);
  auto line = core_.log.event("request", now);
  line.with("request", facts_.attempt_id)
      .with("route", route_ == nullptr ? "" : route_->name)
      .with("tenant", tenant_ == nullptr ? "" : tenant_->id.value())
      .with("outcome", outcome)
      .with("status", response_head_.status)
      .with("server", server_ == nullptr ? "" : server_->entry.id)
      .with("software", softwareText(attempt_software_))
      .with("tries", static_cast<int64_t>(tried_.size()))
      .with("configuration", configurationVersion())
      .with("configuration_age_ms", configuration_age_)
      .with("took_ms", now - began_);
  if (facts_.resumed_attempt || facts_.last_event_id) {
    line.with("resumes", facts_.resumed_attempt.value_or(""))
        .with("after_event", facts_.last_event_id.value_or(""))
        .with("origin_proof", origin_proof_);
  }
  if (is_quota_decided_) {
    line.with("keeper", quota_owner_.value()).with("quota_ms", quota_wait_);
  }
  if (engine_ && first_piece_ != absl::InfiniteFuture()) {
    core_.metrics.observeForecast(route_->name, first_piece_ - began_ - predicted_first_piece_);
  }
  if (first_piece_ != absl::InfiniteFuture()) {
    line.with("first_ms", first_piece_ - began_).with("pause_ms", longest_pause_);
  }
  if (engine_) {
    line.with("foretold_pause_ms", engine_->pause);
    line.with("foretold_ms", predicted_first_piece_).with("gives_way", yields_ ? "true" : "false");
    line.with("weights", static_cast<int64_t>(engine_->version.value()))
        .with("kept", static_cast<int64_t>(engine_->cached_tokens))
        .with("moved", static_cast<int64_t>(engine_->fetched_tokens))
        .with("read", static_cast<int64_t>(engine_->uncached_tokens))
        .with("shared", static_cast<int64_t>(engine_->shared_tokens));
  }
  ResponseSink* const sink = std::exchange(sink_, nullptr);
  if (sink != nullptr) {
    sink->finish();
  }
  keep_alive_ = nullptr;
}

void Exchange::onCallerDisconnected() {
  const auto self = shared_from_this();
  sink_ = nullptr;
  const bool may_break_off = route_ == nullptr || route_->kind != RepeatKind::kOnce ||
                             pending_quota_.has_value() || pending_reservation_.has_value() ||
                             pending_rate_.has_value() || crash_timer_ != reactor::TimerQueue::Key() ||
                             offer_timer_ != reactor::TimerQueue::Key() || pending_permit_.has_value() ||
                             permit_timer_ != reactor::TimerQueue::Key();
  if (may_break_off) {
    attempt_.reset();
    releaseServer();
    complete("caller_left");
  } else if (!is_done_) {
    keep_alive_ = self;
  }
}

void Exchange::onCallerDrained() {
  if (attempt_ != nullptr) {
    attempt_->resume();
  }
}

}  // namespace quincewick::gateway
