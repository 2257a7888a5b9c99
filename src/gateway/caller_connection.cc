#include "gateway/caller_connection.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <utility>

#include "gateway/caller_connections.h"

namespace quincewick::gateway {
namespace {

using reactor::MessageKind;
using reactor::MessageLimits;
using reactor::ReadStatus;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kUnavailable = 503;
constexpr std::string_view kNoRoom = "no_room";
constexpr int kHeaderTooLarge = 431;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr size_t kMaxUnreadBytes = 65536;  // of pipelined requests
// Of responses, before the next request is read.
constexpr size_t kMaxUnsentResponseBytes = 262144;
constexpr size_t kWideReceiveBufferBytes = 65536;
// Of a request that was refused for want of room: those that have stalled give way at once.
constexpr absl::Duration kShedRetryAfter = absl::Seconds(1);
// Of sealed requests of other gateways.
constexpr MessageLimits kDelegationLimits = {8192, peer::kMaximumBodySize};

MessageLimits limitsOf(const Core& core) {
  if (core.in_force.configuration == nullptr) {
    return {};
  }
  const forwarding::CallerLimits& limits = core.in_force.configuration->limits();
  return {limits.header_bytes, limits.body_bytes};
}

forwarding::CallerLimits callerLimits(const Core& core) {
  return core.in_force.configuration == nullptr ? forwarding::CallerLimits()
                                                : core.in_force.configuration->limits();
}

}  // namespace

CallerConnection::CallerConnection(Core& core, BackEndPool& pool, reactor::Connection::Socket socket,
                                   Closed closed, Delegations* delegations)
    : core_(core),
      pool_(pool),
      connection_(std::make_shared<reactor::Connection>(std::move(socket))),
      closed_(std::move(closed)),
      delegations_(delegations),
      reader_(MessageKind::kRequest, delegations == nullptr ? limitsOf(core) : kDelegationLimits),
      input_charge_(core.buffers),
      last_input_(reactor::steadyNow()),
      message_began_(last_input_),
      progressed_(last_input_) {
  connection_->chargeUnsentTo(core.buffers);
}

CallerConnection::~CallerConnection() {
  core_.timers.cancel(timer_);
}

void CallerConnection::start() {
  connection_->start(this);
  armTimer();
}

void CallerConnection::onBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  const bool was_started = reader_.started();
  if (!was_started && exchange_ == nullptr) {
    applyLimits();
  }
  reader_.take(bytes);
  received_bytes_ += bytes.size();
  last_input_ = reactor::steadyNow();
  message_began_ = was_started ? message_began_ : last_input_;
  noteTransfer(last_input_);
  widenReceiveBuffer();
  if (exchange_ != nullptr && reader_.unreadBytes() > kMaxUnreadBytes) {
    pauseReading();
  }
  noteHeldBytes();
  if (core_.buffers.isExceededFor(input_charge_.bytes()) && !core_.connections->makeRoomFor(*this)) {
    shed();
    return;
  }
  if (exchange_ != nullptr) {
    return;
  }
  if (!was_started) {
    armTimer();
  }
  processInput();
}

// Those of the configuration in force when the message begins.
void CallerConnection::applyLimits() {
  if (delegations_ == nullptr && reader_.limits() != limitsOf(core_)) {
    reader_.setLimits(limitsOf(core_));
    reader_.next();
  }
}

// A long upload would be slowed down over a far link.
void CallerConnection::widenReceiveBuffer() {
  const bool is_long =
      exchange_ == nullptr && reader_.heldBytes() > reactor::BufferBudget::kSmallMessageBytes;
  if (is_long && !std::exchange(has_wide_buffer_, true)) {
    connection_->setReceiveBufferBytes(kWideReceiveBufferBytes);
  }
}

