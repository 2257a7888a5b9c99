// Pool of persistent connections to servers, and attempts over them: one request at a time on a connection.
//
// An attempt reports whether any byte of the request may have been sent, and whether the response is
// complete. A connection that receives unsolicited bytes is closed.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/strings/cord.h>
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

// Callbacks of one attempt. onNeverSent, onResponseEnd and onResponseBroken are final.
class AttemptListener {
 public:
  AttemptListener() = default;
  AttemptListener(const AttemptListener&) = delete;
  AttemptListener& operator=(const AttemptListener&) = delete;
  virtual ~AttemptListener() = default;

  // The request is about to be written.
  virtual void onSending() = 0;
  // Nothing was sent: no connection was established, or the server takes no requests any more.
  virtual void onNeverSent() = 0;
  // `end`: how the end of the body will be known.
  virtual void onResponseHead(const HttpHead& head, const forwarding::ResponseFacts& facts,
                              reactor::EndOfBody end) = 0;
  virtual void onResponseBody(std::string bytes) = 0;
  virtual void onResponseEnd() = 0;
  // After the request was sent, the connection ended or carried no valid response to it.
  virtual void onResponseBroken() = 0;
};

// The request as it is sent in one attempt.
struct AttemptRequest {
  absl::Cord bytes;  // head and body
  std::string attempt_id;
  bool is_head_method = false;  // the response has no body
  // Set for a request that may run at most once: a connection that was idle for long isn't used, as the
  // server may be closing it.
  bool wants_fresh_connection = false;
};

class BackEndConnection;

// An attempt in progress.
class Attempt {
 public:
  // `number`: identifies the attempt among those on the same connection.
  Attempt(std::shared_ptr<BackEndConnection> connection, uint64_t number)
      : connection_(std::move(connection)), number_(number) {}
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;
  ~Attempt() { cancel(); }

  // Ends the attempt by closing its connection; the listener is not called any more.
  void cancel();
  // Stop and resume reading the response while the caller is slow.
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

  // The listener must outlive the attempt or cancel it.
  std::unique_ptr<Attempt> start(const forwarding::ServerDirectory::ServerPointer& server,
                                 AttemptRequest request, AttemptListener* listener);
  // Closes idle connections to servers that are no longer listed, and those idle beyond their limit.
  void sweep(absl::Time now);
  uint64_t openedConnections() const { return opened_; }

 private:
  friend class BackEndConnection;

  struct ServerConnections {
    std::vector<std::shared_ptr<BackEndConnection>> idle;  // most recently used last
    uint32_t open = 0;
  };
  void returnIdle(const std::shared_ptr<BackEndConnection>& connection);
  void remove(const BackEndConnection* connection);

  Core& core_;
  absl::flat_hash_map<uint64_t, ServerConnections> connections_;  // by the server's identity hash
  uint64_t opened_ = 0;
};

}  // namespace quincewick::gateway
