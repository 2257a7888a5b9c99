// A connection of a caller, or of another gateway that hands on its callers' requests: processes its requests
// one at a time and writes the responses.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>

#include "gateway/core.h"
#include "gateway/delegations.h"
#include "gateway/exchange.h"
#include "gateway/response_sink.h"
#include "reactor/connection.h"
#include "reactor/message_reader.h"

namespace quincewick::gateway {

class CallerConnection final : public reactor::ConnectionHandler,
                               public ResponseSink,
                               public std::enable_shared_from_this<CallerConnection> {
 public:
  // Called once, when the connection is closed.
  using Closed = std::function<void(CallerConnection*)>;

  // `delegations`: opens the requests of another gateway; null: of a caller.
  CallerConnection(Core& core, BackEndPool& pool, reactor::Connection::Socket socket, Closed closed,
                   Delegations* delegations = nullptr);
  ~CallerConnection() override;

  void start();
  // On shutdown: closes the connection if it is idle and has served a request. Others close after their
  // response.
  void closeIfIdle();
  bool isServing() const { return exchange_ != nullptr; }
  // Since when a caller that was served here has sent nothing; infinite if that isn't so.
  absl::Time idleSince() const;

  void sendHead(int status, const std::string& reason, HeaderFields fields,
                const BodyFraming& framing) override;
  void sendBody(std::string_view bytes) override;
  void finish() override;
  void truncate() override;
  size_t unsentBytes() const override { return connection_->unsentBytes(); }

 private:
  void onBytes(std::string_view bytes) override;
  void onEnd(reactor::EndKind kind) override;
  void onSent() override;

  void processInput();
  void resumeReading();
  // The caller doesn't take its responses.
  bool isBackedUp() const;
  void startExchange();
  void startDelegated();
  void rejectInput(int status);
  void armTimer();
  void onTimer();
  void close(bool linger);

  Core& core_;
  BackEndPool& pool_;
  std::shared_ptr<reactor::Connection> connection_;
  Closed closed_;
  Delegations* delegations_;
  reactor::MessageReader reader_;
  std::shared_ptr<Exchange> exchange_;
  reactor::TimerQueue::Key timer_;
  bool is_open_ = true;
  bool keeps_alive_ = true;         // after the current response
  bool is_chunked_ = false;         // the current response
  bool is_end_detectable_ = false;  // by a length or chunks: a truncated response doesn't look complete
  bool is_bodyless_ = false;        // a response to HEAD
  bool expects_continue_ = false;
  bool is_reading_ = false;  // guards against reentry of processInput from a response
  uint64_t served_ = 0;
  absl::Time last_served_ = absl::InfinitePast();
};

}  // namespace quincewick::gateway
