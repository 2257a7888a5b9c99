// Serves the rows that this gateway reads from the store to its zone's followers, so that a zone needs one
// reader. Requests are long polls: each is held until there is an update or its wait ends.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <string>

#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/peer_directory.h"
#include "gateway/relay_messages.h"
#include "gateway/snapshot_limiter.h"
#include "reactor/simple_http_server.h"

namespace quincewick::gateway {

class RowRelay {
 public:
  RowRelay(Core& core, PeerDirectory& peers) : core_(core), peers_(peers) {}

  // Listens on the peer address. Returns false if it can't be bound.
  bool listen(const Address& address);
  // The port that it listens on.
  uint16_t port() const { return server_->port(); }
  // Serves the table from this cache, which must outlive the relay.
  void offer(const std::string& table, const forwarding::RowCache* cache);
  // Called after an update of the table's cache: responds to the requests waiting for it.
  void notifyFollowers(const std::string& table);
  // Whether this gateway is a reader and so serves requests.
  void setServing(bool is_serving) { is_serving_ = is_serving; }
  // Called when this gateway stops reading: refuses all waiting requests.
  void refuseAll();

 private:
  struct PendingRequest {
    RelayRequest request;
    bool wants_packed = false;
    bool wants_copy_state = false;
    NodeId requester;
    Sequence sequence;  // of the sealed request
    absl::Time received_at;
    reactor::SimpleHttpServer::Respond respond;
    reactor::TimerQueue::Key wait;
  };

  void handleRequest(const HttpHead& head, const std::string& body,
                     const reactor::SimpleHttpServer::Respond& respond);
  void enqueue(PendingRequest pending);
  void sendWaitingSnapshots();
  // Whether the response is a snapshot of a large table, of which only a limited number are sent at once.
  bool isLargeSnapshot(const PendingRequest& pending) const;
  RelayResponse responseWithoutRows(const PendingRequest& pending, absl::Time now) const;
  std::string plainResponse(const PendingRequest& pending, absl::Time now) const;
  std::string packedResponse(const PendingRequest& pending, absl::Time now);
  const std::string& packedRowsFor(const RelayRequest& request);
  bool hasUpdate(const RelayRequest& request) const;
  void sendResponse(PendingRequest& pending);
  void refuse(const reactor::SimpleHttpServer::Respond& respond, int status) const;

  Core& core_;
  PeerDirectory& peers_;
  std::unique_ptr<reactor::SimpleHttpServer> server_;
  absl::flat_hash_map<std::string, const forwarding::RowCache*> caches_;  // by table
  std::list<PendingRequest> pending_;
  std::list<PendingRequest> waiting_for_snapshot_;
  SnapshotLimiter snapshot_limiter_;
  // The packed rows for followers that have all changes up to `after`, at the table's current version.
  struct Packed {
    uint64_t after = 0;
    uint64_t version = 0;
    std::string bytes;
  };
  absl::flat_hash_map<std::string, std::deque<Packed>> packed_;  // by table
  bool is_serving_ = false;
};

}  // namespace quincewick::gateway
