#include "reactor/connection.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <absl/container/inlined_vector.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <chrono>
#include <utility>

namespace quincewick::reactor {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr size_t kReadBytes = 16384;
constexpr int kMaxConsecutiveReads = 4;    // on one connection before others get their turn
constexpr size_t kMaxGatheredPieces = 64;  // of one call that writes
constexpr int kAcceptBacklog = 1024;
// Idle time before the first keep-alive probe and interval between probes; the system's minimum.
constexpr int kProbeSeconds = 1;
constexpr int kMaxUnansweredProbes = 2;
constexpr std::chrono::milliseconds kDeliveryCheckInterval{5};
// Before connections are accepted again after the system had no descriptor or memory for one.
constexpr std::chrono::milliseconds kAcceptPause{20};

// A reactor has one thread, so one buffer serves all its connections; handlers must copy what they keep.
std::array<char, kReadBytes>& sharedBuffer() {
  thread_local std::array<char, kReadBytes> buffer;
  return buffer;
}

bool isRetry(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again ||
         error == asio::error::interrupted;
}

ConnectResult resultOf(const error_code& failure) {
  if (!failure) {
    return ConnectResult::kConnected;
  }
  return failure == asio::error::connection_refused ? ConnectResult::kRefused : ConnectResult::kFailed;
}

void configureSocket(tcp::socket& socket) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
}

}  // namespace

Connection::Connection(Socket socket) : socket_(std::move(socket)) {}

std::shared_ptr<Connection> Connection::connect(asio::io_context& reactor, const Address& address,
                                                Connected done) {
  auto connection = std::make_shared<Connection>(Socket(reactor));
  connection->connected_ = std::move(done);
  error_code error;
  const auto ip = asio::ip::make_address(address.host, error);
  connection->socket_.async_connect(tcp::endpoint(ip, address.port), [connection](const error_code& failure) {
    auto callback = std::exchange(connection->connected_, nullptr);
    if (!connection->open_ || !callback) {
      return;
    }
    configureSocket(connection->socket_);
    callback(resultOf(failure));
  });
  return connection;
}

void Connection::start(ConnectionHandler* handler) {
  handler_ = handler;
  configureSocket(socket_);
  awaitReadable();
}

void Connection::dropWhenPeerIsSilent(absl::Duration timeout) {
  setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(absl::ToInt64Milliseconds(timeout)));
  setOption(SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  setOption(IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  setOption(IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
}

void Connection::setOption(int level, int name, int value) {
  setsockopt(socket_.native_handle(), level, name, &value, sizeof(value));
}

void Connection::awaitReadable() {
  if (!open_ || paused_ || reading_) {
    return;
  }
  reading_ = true;
  socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& error) {
    self->reading_ = false;
    if (self->open_ && !error) {
      self->readAvailable();
    }
  });
}

void Connection::readAvailable() {
  for (int count = 0; count < kMaxConsecutiveReads && open_ && !paused_; ++count) {
    error_code error;
    const size_t size = socket_.read_some(asio::buffer(sharedBuffer()), error);
    if (isRetry(error)) {
      break;
    }
    if (error == asio::error::eof) {
      endInput();
      return;
    }
    if (error) {
      end(EndKind::kBroken);
      return;
    }
    if (lingering_) {
      discarded_ += size;
    } else if (handler_ != nullptr) {
      handler_->onBytes({sharedBuffer().data(), size});
    }
    if (size < kReadBytes) {
      break;
    }
  }
  awaitReadable();
}

void Connection::resumeReading() {
  paused_ = false;
  awaitReadable();
}

void Connection::send(std::string_view bytes) {
  send(absl::Cord(absl::string_view(bytes.data(), bytes.size())));
}

void Connection::send(const absl::Cord& bytes) {
  if (!open_) {
    return;
  }
  const bool idle = unsentBytes() == 0;
  unsent_.Append(bytes);
  if (idle && !writing_) {
    writeAvailable();
  } else {
    unsent_charge_.resize(unsent_.size());
  }
}

void Connection::awaitWritable() {
  writing_ = true;
  socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const error_code& error) {
    self->writing_ = false;
    if (self->open_ && !error) {
      self->writeAvailable();
      if (self->open_ && self->unsentBytes() == 0 && self->handler_ != nullptr) {
        self->handler_->onSent();
      }
    }
  });
}

// The system closes the sockets of a process that ends, however it ends.
void Connection::resetOnExit() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  resets_on_exit_ = true;
}

// The end is left to the reading side, which first reads what the peer sent before the failure. The system
// reports a socket's error once: a read that follows the failed write sees an orderly end.
void Connection::writeAvailable() {
  while (unsentBytes() > 0) {
    error_code error;
    const size_t sent = writeOnce(error);
    if (isRetry(error)) {
      unsent_charge_.resize(unsent_.size());
      awaitWritable();
      return;
    }
    if (error) {
      has_failed_ = true;
      break;
    }
    unsent_.RemovePrefix(sent);
    written_ += sent;
  }
  dropUnsent();
  if (lingering_) {
    finishSending();
  }
}

