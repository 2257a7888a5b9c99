#include "gateway/back_end_connection.h"

#include <algorithm>
#include <utility>

#include "gateway/back_pressure_notes.h"
#include "gateway/path_prober.h"

namespace quincewick::gateway {
namespace {

using reactor::MessageKind;
using reactor::MessageLimits;
using reactor::ReadStatus;

constexpr absl::Duration kConnectTimeout = absl::Milliseconds(250);
// Without an answer for this time the path to the server is in doubt.
constexpr absl::Duration kSlowConnect = absl::Milliseconds(60);
constexpr absl::Duration kSilenceTimeout = absl::Seconds(1);
constexpr MessageLimits kResponseLimits = {65536, uint64_t{1} << 40};
constexpr uint32_t kMaxSkippedResponses = 3;  // late responses to earlier requests on one connection
constexpr size_t kMaxSkippedBytes = size_t{1} << 20;
constexpr absl::Duration kIdleMargin = absl::Seconds(1);
constexpr absl::Duration kMinIdleLimit = absl::Milliseconds(300);

}  // namespace

BackEndConnection::BackEndConnection(BackEndPool& pool, forwarding::ServerDirectory::ServerPointer server)
    : pool_(pool), server_(std::move(server)), reader_(MessageKind::kResponse, kResponseLimits) {}

uint64_t BackEndConnection::begin(AttemptRequest request, AttemptListener* listener) {
  const uint64_t number = ++number_;
  request_ = std::move(request);
  listener_ = listener;
  is_head_delivered_ = false;
  skipped_responses_ = 0;
  skipped_bytes_ = 0;
  if (connection_ == nullptr) {
    connect();
  } else {
    sendRequest();
  }
  return number;
}

void BackEndConnection::connect() {
  const auto self = shared_from_this();
  connect_timer_ = pool_.core_.timers.schedule(reactor::steadyNow() + kSlowConnect, [self] {
    self->notePathInDoubt();
    self->connect_timer_ = self->pool_.core_.timers.schedule(
        reactor::steadyNow() + kConnectTimeout - kSlowConnect, [self] { self->onConnectTimeout(); });
  });
  connection_ = reactor::Connection::connect(
      pool_.core_.reactor, server_->entry.address, [self](reactor::ConnectResult result) {
        self->pool_.core_.timers.cancel(self->connect_timer_);
        const bool connected = result == reactor::ConnectResult::kConnected;
        if (!connected) {
          self->recordConnectFailure(result);
        }
        // The server may have left or asked for a back-off period while the connection was being established.
        if (!connected || !self->server_->mayReceive(reactor::steadyNow())) {
          AttemptListener* const listener = self->listener_;
          self->close();
          if (listener != nullptr) {
            listener->onNeverSent();
          }
          return;
        }
        self->server_->connect_failures = 0;
        if (!self->server_->is_gateway) {
          self->pool_.core_.paths->noteConnected(*self->server_);
        }
        self->connection_->dropWhenPeerIsSilent(kSilenceTimeout);
        self->connection_->start(self.get());
        self->sendRequest();
      });
}

void BackEndConnection::onConnectTimeout() {
  AttemptListener* const listener = listener_;
  recordConnectFailure(reactor::ConnectResult::kFailed);
  close();
  if (listener != nullptr) {
    listener->onNeverSent();
  }
}

void BackEndConnection::notePathInDoubt() {
  if (!server_->is_gateway) {
    pool_.core_.paths->noteDoubt(*server_);
  }
}

void BackEndConnection::recordConnectFailure(reactor::ConnectResult result) {
  const absl::Time now = reactor::steadyNow();
  forwarding::ServerDirectory::noteConnectFailure(*server_, now);
  if (!server_->is_gateway) {
    pool_.core_.paths->noteConnectFailed(server_);
  }
  pool_.core_.log.event("connect_failed", now)
      .with("server", server_->entry.id)
      .with("service", server_->entry.service.value())
      .with("refused", result == reactor::ConnectResult::kRefused ? "true" : "false");
}

void BackEndConnection::sendRequest() {
  const auto self = shared_from_this();
  reader_.next(request_.is_head_method);
  listener_->onSending();
  connection_->send(std::exchange(request_.bytes, absl::Cord()));
}

void BackEndConnection::onBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (!server_->is_gateway) {
    pool_.core_.paths->noteReceived(*server_);
  }
  if (listener_ == nullptr) {
    close();  // no attempt is in progress
    return;
  }
  reader_.take(bytes);
  processInput();
}

