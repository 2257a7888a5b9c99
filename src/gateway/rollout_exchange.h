// One gateway's part in the rollouts of the site's services: which versions its requests may use, its counts
// of their responses, and the messages exchanged with the decider (docs/design/staged_rollout.md).
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/row_cache.h"
#include "gateway/core.h"
#include "gateway/peer_exchange.h"
#include "gateway/refused_rows.h"
#include "gateway/rollout_messages.h"
#include "staged_rollout/rollout_state_machine.h"
#include "staged_rollout/traffic_splitter.h"

namespace quincewick::gateway {

class RolloutExchange {
 public:
  RolloutExchange(Core& core, PeerExchange& peers);

  static constexpr const char* kTable = "gateway-rollouts";

  void start();

  // Handles the operator's rollout request row as read from the store.
  void handleOperatorRow(const forwarding::StoreRow& row);
  // Handles an update of the table of rollout records.
  void handleRecords(const forwarding::TableUpdate& news);
  // Whether a snapshot of the table was read. No request is sent before that.
  bool hasRecords() const { return has_records_; }
  bool isAnyRunning() const;

  // The properties of a request that determine its version.
  struct VersionRequest {
    forwarding::ServiceName service;
    std::string_view route;
    double prompt_position = 0;  // in [0, 1]; the same for all requests with one prompt
    bool is_repeat = false;      // sent to the baseline version, which is better known
  };
  // Returns the version to send the request to, and counts it towards that version's share. Empty if no
  // version may be used.
  std::optional<SoftwareVersion> choose(const VersionRequest& request);
  // The service's servers that run the version.
  std::vector<forwarding::ServerDirectory::ServerPointer> serversOf(const forwarding::ServiceName& service,
                                                                    const SoftwareVersion& version) const;
  // Whether a request that was assigned to the server may still be sent there.
  bool mayUse(const forwarding::Server& server);

  // Record the start and the end of an attempt at the server. `took`: the time until the response.
  // kUncounted: the attempt ended by neither a response nor a failure of the server, and is not counted.
  enum class AttemptOutcome : uint8_t { kAnswered, kFailed, kUncounted };
  void noteSent(const forwarding::Server& server);
  void noteOver(const forwarding::Server& server, std::string_view route, bool was_crowded,
                AttemptOutcome outcome, absl::Duration took);

  // One service's rollout state, also used by RolloutController.
  struct ServiceState {
    explicit ServiceState(staged_rollout::TrafficSplitterSettings settings) : gate(settings) {}

    staged_rollout::TrafficSplitter gate;
    std::optional<staged_rollout::OperatorRequestRow> operators_row;
    staged_rollout::ResponseStats account;
    uint64_t account_request_row = 0;  // the operator's row that `account` is for
    // Attempts in progress by version.
    absl::flat_hash_map<SoftwareVersion, uint32_t> attempts_in_progress;
    NodeId decider;  // the sender of the last notice; empty before the first
    absl::Time account_sent_at = absl::InfinitePast();
    uint64_t confirmed_row = 0;
  };
  absl::btree_map<forwarding::ServiceName, ServiceState>& services() { return services_; }
  RolloutAccount accountOf(const forwarding::ServiceName& service);
  void handleNotice(const NodeId& from, const staged_rollout::RolloutNotice& notice);
  using AccountHandler = std::function<void(const NodeId& from, const RolloutAccount& account)>;
  void setAccountHandler(AccountHandler handler) { account_handler_ = std::move(handler); }
  // Number of listed servers by version.
  absl::flat_hash_map<SoftwareVersion, size_t> listedVersions(const forwarding::ServiceName& service) const;

 private:
  void tick();
  Result<void> handleMessage(const NodeId& from, std::string_view payload);
  void addServices();
  ServiceState& stateOf(const forwarding::ServiceName& service);
  // The same; while no record is known, its base version is that of most servers.
  ServiceState& stateWithBase(const forwarding::ServiceName& service);
  void applyRecord(const forwarding::StoreRow& row, absl::Time as_of);
  void noteChange(const staged_rollout::KnownRecord* before, ServiceState& state, std::string_view by);
  void noteConfirmed(ServiceState& state);
  void sendAccount(const forwarding::ServiceName& service, ServiceState& state, absl::Time now);

  Core& core_;
  PeerExchange& peers_;
  RefusedRows refused_records_;
  RefusedRows refused_requests_;
  AccountHandler account_handler_ = [](const NodeId&, const RolloutAccount&) {};
  uint64_t incarnation_;
  bool has_records_ = false;
  absl::btree_map<forwarding::ServiceName, ServiceState> services_;
};

}  // namespace quincewick::gateway
