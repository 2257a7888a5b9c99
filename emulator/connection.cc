#include "emulator/connection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace quincewick::emulator {
namespace {

bool waitFor(int socket, int16_t what, absl::Duration timeout) {
  pollfd entry{socket, what, 0};
  int ready = 0;
  do {
    ready = poll(&entry, 1, static_cast<int>(absl::ToInt64Milliseconds(timeout)));
  } while (ready < 0 && errno == EINTR);
  return ready > 0;
}

using NameFunction = int (*)(int, sockaddr*, socklen_t*);

void readAddress(NameFunction function, int socket, std::string& ip, int& port) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  if (function(socket, reinterpret_cast<sockaddr*>(&address), &size) != 0 || address.sin_family != AF_INET) {
    return;
  }
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  ip = text.data();
  port = ntohs(address.sin_port);
}

}  // namespace

void Connection::cut() {
  cut_ = true;
  ::shutdown(socket_, SHUT_RDWR);
}

bool Connection::waitForRequest(absl::Duration timeout) const {
  return !cut_ && (buffer_begin_ < buffer_end_ || waitFor(socket_, POLLIN, timeout));
}

bool Connection::is_readable() const {
  return waitForRequest(read_timeout_);
}

bool Connection::is_writable() const {
  return !cut_ && waitFor(socket_, POLLOUT, write_timeout_);
}

ssize_t Connection::read(char* bytes, size_t size) {
  if (buffer_begin_ == buffer_end_) {
    if (!is_readable()) {
      return -1;
    }
    const ssize_t received = ::recv(socket_, buffer_.data(), buffer_.size(), 0);
    if (received <= 0) {
      return received;
    }
    buffer_begin_ = 0;
    buffer_end_ = static_cast<size_t>(received);
  }
  const size_t taken = std::min(size, buffer_end_ - buffer_begin_);
  std::copy_n(buffer_.data() + buffer_begin_, taken, bytes);
  buffer_begin_ += taken;
  return static_cast<ssize_t>(taken);
}

ssize_t Connection::write(const char* bytes, size_t size) {
  if (!is_writable()) {
    return -1;
  }
  return ::send(socket_, bytes, size, MSG_NOSIGNAL);
}

void Connection::get_remote_ip_and_port(std::string& ip, int& port) const {
  readAddress(getpeername, socket_, ip, port);
}

void Connection::get_local_ip_and_port(std::string& ip, int& port) const {
  readAddress(getsockname, socket_, ip, port);
}

}  // namespace quincewick::emulator
