// Keeps callers that are slow, or that don't finish their requests, from taking a server's threads and
// memory: those that wait for input without progress give way to others.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstddef>

#include "reactor/buffer_budget.h"
#include "reactor/shed_plan.h"

namespace quincewick::http {

// Thread-safe. One for each server.
class ConnectionGuard {
 public:
  // What one connection holds. Its methods are called by the thread that serves it.
  class Connection {
   public:
    // `guard` must outlive the connection.
    Connection(ConnectionGuard& guard, absl::Time now);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Input of the current request was read. Waits until there is room for it. Returns false if the
    // connection has to give way.
    bool noteRead(size_t bytes, absl::Time now);
    // Whether the connection, which waits for input, has to give way.
    bool mustGiveWay(absl::Time now);
    void setWaiting(bool is_waiting);
    // The response was sent: nothing of the request is held any more.
    void noteRequestOver(absl::Time now);
    // Whether it was told to give way since it began.
    bool hasGivenWay() const;

   private:
    friend class ConnectionGuard;

    void awaitRoom() ABSL_EXCLUSIVE_LOCKS_REQUIRED(guard_.mutex_);

    ConnectionGuard& guard_;
    reactor::BufferBudget::Charge charge_;
    absl::Time began_;
    absl::Time progressed_;
    size_t read_at_progress_ = 0;
    bool is_waiting_ = false;  // for input
    bool gives_way_ = false;
  };

  // `threads`: connections that are served at a time; `input_bytes`: of all requests that are read or
  // handled.
  ConnectionGuard(size_t threads, size_t input_bytes) : threads_(threads), budget_(input_bytes) {}

  // A connection was accepted, and waits for a thread until `noteStarted`.
  void noteAccepted();
  void noteStarted();
  void noteEnded();

 private:
  void makeRoomFor(Connection& growing, absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  // Nothing if none has waited long enough to give up its thread.
  const Connection* longestWaiting(absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const size_t threads_;
  mutable absl::Mutex mutex_;
  reactor::BufferBudget budget_ ABSL_GUARDED_BY(mutex_);
  absl::flat_hash_set<Connection*> connections_ ABSL_GUARDED_BY(mutex_);
  size_t queued_ ABSL_GUARDED_BY(mutex_) = 0;
  size_t served_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace quincewick::http
