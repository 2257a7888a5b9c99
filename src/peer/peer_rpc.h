// Requests between nodes that are too big for a datagram or need an answer: POST /peer over HTTP.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/btree_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "peer/authenticator.h"
#include "types/back_end.h"
#include "types/error.h"

namespace httplib {
class Client;
class Server;
}  // namespace httplib

namespace quincewick::peer {

// Answers requests of other nodes. Its threads call the handlers.
class PeerRpcServer {
 public:
  // Returns the answer, or an Error that the caller gets as it is. Called concurrently.
  using Handler = std::function<Result<std::string>(const Envelope& request)>;
  struct Route {
    PeerModule module;
    Handler handler;
  };

  // Binds to a numeric address (port 0: chosen by the system) and starts to serve with `threads` threads.
  // `authenticator` must outlive the server.
  static Result<std::unique_ptr<PeerRpcServer>> open(const Address& local, Authenticator& authenticator,
                                                     std::vector<Route> routes, uint32_t threads);

  // Stops; running handlers are waited for.
  ~PeerRpcServer();
  PeerRpcServer(const PeerRpcServer&) = delete;
  PeerRpcServer& operator=(const PeerRpcServer&) = delete;

  const Address& localAddress() const { return local_; }

 private:
  PeerRpcServer(Authenticator& authenticator, std::vector<Route> routes);
  Result<std::string> dispatch(const Envelope& request) const;

  Authenticator& authenticator_;
  const std::vector<Route> routes_;
  Address local_;
  std::unique_ptr<httplib::Server> server_;
  std::thread thread_;
};

// Sends requests to other nodes and keeps a few connections open. Thread-safe; a call blocks its thread.
class PeerRpcClient {
 public:
  explicit PeerRpcClient(Authenticator& authenticator);
  ~PeerRpcClient();

  // Returns the handler's answer or its Error. Failures on the way: kUnavailable and not run when no
  // connection was made, else kOutcomeUnknown.
  Result<std::string> call(const NodeId& to, const Address& address, PeerModule module, std::string payload,
                           absl::Duration timeout);

 private:
  std::unique_ptr<httplib::Client> takeClient(const Address& address);
  void returnClient(const Address& address, std::unique_ptr<httplib::Client> client);

  Authenticator& authenticator_;
  absl::Mutex mutex_;
  absl::btree_map<Address, std::vector<std::unique_ptr<httplib::Client>>> idle_ ABSL_GUARDED_BY(mutex_);
  size_t idle_count_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace quincewick::peer
