// One accepted connection of a stand-in, which can be cut from another thread.
#pragma once

#include <absl/time/time.h>
#include <httplib.h>

#include <array>
#include <atomic>
#include <string>

namespace quincewick::emulator {

// Reads and writes one socket with time limits. `cut` may be called from any thread while the socket is open;
// everything else belongs to the connection's own thread. Doesn't own the socket.
class Connection : public httplib::Stream {
 public:
  Connection(int socket, absl::Duration read_timeout, absl::Duration write_timeout)
      : socket_(socket), read_timeout_(read_timeout), write_timeout_(write_timeout) {}

  // Ends the connection at once: what was not yet written is never sent.
  void cut();
  bool isCut() const { return cut_; }

  // Waits for the first byte of the next request. False when none came in time or the connection ended.
  bool waitForRequest(absl::Duration timeout) const;

  bool is_readable() const override;  // NOLINT(readability-identifier-naming)
  bool is_writable() const override;  // NOLINT(readability-identifier-naming)
  ssize_t read(char* bytes, size_t size) override;
  ssize_t write(const char* bytes, size_t size) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;  // NOLINT
  void get_local_ip_and_port(std::string& ip, int& port) const override;   // NOLINT
  socket_t socket() const override { return socket_; }

 private:
  static constexpr size_t kBufferBytes = 4096;

  const int socket_;
  const absl::Duration read_timeout_;
  const absl::Duration write_timeout_;
  std::atomic<bool> cut_ = false;
  std::array<char, kBufferBytes> buffer_{};
  size_t buffer_begin_ = 0;
  size_t buffer_end_ = 0;
};

}  // namespace quincewick::emulator
