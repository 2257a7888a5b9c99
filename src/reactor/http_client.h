// HTTP client of one server: sends one request at a time over a persistent connection, each with a timeout.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "reactor/connection.h"
#include "reactor/message_reader.h"
#include "reactor/timer_queue.h"
#include "types/error.h"
#include "types/http_message.h"

namespace quincewick::reactor {

struct HttpResponse {
  HttpHead head;
  std::string body;
};

class HttpClient final : private ConnectionHandler {
 public:
  // Errors: kUnavailable (not sent), kOutcomeUnknown (sent, no complete response), kDeadlineExceeded (no
  // complete response in time). The callback may destroy the client; calls that are queued then are dropped
  // without a result.
  using Done = std::function<void(Result<HttpResponse>)>;

  // `max_body_bytes`: of a response; a larger one is malformed.
  HttpClient(boost::asio::io_context& reactor, TimerQueue& timers, Address address, uint64_t max_body_bytes)
      : reactor_(reactor), timers_(timers), address_(std::move(address)), max_body_bytes_(max_body_bytes) {}
  ~HttpClient() override;

  // Calls are queued behind the current one; the time limit starts when the call leaves the queue.
  void call(HttpCall call, absl::Duration time_limit, Done done);
  size_t queuedCalls() const { return queue_.size(); }

 private:
  struct QueuedCall {
    HttpCall call;
    absl::Duration time_limit;
    Done done;
  };

  void onBytes(std::string_view bytes) override;
  void onEnd(EndKind kind) override;
  bool needsDelivery() const override;
  void startNext();
  void sendCurrent();
  void finish(Result<HttpResponse> result, bool keep_connection);
  void dropConnection();

  boost::asio::io_context& reactor_;
  TimerQueue& timers_;
  Address address_;
  uint64_t max_body_bytes_;
  std::deque<QueuedCall> queue_;
  bool is_busy_ = false;
  bool is_sent_ = false;
  QueuedCall current_;
  TimerQueue::Key timeout_timer_;
  std::shared_ptr<Connection> connection_;
  bool is_connected_ = false;
  std::unique_ptr<MessageReader> reader_;
  std::shared_ptr<void> lifetime_ = std::make_shared<char>();  // expires with the client
};

}  // namespace quincewick::reactor
