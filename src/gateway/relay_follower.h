// Follows one table through its zone's reader, by long polls.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/peer_directory.h"
#include "reactor/http_client.h"

namespace quincewick::gateway {

class RelayFollower {
 public:
  // Returns whether the copy needs a snapshot.
  using UpdateHandler = std::function<bool(const forwarding::TableUpdate& update)>;
  // Called when the peer noticed a restore of the store that this gateway hasn't noticed since.
  using RestoreHandler = std::function<void()>;
  // Called when the peer sent no response or an invalid one.
  using FailureHandler = std::function<void(const NodeId& peer)>;

  // `wait`: how long the peer holds a request while it has no update.
  RelayFollower(Core& core, PeerDirectory& peers, std::string table, absl::Duration wait,
                UpdateHandler on_update, RestoreHandler on_restore, FailureHandler on_failure)
      : core_(core),
        peers_(peers),
        table_(std::move(table)),
        wait_(wait),
        on_update_(std::move(on_update)),
        on_restore_(std::move(on_restore)),
        on_failure_(std::move(on_failure)) {}

  // Starts following the peer. `after`: the version that this gateway has already.
  void follow(const NodeId& peer, const Address& address, uint64_t after);
  void stop();

 private:
  void sendRequest();
  void handleResponse(const Result<reactor::HttpResponse>& reply, Sequence sequence, absl::Time sent_at);
  void noteRestores(uint64_t restores);
  void failPeer();

  Core& core_;
  PeerDirectory& peers_;
  std::string table_;
  absl::Duration wait_;
  UpdateHandler on_update_;
  RestoreHandler on_restore_;
  FailureHandler on_failure_;
  NodeId peer_;
  std::unique_ptr<reactor::HttpClient> caller_;  // null while no peer is followed
  uint64_t after_ = 0;                           // in the peer's numbering; 0: request a snapshot
  uint64_t update_count_ = 0;
  std::optional<uint64_t> peer_restores_;  // of the store, noticed by the peer
  uint64_t own_restores_ = 0;              // noticed by this gateway, at that response
  absl::Time snapshot_requested_ = absl::InfinitePast();
  uint64_t generation_ = 0;  // incremented with each start and stop, to discard late responses
};

}  // namespace quincewick::gateway
