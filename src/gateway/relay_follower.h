// Follows one table through its zone's reader, by long polls.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/peer_directory.h"
#include "reactor/http_client.h"

namespace quincewick::gateway {

class RelayFollower {
 public:
  using UpdateHandler = std::function<void(const forwarding::TableUpdate& update)>;
  // Called when the peer sent no response or an invalid one.
  using FailureHandler = std::function<void(const NodeId& peer)>;

  // `wait`: how long the peer holds a request while it has no update.
  RelayFollower(Core& core, PeerDirectory& peers, std::string table, absl::Duration wait,
                UpdateHandler on_update, FailureHandler on_failure)
      : core_(core),
        peers_(peers),
        table_(std::move(table)),
        wait_(wait),
        on_update_(std::move(on_update)),
        on_failure_(std::move(on_failure)) {}

  // Starts following the peer. `after`: the version that this gateway has already.
  void follow(const NodeId& peer, const Address& address, uint64_t after);
  void stop();

 private:
  void sendRequest();
  void handleResponse(const Result<reactor::HttpResponse>& reply, Sequence sequence, absl::Time sent_at);
  void failPeer();

  Core& core_;
  PeerDirectory& peers_;
  std::string table_;
  absl::Duration wait_;
  UpdateHandler on_update_;
  FailureHandler on_failure_;
  NodeId peer_;
  std::unique_ptr<reactor::HttpClient> caller_;  // null while no peer is followed
  uint64_t after_ = 0;
  uint64_t update_count_ = 0;
  uint64_t generation_ = 0;  // incremented with each start and stop, to discard late responses
};

}  // namespace quincewick::gateway
