// Follows one table through a peer that reads the store.
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
  using News = std::function<void(const forwarding::TableNews& news)>;
  // The peer gave no answer, or one that is no use.
  using Failed = std::function<void(const NodeId& peer)>;

  // `wait`: how long the peer holds a question that it has no news for.
  RelayFollower(Core& core, PeerDirectory& peers, std::string table, absl::Duration wait, News news,
                Failed failed)
      : core_(core),
        peers_(peers),
        table_(std::move(table)),
        wait_(wait),
        news_(std::move(news)),
        failed_(std::move(failed)) {}

  // Follows that peer from now on; `after`: the version that is known.
  void follow(const NodeId& peer, const Address& address, uint64_t after);
  void stop();

 private:
  void ask();
  void takeAnswer(const Result<reactor::HttpResponse>& reply, Sequence sequence, absl::Time asked);
  void giveUp();

  Core& core_;
  PeerDirectory& peers_;
  std::string table_;
  absl::Duration wait_;
  News news_;
  Failed failed_;
  NodeId peer_;
  std::unique_ptr<reactor::HttpClient> caller_;  // null: nobody is followed
  uint64_t after_ = 0;
  uint64_t readings_ = 0;
  uint64_t turn_ = 0;  // rises with each peer that is followed
};

}  // namespace quincewick::gateway
