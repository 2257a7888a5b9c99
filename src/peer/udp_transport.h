// Datagrams to and from other processes.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "peer/envelope.h"
#include "types/back_end.h"
#include "types/error.h"

namespace quincewick::peer {

struct UdpCounters {
  uint64_t datagrams_sent = 0;
  uint64_t bytes_sent = 0;
  uint64_t datagrams_received = 0;
  uint64_t bytes_received = 0;
  uint64_t queue_full = 0;   // not sent: the queue was full
  uint64_t send_errors = 0;  // not sent: bad address, or refused by the system
  uint64_t too_long = 0;     // not sent or received: above kMaximumDatagramSize
};

// One socket and one thread. send() may be called from any thread and never waits.
class UdpTransport {
 public:
  // Called on the transport's thread for each datagram; must not block.
  using Receiver = std::function<void(const Address& from, std::string bytes)>;

  // Binds to a numeric address; port 0 lets the system choose one. kInvalidArgument for a bad address,
  // kUnavailable when it can't be bound. Reception starts at once.
  static Result<std::unique_ptr<UdpTransport>> open(const Address& local, Receiver receiver);

  // Stops the thread; the receiver isn't called after.
  ~UdpTransport();
  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;

  // Queues one datagram. False when it was dropped at once; true promises nothing.
  bool send(const Address& to, std::string bytes);

  // The address that was bound, with its port.
  const Address& localAddress() const { return local_; }
  UdpCounters counters() const;

 private:
  class Socket;
  UdpTransport(std::unique_ptr<Socket> socket, Address local);

  std::unique_ptr<Socket> socket_;
  Address local_;
};

}  // namespace quincewick::peer