size_t Connection::writeOnce(error_code& error) {
  absl::InlinedVector<asio::const_buffer, kMaxGatheredPieces> pieces;
  for (const absl::string_view piece : unsent_.Chunks()) {
    if (pieces.size() == kMaxGatheredPieces) {
      break;
    }
    pieces.emplace_back(piece.data(), piece.size());
  }
  return socket_.write_some(pieces, error);
}

void Connection::dropUnsent() {
  unsent_.Clear();
  unsent_charge_.resize(0);
}

void Connection::closeWhenSent() {
  if (!open_ || lingering_) {
    return;
  }
  lingering_ = true;
  handler_ = nullptr;
  paused_ = false;
  if (unsentBytes() == 0) {
    finishSending();
  }
  awaitReadable();
}

void Connection::finishSending() {
  error_code ignored;
  if (std::exchange(resets_on_exit_, false)) {
    socket_.set_option(asio::socket_base::linger(false, 0), ignored);
  }
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

// A reset that follows the peer's close isn't reported to reads.
void Connection::noteSocketError() {
  int pending = 0;
  socklen_t size = sizeof(pending);
  const bool is_known = getsockopt(socket_.native_handle(), SOL_SOCKET, SO_ERROR, &pending, &size) == 0;
  has_failed_ = has_failed_ || (is_known && pending != 0);
}

void Connection::endInput() {
  noteSocketError();
  const bool awaits_delivery = !has_failed_ && handler_ != nullptr && handler_->needsDelivery();
  if (awaits_delivery && unacknowledgedBytes() > 0) {
    awaitDelivery();
  } else {
    end(EndKind::kOrderly);
  }
}

// The system doesn't tell when the last byte is acknowledged.
void Connection::awaitDelivery() {
  delivery_timer_ = std::make_unique<asio::steady_timer>(socket_.get_executor(), kDeliveryCheckInterval);
  delivery_timer_->async_wait([self = shared_from_this()](const error_code& error) {
    if (self->open_ && !error) {
      self->endInput();
    }
  });
}

void Connection::end(EndKind kind) {
  kind = has_failed_ ? EndKind::kBroken : kind;
  ConnectionHandler* const handler = std::exchange(handler_, nullptr);
  const auto self = shared_from_this();
  closeSocket();
  if (handler != nullptr) {
    handler->onEnd(kind);
  }
}

size_t Connection::unacknowledgedBytes() {
  int handed_over = 0;
  const bool is_known = open_ && ioctl(socket_.native_handle(), SIOCOUTQ, &handed_over) == 0;
  return unsentBytes() + (is_known ? static_cast<size_t>(handed_over) : 0);
}

size_t Connection::receiveBufferBytes() {
  int bytes = 0;
  socklen_t size = sizeof(bytes);
  const bool is_known =
      open_ && getsockopt(socket_.native_handle(), SOL_SOCKET, SO_RCVBUF, &bytes, &size) == 0;
  return is_known ? static_cast<size_t>(bytes) : 0;
}

void Connection::setReceiveBufferBytes(size_t bytes) {
  setOption(SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
}

void Connection::close() {
  handler_ = nullptr;
  connected_ = nullptr;
  if (open_) {
    closeSocket();
  }
}

void Connection::abort() {
  handler_ = nullptr;
  connected_ = nullptr;
  if (!open_) {
    return;
  }
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  closeSocket();
}

void Connection::closeSocket() {
  open_ = false;
  dropUnsent();
  delivery_timer_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
}

Listener::Listener(asio::io_context& reactor, const Address& address, Accepted accepted, Exhausted exhausted,
                   size_t receive_buffer_bytes)
    : acceptor_(reactor), accepted_(std::move(accepted)), exhausted_(std::move(exhausted)), pause_(reactor) {
  error_code error;
  const tcp::endpoint endpoint(asio::ip::make_address(address.host, error), address.port);
  acceptor_.open(endpoint.protocol(), error);
  acceptor_.set_option(asio::socket_base::reuse_address(true), error);
  if (receive_buffer_bytes > 0) {
    error_code ignored;
    acceptor_.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(receive_buffer_bytes)),
                         ignored);
  }
  acceptor_.bind(endpoint, error);
  if (!error) {
    acceptor_.listen(kAcceptBacklog, error);
  }
  if (error) {
    close();
    return;
  }
  acceptNext();
}

uint16_t Listener::port() const {
  error_code ignored;
  return acceptor_.local_endpoint(ignored).port();
}

void Listener::close() {
  error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

void Listener::acceptNext() {
  acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (error) {
      acceptAfterPause();
      return;
    }
    accepted_(std::move(socket));
    acceptNext();
  });
}

// A connection that waits makes each further attempt fail at once.
void Listener::acceptAfterPause() {
  if (exhausted_) {
    exhausted_();
  }
  pause_.expires_after(kAcceptPause);
  pause_.async_wait([this](const error_code& error) {
    if (!error && acceptor_.is_open()) {
      acceptNext();
    }
  });
}

}  // namespace quincewick::reactor
