// The rollouts of the site's services as one gateway carries them out: which versions its requests may go to,
// what it saw of their answers, and what it is told and tells of it (docs/design/staged_rollout.md).
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
#include "staged_rollout/rollout_course.h"
#include "staged_rollout/traffic_gate.h"

namespace quincewick::gateway {

class RolloutExchange {
 public:
  RolloutExchange(Core& core, PeerExchange& peers);

  static constexpr const char* kTable = "gateway-rollouts";

  void start();

  // The operator's row of a rollout, as it was read.
  void handleOperatorRow(const forwarding::StoreRow& row);
  // What was read of the table of records.
  void takeRecords(const forwarding::TableNews& news);
  // Whether the table was read whole: before, no request is sent.
  bool hasRecords() const { return has_records_; }
  bool isAnyRunning() const;

  // What a request is asked by.
  struct VersionRequest {
    forwarding::ServiceName service;
    std::string_view route;
    double place = 0;        // 0 to 1; the same for all requests of one prompt
    bool is_repeat = false;  // it goes to the base, which is better known
  };
  // The version that a request goes to; its share is taken from now on. Nothing: none may be used.
  std::optional<SoftwareVersion> choose(const VersionRequest& request);
  // The service's servers of that version.
  std::vector<forwarding::ServerDirectory::ServerPointer> serversOf(const forwarding::ServiceName& service,
                                                                    const SoftwareVersion& version) const;
  // Whether a request that was meant for the server may still go there.
  bool mayUse(const forwarding::Server& server) const;

  // An attempt begins at the server, and is over: answered after so long, or failed, or neither (nothing).
  enum class AttemptOutcome : uint8_t { kAnswered, kFailed, kUncounted };
  void noteSent(const forwarding::Server& server);
  void noteOver(const forwarding::Server& server, std::string_view route, bool was_crowded,
                AttemptOutcome end, absl::Duration took);

  // For the decider.
  struct ServiceState {
    explicit ServiceState(staged_rollout::GateSettings settings) : gate(settings) {}

    staged_rollout::TrafficGate gate;
    std::optional<staged_rollout::OperatorsRow> operators_row;
    staged_rollout::AnswerAccount account;
    uint64_t account_request_row = 0;  // the operator's row that it is about
    // Attempts under way, by version.
    absl::flat_hash_map<SoftwareVersion, uint32_t> attempts_in_progress;
    NodeId decider;  // who sent the last notice; empty: nobody yet
    absl::Time account_sent_at = absl::InfinitePast();
    uint64_t confirmed_row = 0;
  };
  absl::btree_map<forwarding::ServiceName, ServiceState>& services() { return services_; }
  RolloutAccount accountOf(const forwarding::ServiceName& service);
  void takeNotice(const NodeId& from, const staged_rollout::RolloutNotice& notice);
  using AccountHandler = std::function<void(const NodeId& from, const RolloutAccount& account)>;
  void setAccountHandler(AccountHandler handler) { account_handler_ = std::move(handler); }
  // Servers of each version that are listed.
  absl::flat_hash_map<SoftwareVersion, size_t> listedVersions(const forwarding::ServiceName& service) const;

 private:
  void tick();
  Result<void> handleMessage(const NodeId& from, std::string_view payload);
  void addServices();
  ServiceState& stateOf(const forwarding::ServiceName& service);
  void takeRecord(const forwarding::StoreRow& row, absl::Time as_of);
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
