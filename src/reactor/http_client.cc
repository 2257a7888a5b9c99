#include "reactor/http_client.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace quincewick::reactor {
namespace {

constexpr uint32_t kMaxHeaderBytes = 16384;

}  // namespace

HttpClient::~HttpClient() {
  dropConnection();
  timers_.cancel(timeout_timer_);
}

void HttpClient::call(HttpCall call, absl::Duration time_limit, Done done) {
  queue_.push_back({std::move(call), time_limit, std::move(done)});
  startNext();
}

void HttpClient::startNext() {
  if (is_busy_ || queue_.empty()) {
    return;
  }
  is_busy_ = true;
  is_sent_ = false;
  current_ = std::move(queue_.front());
  queue_.pop_front();
  timeout_timer_ = timers_.schedule(steadyNow() + current_.time_limit, [this] {
    finish(fail(ErrorCode::kDeadlineExceeded, "no response in time",
                is_sent_ ? Execution::kUnknown : Execution::kNotRun),
           false);
  });
  if (is_connected_) {
    sendCurrent();
    return;
  }
  connection_ = Connection::connect(reactor_, address_, [this](ConnectResult result) {
    if (result != ConnectResult::kConnected) {
      finish(fail(ErrorCode::kUnavailable, "no connection"), false);
      return;
    }
    is_connected_ = true;
    connection_->start(this);
    sendCurrent();
  });
}

void HttpClient::sendCurrent() {
  reader_ = std::make_unique<MessageReader>(MessageKind::kResponse,
                                            MessageLimits{kMaxHeaderBytes, max_body_bytes_});
  HeaderFields fields = std::move(current_.call.fields);
  fields.push_back({"Host", absl::StrCat(address_.host, ":", address_.port)});
  if (!current_.call.body.empty()) {
    fields.push_back({"Content-Length", absl::StrCat(current_.call.body.size())});
  }
  is_sent_ = true;
  connection_->send(printRequestHead(current_.call.method, current_.call.target, fields) +
                    current_.call.body);
}

void HttpClient::onBytes(std::string_view bytes) {
  if (!is_busy_ || reader_ == nullptr) {
    dropConnection();  // bytes that belong to no request
    return;
  }
  const ReadStatus status = reader_->take(bytes);
  if (status == ReadStatus::kDone) {
    const bool keep = reader_->keepsAlive() && reader_->unreadBytes() == 0 && connection_->isSound() &&
                      connection_->unsentBytes() == 0;
    finish(HttpResponse{reader_->head(), reader_->takeBody()}, keep);
  } else if (status != ReadStatus::kNeedsMore) {
    finish(fail(ErrorCode::kOutcomeUnknown, "response refused: " + std::string(reader_->refusalCause()),
                Execution::kUnknown),
           false);
  }
}

// Only the end of the connection says that such a response is whole.
bool HttpClient::needsDelivery() const {
  return reader_ != nullptr && reader_->endOfBody() == EndOfBody::kInferred;
}

void HttpClient::onEnd(EndKind kind) {
  is_connected_ = false;
  if (!is_busy_) {
    return;
  }
  if (kind == EndKind::kOrderly && reader_ != nullptr && reader_->takeEnd() == ReadStatus::kDone) {
    finish(HttpResponse{reader_->head(), reader_->takeBody()}, false);
    return;
  }
  finish(fail(ErrorCode::kOutcomeUnknown, "the connection closed before the response was complete",
              Execution::kUnknown),
         false);
}

void HttpClient::finish(Result<HttpResponse> result, bool keep_connection) {
  timers_.cancel(timeout_timer_);
  if (!keep_connection) {
    dropConnection();
  }
  reader_ = nullptr;
  const Done done = std::exchange(current_.done, nullptr);
  is_busy_ = false;
  const std::weak_ptr<void> lifetime = lifetime_;
  done(std::move(result));
  if (!lifetime.expired()) {
    startNext();
  }
}

void HttpClient::dropConnection() {
  is_connected_ = false;
  if (connection_ != nullptr) {
    connection_->abort();
    connection_ = nullptr;
  }
}

}  // namespace quincewick::reactor
