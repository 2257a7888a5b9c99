#include "gateway/exchange.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

#include "forwarding/server_choice.h"
#include "gateway/crash_watch.h"

namespace quincewick::gateway {
namespace {

using forwarding::AttemptEnd;
using forwarding::RepeatKind;

constexpr absl::Duration kLeastTimeToTry = absl::Milliseconds(15);
constexpr uint32_t kLeastUrgent = 9;
constexpr int kBadGateway = 502;
// Between looks whether a request that waits may be sent.
constexpr absl::Duration kCrashVerdictPause = absl::Milliseconds(10);
// What is found of an end is known within 0.4 s. Beyond that a request waits for the runs of other suspects,
// of which there are many where servers fall all the time: then it goes beside them.
constexpr absl::Duration kLongestCrashWait = absl::Seconds(1);
constexpr std::string_view kEndsServers = "ends_servers";

}  // namespace

Exchange::Exchange(Core& core, BackEndPool& pool, HttpHead head, std::string body, AnswerSink* sink)
    : core_(core),
      pool_(pool),
      head_(std::move(head)),
      body_(std::move(body)),
      sink_(sink),
      began_(reactor::steadyNow()) {
  ++core_.requests_under_way;
}

Exchange::~Exchange() {
  core_.timers.cancel(deadline_timer_);
  core_.timers.cancel(crash_timer_);
  settleQuota();
  releaseServer();
  --core_.requests_under_way;
}

void Exchange::begin() {
  const auto self = shared_from_this();
  facts_ = core_.dialect->readRequest(head_);
  configuration_ = core_.in_force.configuration;
  noteConfigurationAge();
  if (!admit()) {
    return;
  }
  identity_ = forwarding::identityOf(head_.method, head_.target,
                                     tenant_ == nullptr ? TenantId() : tenant_->id, body_);
  ledger_ = forwarding::AttemptLedger(route_->mayRunAgain(), route_->max_attempts);
  setDeadline();
  chooseService();
  core_.budget.noteRequest(service_);
  if (core_.crashes->verdictOn(identity_) == forwarding::CrashVerdict::kReject) {
    rejectForCrashes();
    return;
  }
  askQuota();
}

void Exchange::tryNext() {
  places_asked_ = 0;
  software_.reset();
  if (!mayBeSent()) {
    return;
  }
  if (!chooseTarget()) {
    giveUp(false, kNoServer);
    return;
  }
  if (engine_ && core_.settings.placement.booked_places) {
    askForPlace();
  } else {
    sendChosen();
  }
}

bool Exchange::mayBeSent() {
  const absl::Time now = reactor::steadyNow();
  if (deadline_ - now < kLeastTimeToTry) {
    giveUp(true, "no_time_left");
    return false;
  }
  if (tenant_ != nullptr && !core_.keysAreConfirmed(now)) {
    giveUp(false, "keys_not_confirmed");
    return false;
  }
  return mayReachServers();
}

// Asked before each send, for what is known of a request outlives its arrivals: it may have ended servers
// through other gateways while this one chose.
bool Exchange::mayReachServers() {
  const absl::Time now = reactor::steadyNow();
  switch (core_.crashes->verdictOn(identity_)) {
    case forwarding::CrashVerdict::kSend:
      return true;
    case forwarding::CrashVerdict::kWait:
      crash_wait_ends_ = std::min(crash_wait_ends_, now + kLongestCrashWait);
      if (now >= crash_wait_ends_) {
        return true;
      }
      releaseServer();
      server_ = nullptr;
      crash_timer_ = core_.timers.schedule(now + kCrashVerdictPause, [this] {
        const auto self = shared_from_this();
        crash_timer_ = reactor::TimerQueue::Key();
        tryNext();
      });
      return false;
    case forwarding::CrashVerdict::kReject:
      rejectForCrashes();
      return false;
  }
  return true;
}

// Neither "it has not run", nor a time to come back: it would end the next servers.
void Exchange::rejectForCrashes() {
  if (head_passed_ || has_failure_) {
    giveUp(false, kEndsServers);
  } else {
    refuse(kBadGateway, kEndsServers, absl::ZeroDuration());
  }
}

void Exchange::sendChosen() {
  const absl::Time now = reactor::steadyNow();
  const bool has_waited = engine_ || rate_grant_;
  if (has_waited && !mayBeSent()) {
    return;
  }
  // It may have left, or asked for rest, while the keeper of its books was asked.
  if (!server_->mayReceive(now) || !mayStillUseServer()) {
    releaseServer();
    tryNext();
    return;
  }
  if (server_->back_pressure->rateLimit() && !rate_grant_) {
    askForRate();
    return;
  }
  if (ledger_.wouldRepeat() && !mayRepeat(now)) {
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

// A tenant's urgency goes before the route's.
uint32_t Exchange::levelAtEngine() const {
  const uint32_t urgency = tenant_ != nullptr && tenant_->urgency ? *tenant_->urgency : route_->urgency;
  if (core_.settings.placement.late_within_class) {
    return configuration_->levelsOf(service_).levelOf(urgency, gives_way_);
  }
  return gives_way_ ? kLeastUrgent : std::min(urgency, kLeastUrgent - 1);
}

bool Exchange::mayRepeat(absl::Time now) {
  const bool may = core_.budget.tryRepeat(service_);
  core_.log.event("repeat", now)
      .with("request", facts_.attempt_id)
      .with("service", service_.value())
      .with("done", may ? "true" : "false")
      .with("left", static_cast<int64_t>(core_.budget.left(service_)));
  return may;
}

bool Exchange::chooseTarget() {
  const absl::Time now = reactor::steadyNow();
  engine_.reset();
  server_ = nullptr;
  return core_.rollouts != nullptr ? chooseAmongVersions(now)
                                   : chooseAmong(core_.directory.ofService(service_), now);
}

bool Exchange::chooseAmong(const Servers& servers, absl::Time now) {
  const forwarding::Service* const service = configuration_->findService(service_);
  const bool is_engine = service != nullptr && service->engine.has_value() && !facts_.model.empty();
  return is_engine ? chooseEngine(servers, now) : choosePlainServer(servers, now);
}

bool Exchange::choosePlainServer(const Servers& servers, absl::Time now) {
  server_ = forwarding::chooseServer(servers, tried_, core_.settings.zone, now, core_.random);
  return server_ != nullptr;
}

void Exchange::sendAttempt() {
  attempt_began_ = reactor::steadyNow();
  rates_asked_ = 0;
  verdict_ = Verdict::kBroken;
  answer_ = HttpHead();
  has_failure_ = false;
  keeps_answer_ = true;
  kept_body_.clear();
  events_ = {};
  // What gives way waits behind all others: to them it is no work until it has begun.
  is_read_ = false;
  attempt_piece_ = absl::InfinitePast();
  attempt_pieces_ = 0;
  attempt_pause_ = absl::ZeroDuration();
  gives_way_ = engine_ && isForetoldLate();
  if (gives_way_ && place_) {
    core_.occupancy->release(*std::exchange(place_, std::nullopt));
  }
  counted_ =
      gives_way_ ? forwarding::ServerLoad() : forwarding::ServerLoad{1, engine_ ? engine_->read_tokens : 0};
  if (ledger_.wouldRepeat()) {
    core_.metrics.countRetry();
    if (head_passed_) {
      core_.metrics.countResumed();
    }
  }
  if (engine_) {
    core_.metrics.countPromptTokens(engine_->cached_tokens, engine_->fetched_tokens, engine_->read_tokens);
  }
  server_->back_pressure->noteSent(attempt_began_);
  server_->own.running += counted_.running;
  server_->own.prefill_tokens += counted_.prefill_tokens;

  forwarding::SendFacts send;
  if (deadline_ != absl::InfiniteFuture()) {
    send.time_left = deadline_ - attempt_began_;
  }
  send.server_id = server_->entry.id;
  if (tenant_ != nullptr) {
    send.tenant = tenant_->id;
  }
  if (last_event_) {
    send.last_event_id = absl::StrCat(*last_event_);
  }
  if (engine_) {
    send.urgency = levelAtEngine();
    send.cache_salt = engine_->salt;
    send.weights_version = engine_->version;
    send.memory_source = engine_->memory_source;
    send.memory_target = engine_->memory_target;
  }
  HeaderFields fields = core_.dialect->fieldsForServer(head_, send);
  if (!body_.empty() || findField(head_.fields, "Content-Length") != nullptr ||
      findField(head_.fields, "Transfer-Encoding") != nullptr) {
    fields.push_back({"Content-Length", absl::StrCat(body_.size())});
  }
  AttemptRequest request;
  request.bytes = printRequestHead(head_.method, head_.target, fields) + body_;
  request.attempt_id = facts_.attempt_id;
  request.is_head_method = head_.method == "HEAD";
  request.wants_fresh_connection = !route_->mayRunAgain();
  tried_.push_back(server_->identity_hash);
  is_at_server_ = true;
  core_.crashes->noteSent(identity_);
  noteRolloutSent();
  attempt_ = pool_.start(server_, std::move(request), this);
}

void Exchange::onSending() {
  rate_grant_.reset();
  ledger_.noteSent();
}

void Exchange::onNeverSent() {
  const auto self = shared_from_this();
  endAttempt(AttemptEnd::kNeverSent);
}

void Exchange::endAttempt(AttemptEnd end) {
  core_.metrics.countAttempt(end);
  core_.log.event("attempt_ended", reactor::steadyNow())
      .with("request", facts_.attempt_id)
      .with("server", server_->entry.id)
      .with("same_as", forwarding::printIdentity(identity_))
      .with("end", static_cast<int64_t>(end))
      .with("status", answer_.status)
      .with("after_ms", reactor::steadyNow() - attempt_began_);
  releaseServer();
  attempt_.reset();
  ledger_.noteEnd(end);
  has_failure_ = end == AttemptEnd::kFailed && !head_passed_ && !forwarding::promisesNotRun(answer_.status);
  const bool is_cut = head_passed_ && !(route_->kind == RepeatKind::kStream && route_->is_resumable);
  if (done_ || sink_ == nullptr) {
    complete("caller_left");
    return;
  }
  if (!is_cut && ledger_.mayTryAgain()) {
    tryNext();
    return;
  }
  giveUp(false, "attempts_used_up");
}

void Exchange::releaseServer() {
  settleRollout();
  settleRate();
  if (std::exchange(is_at_server_, false)) {
    core_.crashes->noteOver(identity_);
  }
  if (place_question_) {
    core_.occupancy->forget(*std::exchange(place_question_, std::nullopt));
  }
  if (place_) {
    core_.occupancy->release(*std::exchange(place_, std::nullopt), longestPauseNow());
  }
  if (server_ == nullptr) {
    return;
  }
  server_->own.running -= std::min(server_->own.running, counted_.running);
  server_->own.prefill_tokens -= std::min(server_->own.prefill_tokens, counted_.prefill_tokens);
  counted_ = {};
}

void Exchange::outOfTime() {
  if (done_) {
    return;
  }
  const bool was_sent = ledger_.wouldRepeat();
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
    passKeptAnswer();
    complete("failure_passed_on");
    return;
  }
  if (head_passed_) {
    core_.metrics.countCut();
    if (sink_ != nullptr) {
      std::exchange(sink_, nullptr)->cut();
    }
    complete(why);
    return;
  }
  refuse(ledger_.finalStatus(out_of_time), why, retryAfter());
}

void Exchange::refuse(int status, std::string_view why, absl::Duration retry_after) {
  if (sink_ != nullptr) {
    const std::string body = absl::StrCat("{\"error\":\"", std::string(why), "\"}\n");
    HeaderFields fields = {{"Content-Type", "application/json"}};
    if (!facts_.attempt_id.empty()) {
      fields.push_back(core_.dialect->attemptField(facts_.attempt_id));
    }
    if (forwarding::promisesNotRun(status)) {
      fields.push_back({"Retry-After", absl::StrFormat("%.2f", absl::ToDoubleSeconds(retry_after))});
    }
    sink_->sendHead(status, std::string(reasonOf(status)), std::move(fields), body.size());
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
      .with("tried", static_cast<int64_t>(tried_.size()));
  complete(why);
}

void Exchange::complete(std::string_view outcome) {
  if (done_) {
    return;
  }
  done_ = true;
  core_.timers.cancel(deadline_timer_);
  core_.timers.cancel(crash_timer_);
  settleQuota();
  settleRollout();
  const absl::Time now = reactor::steadyNow();
  core_.metrics.countRequest(route_ == nullptr ? std::nullopt : std::optional(route_->kind), outcome);
  core_.metrics.observeAnswer(now - began_);
  auto line = core_.log.event("request", now);
  line.with("request", facts_.attempt_id)
      .with("route", route_ == nullptr ? "" : route_->name)
      .with("tenant", tenant_ == nullptr ? "" : tenant_->id.value())
      .with("outcome", outcome)
      .with("status", answer_.status)
      .with("server", server_ == nullptr ? "" : server_->entry.id)
      .with("tries", static_cast<int64_t>(tried_.size()))
      .with("configuration", configurationVersion())
      .with("configuration_age_ms", configuration_age_)
      .with("took_ms", now - began_);
  if (is_quota_decided_) {
    line.with("keeper", quota_keeper_.value()).with("quota_ms", quota_took_);
  }
  if (engine_ && first_piece_ != absl::InfiniteFuture()) {
    core_.metrics.observeForecast(route_->name, first_piece_ - began_ - foretold_first_);
  }
  if (first_piece_ != absl::InfiniteFuture()) {
    line.with("first_ms", first_piece_ - began_).with("pause_ms", longest_pause_);
  }
  if (engine_) {
    line.with("foretold_pause_ms", engine_->pause);
    line.with("foretold_ms", foretold_first_).with("gives_way", gives_way_ ? "true" : "false");
    line.with("weights", static_cast<int64_t>(engine_->version.value()))
        .with("kept", static_cast<int64_t>(engine_->cached_tokens))
        .with("moved", static_cast<int64_t>(engine_->fetched_tokens))
        .with("read", static_cast<int64_t>(engine_->read_tokens))
        .with("shared", static_cast<int64_t>(engine_->shared_tokens));
  }
  AnswerSink* const sink = std::exchange(sink_, nullptr);
  if (sink != nullptr) {
    sink->finish();
  }
  keep_alive_ = nullptr;
}

void Exchange::callerLeft() {
  const auto self = shared_from_this();
  sink_ = nullptr;
  const bool may_break_off = route_ == nullptr || route_->kind != RepeatKind::kOnce ||
                             quota_question_.has_value() || place_question_.has_value() ||
                             rate_question_.has_value() || crash_timer_ != reactor::TimerQueue::Key();
  if (may_break_off) {
    attempt_.reset();
    releaseServer();
    complete("caller_left");
  } else if (!done_) {
    keep_alive_ = self;
  }
}

void Exchange::callerCaughtUp() {
  if (attempt_ != nullptr) {
    attempt_->resume();
  }
}

}  // namespace quincewick::gateway
