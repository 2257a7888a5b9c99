// A non-blocking TCP connection on the reactor with a buffer of unsent bytes and one handler. After a handler
// has closed the connection, it gets no further calls.
#pragma once

#include <absl/strings/cord.h>
#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "reactor/buffer_budget.h"
#include "types/back_end.h"

namespace quincewick::reactor {

// How a connection ended.
enum class EndKind : uint8_t {
  kOrderly,  // the peer closed it: all its bytes were received
  kBroken,   // reset by the peer, or timed out, whether that was found while reading or while writing
};

// Outcome of a connection attempt.
enum class ConnectResult : uint8_t {
  kConnected,
  kRefused,  // the machine is up, but nothing listens on the port
  kFailed,   // no response, or another system error
};

class ConnectionHandler {
 public:
  ConnectionHandler() = default;
  ConnectionHandler(const ConnectionHandler&) = delete;
  ConnectionHandler& operator=(const ConnectionHandler&) = delete;
  virtual ~ConnectionHandler() = default;

  virtual void onBytes(std::string_view bytes) = 0;
  virtual void onEnd(EndKind kind) = 0;
  // No bytes are left to send: they were handed to the kernel, or are lost as the connection has failed.
  virtual void onSent() {}
  // Asked when the peer has closed in order: whether that counts only once the peer has acknowledged all sent
  // bytes. A peer that closes before it has them may have ended amid its own, and resets the connection when
  // more arrive.
  virtual bool needsDelivery() const { return false; }
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  explicit Connection(Socket socket);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to the address and calls `done` once with the outcome. After `abort`, `done` isn't called.
  using Connected = std::function<void(ConnectResult result)>;
  static std::shared_ptr<Connection> connect(boost::asio::io_context& reactor, const Address& address,
                                             Connected done);

  // Starts reading. The handler must outlive the connection or detach with `abort` or `closeWhenSent`.
  void start(ConnectionHandler* handler);
  // Breaks the connection when the peer leaves sent data unacknowledged for `timeout` or, on an idle
  // connection, doesn't acknowledge keep-alive probes, which start after 1 s. A peer that lost power or is
  // behind a network partition acknowledges nothing; a slow one still does.
  void dropWhenPeerIsSilent(absl::Duration timeout);

  // Charges unsent bytes to the budget, which must outlive the connection.
  void chargeUnsentTo(BufferBudget& budget) { unsent_charge_ = BufferBudget::Charge(budget); }

  void send(std::string_view bytes);
  // The bytes are shared with the caller, not copied.
  void send(const absl::Cord& bytes);
  size_t unsentBytes() const { return unsent_.size(); }
  // Bytes handed to the system so far.
  uint64_t writtenBytes() const { return written_; }
  // Bytes that the peer hasn't acknowledged, sent or not.
  size_t unacknowledgedBytes();
  // Most bytes that the system holds for this side before they are read.
  size_t receiveBufferBytes();
  void setReceiveBufferBytes(size_t bytes);
  // Bytes received and discarded since `closeWhenSent`.
  uint64_t discardedBytes() const { return discarded_; }
  bool isOpen() const { return open_; }
  // Whether the connection can still carry bytes, as far as is known. One that has failed stays open until
  // the bytes that arrived before are read.
  bool isSound() const { return open_ && !has_failed_; }

  // From now on the peer sees a reset if the process ends before all bytes were handed to the system, or
  // before `closeWhenSent`: for bytes whose receiver takes the connection's end for theirs.
  void resetOnExit();

  void pauseReading() { paused_ = true; }
  void resumeReading();

  // Sends what is left, shuts down the sending side, and reads and discards input until the peer closes.
  void closeWhenSent();
  // Closes at once; the system goes on sending what it was handed.
  void close();
  // Closes at once with a reset; unsent and unread bytes are lost.
  void abort();

 private:
  void awaitReadable();
  void readAvailable();
  void awaitWritable();
  void writeAvailable();
  // Hands over as many bytes as one call takes. Returns their number.
  size_t writeOnce(boost::system::error_code& error);
  void dropUnsent();
  void noteSocketError();
  void endInput();
  void awaitDelivery();
  void end(EndKind kind);
  void finishSending();
  void closeSocket();

  void setOption(int level, int name, int value);

  Socket socket_;
  ConnectionHandler* handler_ = nullptr;
  Connected connected_;
  absl::Cord unsent_;
  BufferBudget::Charge unsent_charge_;
  uint64_t written_ = 0;
  bool open_ = true;
  bool has_failed_ = false;  // the socket met an error, whoever was told of it
  bool paused_ = false;
  bool reading_ = false;    // a wait for readability is pending
  bool writing_ = false;    // a wait for writability is pending
  bool lingering_ = false;  // discards input until the peer closes
  bool resets_on_exit_ = false;
  uint64_t discarded_ = 0;
  std::unique_ptr<boost::asio::steady_timer> delivery_timer_;  // set while the end waits for delivery
};

// Accepts connections at an address. If the address can't be bound, isListening() is false.
class Listener {
 public:
  using Accepted = std::function<void(Connection::Socket)>;
  // Called when the system has no descriptor or memory for a connection that waits: some should be freed.
  using Exhausted = std::function<void()>;

  // `receive_buffer_bytes`: of each accepted connection at first, in the system; 0: the system's own choice.
  Listener(boost::asio::io_context& reactor, const Address& address, Accepted accepted,
           Exhausted exhausted = nullptr, size_t receive_buffer_bytes = 0);
  bool isListening() const { return acceptor_.is_open(); }
  // The bound port; 0 if not listening.
  uint16_t port() const;
  void close();

 private:
  void acceptNext();
  void acceptAfterPause();

  boost::asio::ip::tcp::acceptor acceptor_;
  Accepted accepted_;
  Exhausted exhausted_;
  boost::asio::steady_timer pause_;
};

}  // namespace quincewick::reactor
