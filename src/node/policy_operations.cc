#include "node/policy_operations.h"

#include <absl/time/clock.h>

#include <utility>

#include "configuration/policy.h"

namespace quincewick::node {
namespace {

using configuration::ObjectChange;
using configuration::ObjectKey;

constexpr absl::Duration kChangeTime = absl::Seconds(8);
// In which the node must reach the version that the operator has seen elsewhere.
constexpr absl::Duration kCatchUpTime = absl::Seconds(2);
constexpr absl::Duration kSurveyTime = absl::Milliseconds(300);

http::ChangeRejected rejected(const std::vector<configuration::Diagnostic>& diagnostics) {
  http::ChangeRejected outcome;
  for (const configuration::Diagnostic& diagnostic : diagnostics) {
    outcome.faults.push_back(configuration::printDiagnostic("policy", diagnostic));
  }
  return outcome;
}

// Without an administrator nobody could change operators ever again.
bool keepsAdministrator(const configuration::Policy& policy) {
  for (const auto& [name, person] : policy.operators) {
    if (person.role == configuration::OperatorRole::kAdmin && !person.keys.empty()) {
      return true;
    }
  }
  return false;
}

http::ChangeOutcome toOutcome(ConfigurationHost::Outcome outcome) {
  if (const auto* accepted = std::get_if<configuration::ProposalAccepted>(&outcome)) {
    return http::ChangeAccepted{accepted->version, accepted->changed};
  }
  if (const auto* conflict = std::get_if<configuration::ChangeConflict>(&outcome)) {
    return http::ChangeConflicted{conflict->key.value(), conflict->version, conflict->author};
  }
  if (const auto* invalid = std::get_if<configuration::ProposalInvalid>(&outcome)) {
    return rejected(invalid->diagnostics);
  }
  return std::get<Error>(std::move(outcome));
}

}  // namespace

void PolicyOperations::onInForce(const configuration::Policy& policy) {
  auto access = std::make_shared<const configuration::AccessControl>(policy);
  const absl::MutexLock lock(&mutex_);
  access_ = std::move(access);
}

Result<std::string> PolicyOperations::authorize(std::string_view key, OperatorAction action) const {
  std::shared_ptr<const configuration::AccessControl> access;
  {
    const absl::MutexLock lock(&mutex_);
    access = access_;
  }
  return access->authorizeOperator(key, action, absl::Now());
}

http::PolicyText PolicyOperations::policy() const {
  const ConfigurationView view = host_.view();
  return {view.version, configuration::printPolicy(view.policy)};
}

Result<std::vector<ObjectChange>> PolicyOperations::changesOf(const http::PolicyChange& change,
                                                              std::vector<std::string>& faults) const {
  std::vector<ObjectChange> changes;
  if (const auto* list = std::get_if<std::vector<http::PolicyObjectChange>>(&change.content)) {
    for (const http::PolicyObjectChange& entry : *list) {
      changes.push_back({ObjectKey(entry.key), entry.text});
    }
    return changes;
  }
  const auto wanted = configuration::parsePolicy(std::get<std::string>(change.content));
  if (!wanted.ok()) {
    faults = rejected(wanted.diagnostics).faults;
    return fail(ErrorCode::kInvalidArgument, "the policy has faults");
  }
  const ConfigurationView view = host_.view();
  // While nothing was ever accepted, all of the wanted policy is new, also what the initial one has.
  const configuration::Policy present =
      view.version == ConfigurationVersion() ? configuration::Policy{} : view.policy;
  return configuration::policyDifference(present, *wanted.value);
}

OperatorAction PolicyOperations::requiredAction(const http::PolicyChange& change) const {
  std::vector<std::string> faults;
  const auto changes = changesOf(change, faults);
  return changes ? configuration::requiredAction(changes.value()) : OperatorAction::kChangePolicy;
}

http::ChangeOutcome PolicyOperations::change(const http::PolicyChange& change) {
  if (!host_.waitForVersion(change.base, absl::Now() + kCatchUpTime)) {
    return Error{ErrorCode::kUnavailable, "this node does not hold the base version yet", Execution::kNotRun};
  }
  std::vector<std::string> faults;
  auto changes = changesOf(change, faults);
  if (!changes) {
    return http::ChangeRejected{std::move(faults)};
  }
  return propose(change, change.base, std::move(changes.value()));
}

http::ChangeOutcome PolicyOperations::rollback(ConfigurationVersion version,
                                               const http::PolicyChange& change) {
  const ConfigurationVersion base = host_.view().version;
  auto changes = host_.changesBackTo(version);
  if (!changes) {
    return changes.error();
  }
  return propose(change, base, std::move(changes.value()));
}

http::ChangeOutcome PolicyOperations::propose(const http::PolicyChange& change, ConfigurationVersion base,
                                              std::vector<ObjectChange> changes) {
  const ConfigurationView view = host_.view();
  const configuration::Policy present =
      view.version == ConfigurationVersion() ? configuration::Policy{} : view.policy;
  const auto changed = configuration::changedPolicy(present, changes);
  if (changed.ok() && !keepsAdministrator(*changed.value)) {
    return http::ChangeRejected{{"policy: operators: expected at least one admin with a key"}};
  }
  configuration::ChangeProposed proposal;
  proposal.operation = change.operation;
  proposal.author = change.author;
  proposal.comment = change.comment;
  proposal.base = base;
  proposal.changes = std::move(changes);
  proposal.deadline = absl::Now() + kChangeTime;
  return toOutcome(host_.propose(std::move(proposal)));
}

std::vector<http::ChangeSummary> PolicyOperations::changesAfter(ConfigurationVersion version) const {
  std::vector<http::ChangeSummary> summaries;
  for (const configuration::ChangeRecord& record : host_.changesAfter(version)) {
    http::ChangeSummary summary{record.version, record.operation,   record.author,
                                record.comment, record.accepted_at, {}};
    for (const ObjectChange& change : record.changes) {
      summary.keys.push_back(change.key.value());
    }
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

void PolicyOperations::fillStatus(http::StatusReport& report) {
  host_.survey();
  absl::SleepFor(kSurveyTime);
  const ConfigurationView view = host_.view();
  report.ready = view.ready;
  report.relay = view.relay;
  report.version = view.version;
  report.confirmed_age = view.confirmed_age;
  const absl::Time now = absl::Now();
  for (const configuration::PeerVersion& peer : view.peers) {
    report.nodes.push_back({peer.node, peer.zone, peer.version, now - peer.heard_at});
  }
}

}  // namespace quincewick::node