void BackEndConnection::processInput() {
  while (listener_ != nullptr) {
    if (reader_.status() != ReadStatus::kNeedsMore && reader_.status() != ReadStatus::kDone) {
      refuseResponse(reader_.refusalCause());
      return;
    }
    if (!reader_.headComplete()) {
      return;
    }
    if (!is_head_delivered_ && !handleHead()) {
      if (skipped_bytes_ > kMaxSkippedBytes) {
        refuseResponse("late_response_too_long");
        return;
      }
      if (reader_.status() != ReadStatus::kDone) {
        return;  // more of a late response to an earlier request follows
      }
      if (++skipped_responses_ > kMaxSkippedResponses) {
        refuseResponse("late_responses");
        return;
      }
      reader_.next(request_.is_head_method);
      reader_.take({});
      continue;
    }
    std::string body = reader_.takeBody();
    if (!body.empty() && listener_ != nullptr) {
      listener_->onResponseBody(std::move(body));
    }
    if (listener_ != nullptr && reader_.status() == ReadStatus::kDone) {
      finish();
    }
    return;
  }
}

// Whether the response belongs to this attempt; its head has been delivered then.
bool BackEndConnection::handleHead() {
  const forwarding::ResponseFacts facts = pool_.core_.dialect->readResponse(reader_.head());
  const bool is_awaited = facts.attempt_id.empty() || facts.attempt_id == request_.attempt_id;
  if (!server_->is_gateway) {
    noteBackPressure(pool_.core_, *server_, facts, is_awaited, reactor::steadyNow());
  }
  if (!is_awaited) {
    skipped_bytes_ += reader_.takeBody().size();
    return false;
  }
  if (facts.idle_limit) {
    idle_limit_ = std::max(*facts.idle_limit - kIdleMargin, kMinIdleLimit);
  }
  is_head_delivered_ = true;
  listener_->onResponseHead(reader_.head(), facts, reader_.endOfBody());
  return true;
}

void BackEndConnection::finish() {
  AttemptListener* const listener = std::exchange(listener_, nullptr);
  const bool reusable = reader_.keepsAlive() && reader_.endOfBody() == reactor::EndOfBody::kProven &&
                        reader_.unreadBytes() == 0 && isSound() && connection_->unsentBytes() == 0;
  if (reusable) {
    connection_->resumeReading();  // a slow caller may have paused it at the last bytes
    idle_since_ = reactor::steadyNow();
    pool_.returnIdle(shared_from_this());
  } else {
    close();
  }
  listener->onResponseEnd();
}

// What the server sends is no answer to the attempt: like a connection that broke.
void BackEndConnection::refuseResponse(std::string_view cause) {
  pool_.core_.noteRefusedResponse(*server_, request_.attempt_id, cause);
  failAttempt();
}

void BackEndConnection::failAttempt() {
  AttemptListener* const listener = std::exchange(listener_, nullptr);
  close();
  if (listener != nullptr) {
    listener->onResponseBroken();
  }
}

// Only the end of the connection says that such an answer is whole.
bool BackEndConnection::needsDelivery() const {
  return is_head_delivered_ && reader_.endOfBody() == reactor::EndOfBody::kInferred;
}

void BackEndConnection::onEnd(reactor::EndKind kind) {
  const auto self = shared_from_this();
  if (listener_ != nullptr && kind == reactor::EndKind::kOrderly && is_head_delivered_ &&
      reader_.takeEnd() == ReadStatus::kDone) {
    finish();
    return;
  }
  if (kind == reactor::EndKind::kBroken) {
    notePathInDoubt();
  }
  failAttempt();
}

void BackEndConnection::close() {
  const auto self = shared_from_this();
  listener_ = nullptr;
  if (is_closed_) {
    return;
  }
  is_closed_ = true;
  pool_.core_.timers.cancel(connect_timer_);
  if (connection_ != nullptr) {
    connection_->abort();
  }
  pool_.remove(this);
}

void BackEndConnection::cancel(uint64_t number) {
  if (number == number_ && listener_ != nullptr) {
    close();
  }
}

void BackEndConnection::pause(uint64_t number) {
  if (number == number_ && listener_ != nullptr && connection_ != nullptr) {
    connection_->pauseReading();
  }
}

void BackEndConnection::resume(uint64_t number) {
  if (number == number_ && connection_ != nullptr) {
    connection_->resumeReading();
  }
}

}  // namespace quincewick::gateway
