// One TCP connection on the reactor: reads without blocking, keeps what could not be written yet, and tells
// its one handler. A handler that closes the connection hears nothing more of it.
#pragma once

#include <absl/time/time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "types/back_end.h"

namespace quincewick::reactor {

// How the other side ended a connection.
enum class EndKind : uint8_t {
  kOrderly,  // it closed: all its bytes have come
  kBroken,   // reset, or given up by the system
};

// What came of a try to connect.
enum class ConnectResult : uint8_t {
  kConnected,
  kRefused,  // the machine answers, and nothing listens there
  kFailed,   // nothing was heard, or the system gave up
};

class ConnectionHandler {
 public:
  ConnectionHandler() = default;
  ConnectionHandler(const ConnectionHandler&) = delete;
  ConnectionHandler& operator=(const ConnectionHandler&) = delete;
  virtual ~ConnectionHandler() = default;

  virtual void onBytes(std::string_view bytes) = 0;
  virtual void onEnd(EndKind kind) = 0;
  // All that was sent has gone to the system.
  virtual void onSent() {}
};

class Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  explicit Connection(Socket socket);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Connects to the address; the callback hears once what came of it. `abort` ends the try unheard.
  using Connected = std::function<void(ConnectResult result)>;
  static std::shared_ptr<Connection> connect(boost::asio::io_context& reactor, const Address& address,
                                             Connected done);

  // Begins to read. The handler outlives the connection or detaches by `close`.
  void start(ConnectionHandler* handler);
  // Breaks the connection when the other side is silent: it acknowledges neither what was sent, for so long,
  // nor, while nothing is under way, a probe that goes out after a second of rest. A machine without power or
  // behind a cut says nothing; one that only takes its time acknowledges.
  void dropWhenPeerIsSilent(absl::Duration timeout);

  void send(std::string_view bytes);
  size_t unsentBytes() const { return unsent_.size() - unsent_begin_; }
  bool isOpen() const { return open_; }

  void pauseReading() { paused_ = true; }
  void resumeReading();

  // Sends what is left, ends the sending side, and takes in what still comes for a short while.
  void closeWhenSent();
  // Closes at once; what is unsent or unread is lost and the other side sees a reset.
  void abort();

 private:
  void awaitReadable();
  void readAvailable();
  void awaitWritable();
  void writeAvailable();
  void end(EndKind kind);
  void finishSending();
  void closeSocket();

  void setOption(int level, int name, int value);

  Socket socket_;
  ConnectionHandler* handler_ = nullptr;
  Connected connected_;
  std::string unsent_;
  size_t unsent_begin_ = 0;
  bool open_ = true;
  bool paused_ = false;
  bool reading_ = false;    // a wait for input is under way
  bool writing_ = false;    // a wait for room is under way
  bool lingering_ = false;  // only the end of the other side is awaited
};

// Takes connections at an address and hands them on. Errors: kUnavailable.
class Listener {
 public:
  using Accepted = std::function<void(Connection::Socket)>;

  Listener(boost::asio::io_context& reactor, const Address& address, Accepted accepted);
  // The port in use; nothing if the address could not be bound.
  bool isListening() const { return acceptor_.is_open(); }
  uint16_t port() const;
  void close();

 private:
  void acceptNext();

  boost::asio::io_context& reactor_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Accepted accepted_;
};

}  // namespace quincewick::reactor