void CallerConnection::processInput() {
  if (is_reading_) {
    return;
  }
  is_reading_ = true;
  while (is_open_ && exchange_ == nullptr && reader_.status() == ReadStatus::kDone && !isBackedUp()) {
    if (core_.buffers.isExceededFor(reader_.heldBytes())) {
      rejectInput(kUnavailable, kNoRoom, kShedRetryAfter);
    } else {
      startExchange();
    }
  }
  is_reading_ = false;
  if (!is_open_ || exchange_ != nullptr) {
    return;
  }
  if (isBackedUp()) {
    pauseReading();  // until the caller takes its responses
    return;
  }
  switch (reader_.status()) {
    case ReadStatus::kMalformed:
      rejectInput(kBadRequest, "malformed");
      return;
    case ReadStatus::kHeaderTooLarge:
      rejectInput(kHeaderTooLarge, "head_too_long");
      return;
    case ReadStatus::kBodyTooLarge:
      rejectInput(kTooLarge, "body_too_long");
      return;
    default:
      break;
  }
  const bool is_waiting = reader_.headComplete() && !expects_continue_ &&
                          fieldHasWord(reader_.head().fields, "Expect", "100-continue");
  if (is_waiting) {
    expects_continue_ = true;
    connection_->send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerConnection::startExchange() {
  core_.timers.cancel(timer_);
  expects_continue_ = false;
  keeps_alive_ = reader_.keepsAlive();
  if (delegations_ != nullptr) {
    startDelegated();
    return;
  }
  is_bodyless_ = reader_.head().method == "HEAD";
  HttpHead head = reader_.head();
  exchange_ =
      std::make_shared<Exchange>(core_, pool_, std::move(head), chargedBody(reader_.takeBodyPieces()), this);
  noteHeldBytes();
  const auto exchange = exchange_;
  exchange->begin();
}

void CallerConnection::startDelegated() {
  auto opened = delegations_->open(reader_.takeBody());
  if (opened.has_error()) {
    core_.log.event("delegation_refused", reactor::steadyNow()).with("why", opened.error().message);
    rejectInput(kUnauthorized, "not_a_delegation");
    return;
  }
  OpenedDelegation& request = opened.value();
  is_bodyless_ = request.head.method == "HEAD";
  exchange_ = std::make_shared<Exchange>(core_, pool_, std::move(request.head),
                                         chargedBody(absl::Cord(std::move(request.body))), this,
                                         std::move(request.terms));
  noteHeldBytes();
  const auto exchange = exchange_;
  exchange->begin();
}

void CallerConnection::sendHead(int status, const std::string& reason, HeaderFields fields,
                                const BodyFraming& framing) {
  if (core_.is_stopping) {
    keeps_alive_ = false;
  }
  is_chunked_ = false;
  const bool has_body = status != kNoContent && status != kNotModified;
  if (framing.length && has_body) {
    fields.push_back({"Content-Length", absl::StrCat(*framing.length)});
  } else if (has_body && !is_bodyless_) {
    is_chunked_ = !framing.ends_at_close && !reader_.head().is_http_1_0;
    keeps_alive_ = keeps_alive_ && is_chunked_;
    if (is_chunked_) {
      fields.push_back({"Transfer-Encoding", "chunked"});
    }
  }
  is_end_detectable_ = is_chunked_ || framing.length.has_value();
  if (!keeps_alive_) {
    fields.push_back({"Connection", "close"});
  }
  if (has_body && !is_bodyless_ && !is_end_detectable_) {
    connection_->resetOnExit();
  }
  connection_->send(
      printResponseHead(status, reason.empty() ? std::string(reasonOf(status)) : reason, fields));
}

void CallerConnection::sendBody(std::string_view bytes) {
  if (is_bodyless_ || bytes.empty()) {
    return;
  }
  if (is_chunked_) {
    connection_->send(printChunk(bytes));
  } else {
    connection_->send(bytes);
  }
}

void CallerConnection::finish() {
  const auto self = shared_from_this();
  if (!is_open_) {
    return;
  }
  if (is_chunked_ && !is_bodyless_) {
    connection_->send(kLastChunk);
  }
  is_chunked_ = false;
  exchange_ = nullptr;
  ++served_;
  noteProgress(reactor::steadyNow());
  if (!keeps_alive_) {
    close(true);
    return;
  }
  if (delegations_ == nullptr) {
    reader_.setLimits(limitsOf(core_));
  }
  reader_.next();
  reader_.take({});
  message_began_ = progressed_;
  noteHeldBytes();
  resumeReading();
  armTimer();
  processInput();
}

void CallerConnection::truncate() {
  const auto self = shared_from_this();
  exchange_ = nullptr;
  close(is_end_detectable_);
}

void CallerConnection::onEnd(reactor::EndKind /*kind*/) {
  const auto self = shared_from_this();
  const auto exchange = std::exchange(exchange_, nullptr);
  if (exchange != nullptr) {
    exchange->onCallerDisconnected();
  }
  close(false);
}

void CallerConnection::onSent() {
  if (exchange_ != nullptr) {
    exchange_->onCallerDrained();
    return;
  }
  const auto self = shared_from_this();
  resumeReading();
  processInput();
}

// Requests that wait here are processed before more of them are read.
void CallerConnection::resumeReading() {
  const bool has_waiting = reader_.status() == ReadStatus::kDone && reader_.unreadBytes() > kMaxUnreadBytes;
  if (!isBackedUp() && !has_waiting) {
    is_paused_ = false;
    connection_->resumeReading();
    noteHeldBytes();
  }
}

void CallerConnection::pauseReading() {
  is_paused_ = true;
  connection_->pauseReading();
  noteHeldBytes();
}

// While nothing is read here, the peer can fill the system's buffer.
size_t CallerConnection::heldInput() {
  return reader_.heldBytes() + (is_paused_ ? connection_->receiveBufferBytes() : 0);
}

bool CallerConnection::isBackedUp() const {
  return connection_->unsentBytes() > kMaxUnsentResponseBytes;
}

void CallerConnection::rejectInput(int status, std::string_view why,
                                   std::optional<absl::Duration> retry_after) {
  keeps_alive_ = false;
  is_bodyless_ = false;
  core_.log.event("bad_input", reactor::steadyNow()).with("status", status).with("why", why);
  core_.metrics.countRefusal(status, why);
  HeaderFields fields;
  if (reader_.headComplete() && delegations_ == nullptr) {
    const std::string attempt_id = core_.dialect->readRequest(reader_.head()).attempt_id;
    if (!attempt_id.empty()) {
      fields.push_back(core_.dialect->attemptField(attempt_id));
    }
  }
  if (retry_after) {
    fields.push_back({"Retry-After", absl::StrFormat("%.2f", absl::ToDoubleSeconds(*retry_after))});
  }
  sendHead(status, std::string(reasonOf(status)), std::move(fields), {.length = 0});
  close(true);
}

RequestBody CallerConnection::chargedBody(absl::Cord bytes) {
  RequestBody body{std::move(bytes), reactor::BufferBudget::Charge(core_.buffers)};
  body.charge.resize(body.bytes.size() + reader_.headBytes());
  return body;
}

void CallerConnection::noteTransfer(absl::Time now) {
  if (received_bytes_ + connection_->writtenBytes() >=
      transferred_at_progress_ + reactor::kShedProgressBytes) {
    noteProgress(now);
  }
}

void CallerConnection::noteProgress(absl::Time now) {
  transferred_at_progress_ = received_bytes_ + connection_->writtenBytes();
  progressed_ = now;
}

// A partially received head has its own timeout; between requests, and while a body pauses, the idle timeout
// applies.
void CallerConnection::armTimer() {
  core_.timers.cancel(timer_);
  const forwarding::CallerLimits limits = callerLimits(core_);
  const bool is_in_head = reader_.started() && !reader_.headComplete();
  const absl::Time due = is_in_head
                             ? reactor::steadyNow() + limits.header_timeout
                             : (reader_.started() ? last_input_ : reactor::steadyNow()) + limits.idle_timeout;
  timer_ = core_.timers.schedule(due, [this] { onTimer(); });
}

void CallerConnection::onTimer() {
  const auto self = shared_from_this();
  if (exchange_ != nullptr || !is_open_) {
    return;
  }
  if (!reader_.started()) {
    close(true);
    return;
  }
  const bool is_body_paused = reactor::steadyNow() >= last_input_ + callerLimits(core_).idle_timeout;
  if (reader_.headComplete() && !is_body_paused) {
    armTimer();
    return;
  }
  rejectInput(kRequestTimeout, reader_.headComplete() ? "body_paused" : "head_too_slow");
}

absl::Time CallerConnection::waitingSince() const {
  const bool is_idle_gateway = delegations_ != nullptr && !reader_.started();
  return exchange_ != nullptr || is_idle_gateway ? absl::InfiniteFuture() : progressed_;
}

reactor::ShedCandidate CallerConnection::shedCandidate(absl::Time now) {
  noteTransfer(now);
  const size_t in_service = exchange_ == nullptr ? 0 : reader_.heldBytes() - reader_.unreadBytes();
  const size_t input = heldInput() - in_service;
  return {input + connection_->unsentBytes(), message_began_, progressed_};
}

void CallerConnection::shed() {
  const auto self = shared_from_this();
  const bool is_taking_responses = connection_->unsentBytes() == 0;
  core_.metrics.countShed(exchange_ != nullptr ? "response" : "request");
  if (exchange_ != nullptr || !is_taking_responses) {
    core_.log.event("shed", reactor::steadyNow())
        .with("unsent", static_cast<int64_t>(connection_->unsentBytes()))
        .with("unread", static_cast<int64_t>(reader_.unreadBytes()));
    onEnd(reactor::EndKind::kBroken);
  } else if (reader_.started()) {
    rejectInput(kUnavailable, kNoRoom, kShedRetryAfter);
  } else {
    close(true);
  }
}

void CallerConnection::closeIfIdle() {
  if (exchange_ == nullptr && !reader_.started() && served_ > 0) {
    const auto self = shared_from_this();
    close(true);
  }
}

void CallerConnection::close(bool linger) {
  if (!is_open_) {
    return;
  }
  is_open_ = false;
  core_.timers.cancel(timer_);
  if (linger) {
    core_.closing_connections.add(connection_, reactor::steadyNow());
  } else {
    connection_->abort();
  }
  closed_(this);
}

}  // namespace quincewick::gateway
