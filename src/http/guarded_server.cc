#include "http/guarded_server.h"

#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <memory>
#include <string>
#include <utility>

namespace quincewick::http {
namespace {

constexpr size_t kReadBytes = 16384;
// How often a connection that waits is checked for having to give way.
constexpr absl::Duration kWaitSlice = absl::Milliseconds(50);
// Of what follows a response that closes its connection: a reset would take the response from its caller.
constexpr absl::Duration kMaxDrainTime = absl::Seconds(1);
constexpr size_t kMaxDrainBytes = 262144;

void endpointOf(const sockaddr_storage& address, std::string& ip, int& port) {
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (address.ss_family == AF_INET) {
    const auto& v4 = reinterpret_cast<const sockaddr_in&>(address);
    inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
    port = ntohs(v4.sin_port);
  } else if (address.ss_family == AF_INET6) {
    const auto& v6 = reinterpret_cast<const sockaddr_in6&>(address);
    inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
    port = ntohs(v6.sin6_port);
  }
  ip = text.data();
}

// One connection's socket, as httplib reads and writes it.
class GuardedStream final : public httplib::Stream {
 public:
  GuardedStream(ConnectionGuard& guard, socket_t socket, absl::Duration read_timeout,
                absl::Duration write_timeout)
      : connection_(guard, absl::Now()),
        socket_(socket),
        read_timeout_(read_timeout),
        write_timeout_(write_timeout) {}

  // Waits for the next request. Returns false if there is none in time.
  bool awaitRequest(absl::Duration timeout) { return begin_ < end_ || awaitInput(timeout); }
  void noteRequestOver() { connection_.noteRequestOver(absl::Now()); }
  bool hasGivenWay() const { return connection_.hasGivenWay(); }
  void closeAfterResponse() { is_last_ = true; }
  bool isLast() const { return is_last_; }
  // Ends sending, and reads for a moment what is still sent.
  void drain() {
    ::shutdown(socket_, SHUT_WR);
    const absl::Time end = absl::Now() + kMaxDrainTime;
    for (size_t drained = 0; drained < kMaxDrainBytes && awaitInput(end - absl::Now());) {
      const ssize_t size = recv(socket_, buffer_.data(), buffer_.size(), 0);
      if (size <= 0) {
        return;
      }
      drained += static_cast<size_t>(size);
    }
  }

  bool is_readable() const override { return begin_ < end_ || isReady(POLLIN, absl::ZeroDuration()); }
  bool is_writable() const override { return isReady(POLLOUT, write_timeout_); }
  ssize_t read(char* bytes, size_t size) override {
    if (begin_ == end_ && !fill()) {
      return -1;
    }
    const size_t taken = std::min(size, end_ - begin_);
    std::memcpy(bytes, buffer_.data() + begin_, taken);
    begin_ += taken;
    return static_cast<ssize_t>(taken);
  }
  ssize_t write(const char* bytes, size_t size) override {
    return is_writable() ? ::send(socket_, bytes, size, MSG_NOSIGNAL) : -1;
  }
  void get_remote_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getpeername(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
      endpointOf(address, ip, port);
    }
  }
  void get_local_ip_and_port(std::string& ip, int& port) const override {
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    if (getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
      endpointOf(address, ip, port);
    }
  }
  socket_t socket() const override { return socket_; }

 private:
  bool isReady(short events, absl::Duration timeout) const {  // NOLINT: poll's type
    pollfd state = {socket_, events, 0};
    const int milliseconds = static_cast<int>(absl::ToInt64Milliseconds(timeout));
    int ready = poll(&state, 1, milliseconds);
    while (ready < 0 && errno == EINTR) {
      ready = poll(&state, 1, milliseconds);
    }
    return ready > 0;
  }

  bool awaitInput(absl::Duration timeout) {
    const absl::Time end = absl::Now() + timeout;
    connection_.setWaiting(true);
    bool is_ready = false;
    while (!is_ready && absl::Now() < end && !connection_.mustGiveWay(absl::Now())) {
      is_ready = isReady(POLLIN, std::min(kWaitSlice, end - absl::Now()));
    }
    connection_.setWaiting(false);
    return is_ready;
  }

  bool fill() {
    if (!awaitInput(read_timeout_)) {
      return false;
    }
    const ssize_t size = recv(socket_, buffer_.data(), buffer_.size(), 0);
    begin_ = 0;
    end_ = size > 0 ? static_cast<size_t>(size) : 0;
    return size > 0 && connection_.noteRead(end_, absl::Now());
  }

  ConnectionGuard::Connection connection_;
  socket_t socket_;
  absl::Duration read_timeout_;
  absl::Duration write_timeout_;
  std::array<char, kReadBytes> buffer_{};
  size_t begin_ = 0;
  size_t end_ = 0;
  bool is_last_ = false;
};

thread_local GuardedStream* current_stream = nullptr;

// Tells the guard which connections wait for a thread, and which have one.
class GuardedThreads final : public httplib::TaskQueue {
 public:
  GuardedThreads(ConnectionGuard& guard, size_t threads) : guard_(guard), pool_(threads) {}

  void enqueue(std::function<void()> serve) override {
    guard_.noteAccepted();
    pool_.enqueue([this, serve = std::move(serve)] {
      guard_.noteStarted();
      serve();
      guard_.noteEnded();
    });
  }
  void shutdown() override { pool_.shutdown(); }

 private:
  ConnectionGuard& guard_;
  httplib::ThreadPool pool_;
};

}  // namespace

GuardedServer::GuardedServer(size_t threads, size_t input_bytes) : guard_(threads, input_bytes) {
  new_task_queue = [this, threads] { return new GuardedThreads(guard_, threads); };
}

bool GuardedServer::closeAfterResponse() {
  if (current_stream == nullptr) {
    return false;
  }
  current_stream->closeAfterResponse();
  return true;
}

bool GuardedServer::hasGivenWay() {
  return current_stream != nullptr && current_stream->hasGivenWay();
}

bool GuardedServer::process_and_close_socket(socket_t socket) {
  const auto stream = std::make_unique<GuardedStream>(
      guard_, socket, absl::Seconds(read_timeout_sec_) + absl::Microseconds(read_timeout_usec_),
      absl::Seconds(write_timeout_sec_) + absl::Microseconds(write_timeout_usec_));
  current_stream = stream.get();
  bool is_served = false;
  size_t left = keep_alive_max_count_;
  while (svr_sock_ != INVALID_SOCKET && left > 0 &&
         stream->awaitRequest(absl::Seconds(keep_alive_timeout_sec_))) {
    bool is_closed = false;
    is_served = process_request(*stream, left == 1, is_closed, nullptr);
    stream->noteRequestOver();
    if (!is_served || is_closed || stream->isLast() || stream->hasGivenWay()) {
      break;
    }
    --left;
  }
  if (stream->isLast() || stream->hasGivenWay()) {
    stream->drain();
  }
  current_stream = nullptr;
  ::shutdown(socket, SHUT_RDWR);
  ::close(socket);
  return is_served;
}

}  // namespace quincewick::http
