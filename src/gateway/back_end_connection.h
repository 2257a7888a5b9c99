// A connection to a server and the attempt in progress on it, if any.
#pragma once

#include <absl/time/time.h>

#include <memory>
#include <string>

#include "gateway/back_end_pool.h"

namespace quincewick::gateway {

class BackEndConnection final : public reactor::ConnectionHandler,
                                public std::enable_shared_from_this<BackEndConnection> {
 public:
  BackEndConnection(BackEndPool& pool, forwarding::ServerDirectory::ServerPointer server);

  // Starts an attempt, after connecting if there is no connection yet. Returns the attempt's number.
  uint64_t begin(AttemptRequest request, AttemptListener* listener);
  // Closes the connection; the listener is not called any more.
  void close();
  // No effect if the attempt of that number has ended.
  void cancel(uint64_t number);
  void pause(uint64_t number);
  void resume(uint64_t number);

  bool isSound() const { return connection_ != nullptr && connection_->isSound(); }
  absl::Time idleSince() const { return idle_since_; }
  absl::Duration idleLimit() const { return idle_limit_; }
  const forwarding::ServerDirectory::ServerPointer& server() const { return server_; }

 private:
  void onBytes(std::string_view bytes) override;
  void onEnd(reactor::EndKind kind) override;
  bool needsDelivery() const override;

  void connect();
  void onConnectTimeout();
  void notePathInDoubt();
  void recordConnectFailure(reactor::ConnectResult result);
  void sendRequest();
  void processInput();
  bool handleHead();
  void finish();
  void refuseResponse(std::string_view cause);
  void failAttempt();

  BackEndPool& pool_;
  forwarding::ServerDirectory::ServerPointer server_;
  std::shared_ptr<reactor::Connection> connection_;
  reactor::TimerQueue::Key connect_timer_;
  AttemptRequest request_;
  AttemptListener* listener_ = nullptr;
  reactor::MessageReader reader_;
  uint64_t number_ = 0;
  bool is_head_delivered_ = false;
  bool is_closed_ = false;
  uint32_t skipped_responses_ = 0;
  size_t skipped_bytes_ = 0;  // of these
  absl::Time idle_since_ = absl::InfinitePast();
  absl::Duration idle_limit_ = absl::Seconds(4);
};

}  // namespace quincewick::gateway
