// Connections that nobody uses any more and whose last bytes are on their way to the peer.
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "reactor/connection.h"

namespace quincewick::reactor {

// Decides how long a connection is kept open after its last response. Does no I/O and reads no clock.
class CloseProgress {
 public:
  // A peer that takes no byte for this time is given up.
  static constexpr absl::Duration kMaxStall = absl::Seconds(5);
  // How long a peer that has everything may send nothing before the connection is closed under it.
  static constexpr absl::Duration kLinger = absl::Seconds(1);
  // How long a peer that has everything may go on sending, at most: it may read a rejection only after its
  // request.
  static constexpr absl::Duration kMaxDrain = absl::Seconds(5);

  explicit CloseProgress(absl::Time now) : last_progress_(now) {}

  // `unacknowledged`: bytes that the peer hasn't acknowledged; `discarded`: bytes received and discarded so
  // far.
  void note(size_t unacknowledged, uint64_t discarded, absl::Time now);
  // The peer has acknowledged all bytes.
  bool isDelivered() const { return delivered_ != absl::InfiniteFuture(); }
  bool isOver(absl::Time now) const;
  absl::Time lastProgress() const { return last_progress_; }

 private:
  size_t unacknowledged_ = SIZE_MAX;
  uint64_t discarded_ = 0;
  absl::Time last_progress_;
  absl::Time delivered_ = absl::InfiniteFuture();
};

class ClosingConnections {
 public:
  static constexpr size_t kMaxConnections = 512;

  // More than `max_connections` make room by their oldest, so that they don't use up the process's
  // descriptors.
  explicit ClosingConnections(size_t max_connections = kMaxConnections) : max_connections_(max_connections) {}

  // Closes the connection when its unsent bytes are delivered, or its peer takes no more.
  void add(std::shared_ptr<Connection> connection, absl::Time now);
  // Called every few hundred milliseconds.
  void sweep(absl::Time now);
  // Resets connections with unsent bytes, those without progress for longest first, while `is_needed` says
  // so.
  void dropUndelivered(const std::function<bool()>& is_needed);

  // Closes one that is delivered, or else resets the one without progress for longest. There must be one.
  void makeRoom();

  size_t size() const { return closing_.size(); }
  bool areAllDelivered() const;

 private:
  struct Closing {
    std::shared_ptr<Connection> connection;
    CloseProgress progress;
  };
  size_t max_connections_;
  std::list<Closing> closing_;
};

}  // namespace quincewick::reactor
