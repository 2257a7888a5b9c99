#include "gateway/caller_connection.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace quincewick::gateway {
namespace {

using reactor::MessageKind;
using reactor::MessageLimits;
using reactor::ReadStatus;

constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kRequestTimeout = 408;
constexpr int kTooLarge = 413;
constexpr int kHeaderTooLarge = 431;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
constexpr size_t kMaxUnreadBytes = 65536;  // of pipelined requests
// Of responses, before the next request is read.
constexpr size_t kMaxUnsentResponseBytes = 262144;
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
      reader_(MessageKind::kRequest, delegations == nullptr ? limitsOf(core) : kDelegationLimits) {}

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
  reader_.take(bytes);
  if (exchange_ != nullptr) {
    if (reader_.unreadBytes() > kMaxUnreadBytes) {
      connection_->pauseReading();
    }
    return;
  }
  if (!was_started) {
    armTimer();
  }
  processInput();
}

void CallerConnection::processInput() {
  if (is_reading_) {
    return;
  }
  is_reading_ = true;
  while (is_open_ && exchange_ == nullptr && reader_.status() == ReadStatus::kDone && !isBackedUp()) {
    startExchange();
  }
  is_reading_ = false;
  if (!is_open_ || exchange_ != nullptr) {
    return;
  }
  if (isBackedUp()) {
    connection_->pauseReading();  // until the caller takes its responses
    return;
  }
  switch (reader_.status()) {
    case ReadStatus::kMalformed:
      rejectInput(kBadRequest);
      return;
    case ReadStatus::kHeaderTooLarge:
      rejectInput(kHeaderTooLarge);
      return;
    case ReadStatus::kBodyTooLarge:
      rejectInput(kTooLarge);
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
  std::string body = reader_.takeBody();
  exchange_ = std::make_shared<Exchange>(core_, pool_, std::move(head), std::move(body), this);
  const auto exchange = exchange_;
  exchange->begin();
}

void CallerConnection::startDelegated() {
  auto opened = delegations_->open(reader_.takeBody());
  if (opened.has_error()) {
    core_.log.event("delegation_refused", reactor::steadyNow()).with("why", opened.error().message);
    rejectInput(kUnauthorized);
    return;
  }
  OpenedDelegation& request = opened.value();
  is_bodyless_ = request.head.method == "HEAD";
  exchange_ = std::make_shared<Exchange>(core_, pool_, std::move(request.head), std::move(request.body), this,
                                         std::move(request.terms));
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
  last_served_ = reactor::steadyNow();
  if (!keeps_alive_) {
    close(true);
    return;
  }
  reader_.next();
  reader_.take({});
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
    connection_->resumeReading();
  }
}

bool CallerConnection::isBackedUp() const {
  return connection_->unsentBytes() > kMaxUnsentResponseBytes;
}

void CallerConnection::rejectInput(int status) {
  keeps_alive_ = false;
  is_bodyless_ = false;
  core_.log.event("bad_input", reactor::steadyNow()).with("status", status);
  sendHead(status, std::string(reasonOf(status)), {}, {.length = 0});
  close(true);
}

// A partially received head has its own timeout; between requests the idle timeout applies.
void CallerConnection::armTimer() {
  core_.timers.cancel(timer_);
  const forwarding::CallerLimits limits = callerLimits(core_);
  const absl::Duration limit = reader_.started() ? limits.header_timeout : limits.idle_timeout;
  timer_ = core_.timers.schedule(reactor::steadyNow() + limit, [this] { onTimer(); });
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
  if (reader_.headComplete()) {
    armTimer();  // a body has no timeout of its own
    return;
  }
  rejectInput(kRequestTimeout);
}

absl::Time CallerConnection::idleSince() const {
  const bool is_idle = delegations_ == nullptr && exchange_ == nullptr && !reader_.started() && served_ > 0;
  return is_idle ? last_served_ : absl::InfiniteFuture();
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
