#include "simulation/operators.h"

#include <absl/random/distributions.h>
#include <absl/strings/match.h>
#include <absl/strings/str_format.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "configuration/store_format.h"

namespace quincewick::simulation {
namespace {

constexpr double kSecondsPerDay = 86'400;
constexpr absl::Duration kProposalTime = absl::Seconds(20);
constexpr int kMostTries = 32;  // to find a node that is ready

uint64_t digestOf(const std::string& record) {
  return XXH3_64bits(record.data(), record.size());
}

}  // namespace

Operators::Operators(EventQueue& queue, const Topology& topology, PlatformHost& platform,
                     ControlSite& control, PromiseObserver& observer, const loadgen::Workload& workload,
                     double changes_per_day, uint64_t seed)
    : queue_(queue),
      topology_(topology),
      control_(control),
      observer_(observer),
      workload_(workload),
      changes_per_day_(changes_per_day),
      random_(componentRandom(seed, "operators")),
      nodes_(topology.nodes.size()) {
  constexpr uint64_t kNoContent = 0;
  observer_.configurationAccepted(ConfigurationVersion(), kNoContent);
  platform.setWriteHandler([this](const TableWrite& write) { onWrite(write); });
}

void Operators::onWrite(const TableWrite& write) {
  if (!absl::StartsWith(write.key, configuration::kLogPrefix)) {
    return;
  }
  const Result<configuration::ChangeRecord> record = configuration::decodeRecord(*write.value);
  if (record.has_error()) {
    return;
  }
  const uint64_t content = digestOf(*write.value);
  accepted_.try_emplace(record.value().version, Accepted{queue_.now(), content});
  observer_.configurationAccepted(record.value().version, content);
}

void Operators::start() {
  std::vector<configuration::ObjectChange> changes;
  for (const loadgen::TenantSpecification& tenant : workload_.tenants) {
    changes.push_back({configuration::ObjectKey("tenants/" + tenant.id.value()), tenantText()});
  }
  propose(chooseReadyNode(), ConfigurationVersion(), std::move(changes));
  if (changes_per_day_ > 0) {
    queue_.scheduleAfter(absl::Seconds(kSecondsPerDay / changes_per_day_), [this] { changeOneTenant(); });
  }
}

void Operators::changeOneTenant() {
  const size_t tenant = absl::Uniform<size_t>(random_, 0, workload_.tenants.size());
  const NodeIndex node = chooseReadyNode();
  if (control_.isRunning(node)) {
    propose(node, control_.plane(node)->configuration().version(),
            {{configuration::ObjectKey("tenants/" + workload_.tenants[tenant].id.value()), tenantText()}});
  }
  const absl::Duration gap = absl::Seconds(absl::Exponential(random_, changes_per_day_ / kSecondsPerDay));
  queue_.scheduleAfter(gap, [this] { changeOneTenant(); });
}

void Operators::race(uint32_t operators) {
  const size_t tenant = absl::Uniform<size_t>(random_, 0, workload_.tenants.size());
  const configuration::ObjectKey key("tenants/" + workload_.tenants[tenant].id.value());
  for (uint32_t place = 0; place < operators; ++place) {
    const NodeIndex node = chooseReadyNode();
    if (control_.isRunning(node)) {
      propose(node, control_.plane(node)->configuration().version(), {{key, tenantText()}});
    }
  }
}

void Operators::propose(NodeIndex node, ConfigurationVersion base,
                        std::vector<configuration::ObjectChange> changes) {
  ++next_proposal_;
  configuration::ChangeProposed proposal;
  proposal.id = configuration::ProposalId(next_proposal_);
  proposal.operation = OperationId(absl::StrFormat("operation-%d", next_proposal_));
  proposal.author = "operator";
  proposal.base = base;
  proposal.changes = std::move(changes);
  proposal.deadline = queue_.now() + kProposalTime;
  control_.handle(node, proposal);
}

NodeIndex Operators::chooseReadyNode() {
  NodeIndex node = 0;
  for (int tries = 0; tries < kMostTries; ++tries) {
    node = absl::Uniform<NodeIndex>(random_, 0, static_cast<NodeIndex>(topology_.nodes.size()));
    if (control_.isRunning(node) && control_.plane(node)->configuration().isReady()) {
      break;
    }
  }
  return node;
}

std::string Operators::tenantText() {
  constexpr uint32_t kAmpleRequests = 100'000;
  const uint64_t high = absl::Uniform<uint64_t>(random_);
  const uint64_t low = absl::Uniform<uint64_t>(random_);
  return absl::StrFormat(
      "{labels: {size: small}, weight: %d, limits: {requests_per_second: %d}, "
      "caller_keys: [{sha256: %016x%016x%016x%016x}]}",
      1 + high % 4, kAmpleRequests + low % kAmpleRequests, high, low, ~high, ~low);
}

void Operators::onVersionInForce(NodeIndex node) {
  const configuration::ConfigurationReplica& replica = control_.plane(node)->configuration();
  if (!replica.isReady()) {
    return;
  }
  const ConfigurationVersion version = replica.version();
  const auto truth = accepted_.find(version);
  uint64_t content = truth == accepted_.end() ? 0 : truth->second.content;
  if (!replica.history().empty() && replica.history().back().version == version) {
    content = digestOf(configuration::encodeRecord(replica.history().back()));
  }
  observer_.configurationInForce(node, version, content);
  NodeState& state = nodes_[node];
  const bool same_life = std::exchange(state.life, control_.life(node)) == control_.life(node);
  // What a node catches up with after its start is not counted.
  if (same_life && std::exchange(state.has_version, true)) {
    for (auto entry = accepted_.upper_bound(state.in_force);
         entry != accepted_.end() && entry->first <= version; ++entry) {
      statistics_.in_force_seconds.add(absl::ToDoubleSeconds(queue_.now() - entry->second.at));
    }
  }
  state.has_version = true;
  state.in_force = version;
}

void Operators::onProposalFinished(const configuration::ProposalFinished& finished) {
  if (std::holds_alternative<configuration::ProposalAccepted>(finished.outcome)) {
    ++statistics_.accepted;
  } else if (std::holds_alternative<configuration::ChangeConflict>(finished.outcome)) {
    ++statistics_.conflicting;
  } else {
    ++statistics_.failed;
  }
}

}  // namespace quincewick::simulation
