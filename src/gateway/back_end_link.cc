#include "gateway/back_end_link.h"

#include <algorithm>
#include <utility>

#include "gateway/back_pressure_notes.h"

namespace quincewick::gateway {
namespace {

using reactor::MessageKind;
using reactor::MessageLimits;
using reactor::ReadStatus;

constexpr absl::Duration kConnectLimit = absl::Milliseconds(250);
constexpr absl::Duration kSilenceLimit = absl::Seconds(1);
constexpr MessageLimits kAnswerLimits = {65536, uint64_t{1} << 40};
constexpr uint32_t kAnswersSkipped = 3;  // late answers to earlier requests on one connection
constexpr absl::Duration kIdleMargin = absl::Seconds(1);
constexpr absl::Duration kShortestIdle = absl::Milliseconds(300);
constexpr int kFirstFinalStatus = 200;

}  // namespace

BackEndLink::BackEndLink(BackEndPool& pool, forwarding::ServerDirectory::ServerPointer server)
    : pool_(pool), server_(std::move(server)), reader_(MessageKind::kResponse, kAnswerLimits) {}

uint64_t BackEndLink::begin(AttemptRequest request, AttemptListener* listener) {
  const uint64_t number = ++number_;
  request_ = std::move(request);
  listener_ = listener;
  head_told_ = false;
  skipped_answers_ = 0;
  if (connection_ == nullptr) {
    connect();
  } else {
    sendRequest();
  }
  return number;
}

void BackEndLink::connect() {
  const auto self = shared_from_this();
  connect_limit_ = pool_.core_.timers.schedule(reactor::steadyNow() + kConnectLimit, [self] {
    AttemptListener* const listener = self->listener_;
    self->noteUnconnected(reactor::ConnectResult::kFailed);
    self->drop();
    if (listener != nullptr) {
      listener->onNeverSent();
    }
  });
  connection_ = reactor::Connection::connect(
      pool_.core_.reactor, server_->entry.address, [self](reactor::ConnectResult result) {
        self->pool_.core_.timers.cancel(self->connect_limit_);
        const bool connected = result == reactor::ConnectResult::kConnected;
        if (!connected) {
          self->noteUnconnected(result);
        }
        // It may have left, or asked for rest, while the connection was made.
        if (!connected || !self->server_->mayReceive(reactor::steadyNow())) {
          AttemptListener* const listener = self->listener_;
          self->drop();
          if (listener != nullptr) {
            listener->onNeverSent();
          }
          return;
        }
        self->server_->connect_failures = 0;
        self->connection_->dropWhenPeerIsSilent(kSilenceLimit);
        self->connection_->start(self.get());
        self->sendRequest();
      });
}

void BackEndLink::noteUnconnected(reactor::ConnectResult result) {
  const absl::Time now = reactor::steadyNow();
  forwarding::ServerDirectory::noteConnectFailure(*server_, now);
  pool_.core_.log.event("connect_failed", now)
      .with("server", server_->entry.id)
      .with("refused", result == reactor::ConnectResult::kRefused ? "true" : "false");
}

void BackEndLink::sendRequest() {
  const auto self = shared_from_this();
  reader_.next(request_.is_head_method);
  listener_->onSending();
  connection_->send(std::exchange(request_.bytes, std::string()));
}

void BackEndLink::onBytes(std::string_view bytes) {
  const auto self = shared_from_this();
  if (listener_ == nullptr) {
    drop();  // nobody waits for these
    return;
  }
  if (reader_.take(bytes) == ReadStatus::kMalformed || reader_.status() == ReadStatus::kHeaderTooLarge) {
    broken();
    return;
  }
  readOn();
}

void BackEndLink::readOn() {
  while (listener_ != nullptr) {
    if (!reader_.headComplete()) {
      return;
    }
    const bool is_interim = reader_.head().status < kFirstFinalStatus;
    if (is_interim) {
      if (reader_.status() != ReadStatus::kDone) {
        return;
      }
      reader_.next(request_.is_head_method);
      reader_.take({});
      continue;
    }
    if (!head_told_ && !takeHead()) {
      if (reader_.status() != ReadStatus::kDone) {
        return;  // the rest of a late answer to an earlier request
      }
      if (++skipped_answers_ > kAnswersSkipped) {
        broken();
        return;
      }
      reader_.next(request_.is_head_method);
      reader_.take({});
      continue;
    }
    std::string body = reader_.takeBody();
    if (!body.empty() && listener_ != nullptr) {
      listener_->onAnswerBody(std::move(body));
    }
    if (listener_ != nullptr && reader_.status() == ReadStatus::kDone) {
      finish();
    }
    return;
  }
}

// Whether the answer is to this attempt; its head has been told then.
bool BackEndLink::takeHead() {
  const forwarding::AnswerFacts facts = pool_.core_.dialect->readAnswer(reader_.head());
  const bool is_awaited = facts.attempt_id.empty() || facts.attempt_id == request_.attempt_id;
  noteBackPressure(pool_.core_, *server_, facts, is_awaited, reactor::steadyNow());
  if (!is_awaited) {
    reader_.takeBody();
    return false;
  }
  if (facts.idle_limit) {
    idle_limit_ = std::max(*facts.idle_limit - kIdleMargin, kShortestIdle);
  }
  head_told_ = true;
  listener_->onAnswerHead(reader_.head(), facts);
  return true;
}

void BackEndLink::finish() {
  AttemptListener* const listener = std::exchange(listener_, nullptr);
  const bool reusable = reader_.keepsAlive() && !reader_.bodyEndsAtClose() && reader_.unreadBytes() == 0 &&
                        isOpen() && connection_->unsentBytes() == 0;
  if (reusable) {
    idle_since_ = reactor::steadyNow();
    pool_.giveBack(shared_from_this());
  } else {
    drop();
  }
  listener->onAnswerEnd();
}

void BackEndLink::broken() {
  AttemptListener* const listener = std::exchange(listener_, nullptr);
  drop();
  if (listener != nullptr) {
    listener->onAnswerBroken();
  }
}

void BackEndLink::onEnd(reactor::EndKind kind) {
  const auto self = shared_from_this();
  if (listener_ != nullptr && kind == reactor::EndKind::kOrderly && head_told_ &&
      reader_.takeEnd() == ReadStatus::kDone) {
    finish();
    return;
  }
  broken();
}

void BackEndLink::drop() {
  const auto self = shared_from_this();
  listener_ = nullptr;
  if (dropped_) {
    return;
  }
  dropped_ = true;
  pool_.core_.timers.cancel(connect_limit_);
  if (connection_ != nullptr) {
    connection_->abort();
  }
  pool_.forget(this);
}

void BackEndLink::cancel(uint64_t number) {
  if (number == number_ && listener_ != nullptr) {
    drop();
  }
}

void BackEndLink::pause(uint64_t number) {
  if (number == number_ && listener_ != nullptr && connection_ != nullptr) {
    connection_->pauseReading();
  }
}

void BackEndLink::resume(uint64_t number) {
  if (number == number_ && connection_ != nullptr) {
    connection_->resumeReading();
  }
}

}  // namespace quincewick::gateway
