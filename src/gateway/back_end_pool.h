// Kept connections to servers, and attempts over them: one request at a time on a connection.
//
// An attempt says exactly what its reply allows: whether a byte of the request may have left, and whether the
// answer is whole. A connection that carries bytes nobody asked for is never used again.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <memory>
#include <string>
#include <vector>

#include "forwarding/request_facts.h"
#include "forwarding/server_directory.h"
#include "gateway/core.h"
#include "reactor/connection.h"
#include "reactor/message_reader.h"

namespace quincewick::gateway {

// Hears of one attempt. After onNeverSent, onResponseEnd or onResponseBroken nothing more comes.
class AttemptListener {
 public:
  AttemptListener() = default;
  AttemptListener(const AttemptListener&) = delete;
  AttemptListener& operator=(const AttemptListener&) = delete;
  virtual ~AttemptListener() = default;

  // The request's first byte leaves now.
  virtual void onSending() = 0;
  // No connection came up: nothing was sent.
  virtual void onNeverSent() = 0;
  virtual void onResponseHead(const HttpHead& head, const forwarding::AnswerFacts& facts) = 0;
  virtual void onResponseBody(std::string bytes) = 0;
  virtual void onResponseEnd() = 0;
  // The connection ended, or carried no answer to this request, after the request was sent.
  virtual void onResponseBroken() = 0;
};

// What goes over the wire for one attempt.
struct AttemptRequest {
  std::string bytes;  // head and body
  std::string attempt_id;
  bool is_head_method = false;  // its answer has no body
  // A request that may run once at most is not sent on a connection that has rested for long.
  bool wants_fresh_connection = false;
};

class BackEndConnection;

// One attempt under way.
class Attempt {
 public:
  // `number` tells the attempt from others that the link carries before and after.
  Attempt(std::shared_ptr<BackEndConnection> connection, uint64_t number)
      : connection_(std::move(connection)), number_(number) {}
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  ~Attempt() { cancel(); }

  // Ends it by closing its connection; the listener hears nothing more.
  void cancel();
  // Stops and goes on taking the answer's bytes, while the caller is slow.
  void pause();
  void resume();

 private:
  std::shared_ptr<BackEndConnection> connection_;
  uint64_t number_;
};

class BackEndPool {
 public:
  explicit BackEndPool(Core& core) : core_(core) {}
  BackEndPool(const BackEndPool&) = delete;
  BackEndPool& operator=(const BackEndPool&) = delete;

  // The listener outlives the attempt or cancels it.
  std::unique_ptr<Attempt> start(const forwarding::ServerDirectory::ServerPointer& server,
                                 AttemptRequest request, AttemptListener* listener);
  // Closes idle connections to servers that are gone, and those that rested too long.
  void sweep(absl::Time now);
  uint64_t openedConnections() const { return opened_; }

 private:
  friend class BackEndConnection;

  struct ServerConnections {
    std::vector<std::shared_ptr<BackEndConnection>> idle;  // the latest used last
    uint32_t open = 0;
  };
  void returnIdle(const std::shared_ptr<BackEndConnection>& connection);
  void remove(const BackEndConnection* connection);

  Core& core_;
  absl::flat_hash_map<uint64_t, ServerConnections> connections_;  // by the server's identity hash
  uint64_t opened_ = 0;
};

}  // namespace quincewick::gateway
