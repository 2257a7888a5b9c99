// A connection of a caller, or of another gateway that hands on its callers' requests: processes its requests
// one at a time and writes the responses.
#pragma once

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "gateway/core.h"
#include "gateway/delegations.h"
#include "gateway/exchange.h"
#include "gateway/response_sink.h"
#include "reactor/connection.h"
#include "reactor/message_reader.h"
#include "reactor/shed_plan.h"

namespace quincewick::gateway {

class CallerConnection final : public reactor::ConnectionHandler,
                               public ResponseSink,
                               public std::enable_shared_from_this<CallerConnection> {
 public:
  // Called once, when the connection is closed.
  using Closed = std::function<void(CallerConnection*)>;

  // In the system, until a message proves to be long: all connections together may have sent that much before
  // any of it is read.
  static constexpr size_t kFirstReceiveBufferBytes = 16384;

  // `delegations`: opens the requests of another gateway; null: of a caller.
  CallerConnection(Core& core, BackEndPool& pool, reactor::Connection::Socket socket, Closed closed,
                   Delegations* delegations = nullptr);
  ~CallerConnection() override;

  void start();
  // On shutdown: closes the connection if it is idle and has served a request. Others close after their
  // response.
  void closeIfIdle();
  bool isServing() const { return exchange_ != nullptr; }
  // Since when the peer has neither completed a request nor sent a part that counts as progress; infinite
  // while a request is served, and for an idle connection of another gateway.
  absl::Time waitingSince() const;
  // What closing this connection frees; no bytes while nothing but a whole request is held.
  reactor::ShedCandidate shedCandidate(absl::Time now);
  // Refuses the request that is being received, or gives up a peer that doesn't take its responses, and
  // closes.
  void shed();

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
  void applyLimits();
  void widenReceiveBuffer();
  void resumeReading();
  void pauseReading();
  // The caller doesn't take its responses.
  bool isBackedUp() const;
  void startExchange();
  RequestBody chargedBody(absl::Cord bytes);
  void startDelegated();
  // `retry_after`: for a status that promises that the request was not run.
  void rejectInput(int status, std::string_view why,
                   std::optional<absl::Duration> retry_after = std::nullopt);
  size_t heldInput();
  void noteHeldBytes() { input_charge_.resize(heldInput()); }
  // Bytes sent and received count as progress once they are reactor::kShedProgressBytes.
  void noteTransfer(absl::Time now);
  void noteProgress(absl::Time now);
  void armTimer();
  void onTimer();
  void close(bool linger);

  Core& core_;
  BackEndPool& pool_;
  std::shared_ptr<reactor::Connection> connection_;
  Closed closed_;
  Delegations* delegations_;
  reactor::MessageReader reader_;
  reactor::BufferBudget::Charge input_charge_;
  std::shared_ptr<Exchange> exchange_;
  reactor::TimerQueue::Key timer_;
  bool is_open_ = true;
  bool keeps_alive_ = true;         // after the current response
  bool is_chunked_ = false;         // the current response
  bool is_end_detectable_ = false;  // by a length or chunks: a truncated response doesn't look complete
  bool is_bodyless_ = false;        // a response to HEAD
  bool expects_continue_ = false;
  bool is_paused_ = false;  // nothing is read
  bool has_wide_buffer_ = false;
  bool is_reading_ = false;  // guards against reentry of processInput from a response
  uint64_t served_ = 0;
  uint64_t received_bytes_ = 0;
  uint64_t transferred_at_progress_ = 0;  // received and written
  absl::Time last_input_;
  absl::Time message_began_;
  absl::Time progressed_;
};

}  // namespace quincewick::gateway
