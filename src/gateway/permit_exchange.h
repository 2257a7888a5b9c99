// Takes permits for requests that brittle servers may reject, gives out those that this gateway holds, and
// watches the requests that no server has accepted yet.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <optional>

#include "forwarding/brittleness.h"
#include "gateway/core.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "gateway/soundness_record.h"
#include "quota/shared_permits.h"

namespace quincewick::gateway {

struct PermitResult {
  bool is_granted = false;
  std::optional<uint64_t> permit;  // if granted; nothing: none is needed
  // Denied because nothing is known of the server, and the gateway that decides who finds out doesn't answer.
  bool is_unavailable = false;
  // Denied, and this gateway or one that it asked knows that the server is brittle.
  bool is_brittle = false;
  // If denied and nothing is known of the server: when the holder that decides who finds out can do so.
  absl::Duration retry_after;
};

class PermitExchange {
 public:
  PermitExchange(Core& core, PeerDirectory& directory, PeerExchange& peers);

  void start();

  // Notes what a response of the server says.
  void noteStatement(const forwarding::Server& server, std::optional<uint32_t> max_rejections);
  // Whether a request may be sent to the server with a permit only.
  bool isNeeded(const forwarding::Server& server) const;
  // Whether a server of the service said lately that it is brittle.
  bool isBrittle(const forwarding::ServiceName& service) const;
  // Whether this gateway has ever had a response from the service.
  bool isHeard(const forwarding::ServiceName& service) const { return register_.isHeard(service); }
  // Requests a permit. Calls `on_result` once, perhaps before this returns. `share`: the fraction of the
  // permits that a request of this urgency may use. Returns the number to pass to `cancel`.
  using ResultCallback = std::function<void(const PermitResult& result)>;
  uint64_t acquire(const forwarding::Server& server, double share, ResultCallback on_result);
  void cancel(uint64_t number);
  // Returns a permit of which the request wasn't sent.
  void giveBack(uint64_t permit) { endPermit(permit, quota::PermitEnd::kNeverSent); }

  // A request is sent. `on_lost`: called if it has to end, as it isn't accepted yet and has no permit any
  // more. Returns the number to pass to `noteEnd`.
  uint64_t noteSent(const forwarding::ServerDirectory::ServerPointer& server, std::optional<uint64_t> permit,
                    std::function<void()> on_lost);
  // It was accepted, or ended without that.
  void noteEnd(uint64_t request, quota::PermitEnd how);

  // A request for the service was sent under a permit, or rejected here for want of one.
  void noteDemand(const forwarding::ServiceName& service, bool is_placed);
  // When a request that was rejected here may be placed: the time in which the requests that were rejected
  // lately are placed at the rate of late.
  absl::Duration retryAfter(const forwarding::ServiceName& service) const;
  // The time, and up to a fraction more, so that callers who were rejected together don't return together.
  absl::Duration spreadRetryAfter(absl::Duration time) const;

 private:
  struct UnacceptedRequest {
    forwarding::ServerDirectory::ServerPointer server;
    std::optional<uint64_t> permit;
    std::optional<uint64_t> requested;  // a permit that is asked for since the server became brittle
    absl::Time ends_without_permit = absl::InfiniteFuture();
    std::function<void()> on_lost;
  };
  struct Demand {
    double placed = 0;  // both decay
    double rejected = 0;
    absl::Time as_of = absl::InfinitePast();
  };

  Result<void> receive(const NodeId& from, std::string_view payload);
  void execute(const quota::PermitActions& actions);
  void endPermit(uint64_t permit, quota::PermitEnd how);
  void heartbeat();
  void watch();
  void adopt(uint64_t request);
  void lose(uint64_t request);
  void scheduleTick();
  quota::RejectionTolerance toleranceOf(const forwarding::Server& server, absl::Time now) const;
  static void decay(Demand& demand, absl::Time now);

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  forwarding::BrittlenessRegister register_;
  SoundnessRecord record_;
  quota::SharedPermits permits_;
  bool is_isolated_ = false;
  bool has_watch_ = false;
  absl::Time last_heartbeat_ = absl::InfinitePast();
  absl::flat_hash_map<uint64_t, ResultCallback> waiting_;      // by number of the permit
  absl::btree_map<uint64_t, UnacceptedRequest> unaccepted_;    // by number, the oldest first
  absl::flat_hash_map<uint64_t, uint64_t> request_of_permit_;  // of those
  absl::flat_hash_map<forwarding::ServiceName, Demand> demands_;
  absl::flat_hash_map<forwarding::ServiceName, absl::Time> reported_;  // to the other gateways, when last
  uint64_t last_request_ = 0;
  reactor::TimerQueue::Key timer_;
  absl::Time timer_at_ = absl::InfiniteFuture();
};

}  // namespace quincewick::gateway
