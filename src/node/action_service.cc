#include "node/action_service.h"

#include <absl/hash/hash.h>
#include <glog/logging.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "configuration/access_control.h"

namespace quincewick::node {
namespace {

constexpr absl::Duration kRetryAfterClaimRefused = absl::Seconds(1);
constexpr absl::Duration kRetryAfterInProgress = absl::Seconds(2);

constexpr size_t kLookupTries = 3;
constexpr int kFirstServerErrorStatus = 500;

Error serverFailed(int status) {
  return Error{ErrorCode::kUnavailable, "action server: status " + std::to_string(status),
               Execution::kUnknown};
}

Error retryLater(Error error, absl::Duration retry_after) {
  error.retry_after = retry_after;
  return error;
}

http::ActionAnswer answerOf(const engine::ActionReply& reply, bool is_repeat) {
  return http::ActionAnswer{reply.status, reply.body, is_repeat};
}

Error claimRefused() {
  return retryLater(Error{ErrorCode::kUnavailable, "the action could not be claimed", Execution::kNotRun},
                    kRetryAfterClaimRefused);
}

// What a repeat of a claimed key is told.
Result<http::ActionAnswer> answerFromClaim(const ActionClaim& claim, const std::string& body_hash) {
  if (claim.body_hash != body_hash) {
    return fail(ErrorCode::kConflict, "the idempotency key was used with another body");
  }
  if (claim.reply.has_value()) {
    return answerOf(*claim.reply, true);
  }
  const Error error{ErrorCode::kOutcomeUnknown, "the action is in progress or its outcome was lost",
                    Execution::kUnknown};
  return outcome::failure(retryLater(error, kRetryAfterInProgress));
}

}  // namespace

Result<http::ActionAnswer> ActionService::run(const http::ActionCall& call) {
  const std::shared_ptr<const PolicyInForce> policy = resources_.policies.current();
  if (policy == nullptr) {
    return fail(ErrorCode::kUnavailable, "no policy is in force yet");
  }
  const auto kind = policy->policy.request_kinds.find(call.kind);
  const bool is_action =
      kind != policy->policy.request_kinds.end() && kind->second.type == configuration::RequestType::kAction;
  if (!is_action) {
    return fail(ErrorCode::kNotFound, "no such kind of action: " + call.kind.value());
  }
  if (kind->second.isRepeatable()) {
    return runRepeatable(call);
  }
  if (call.key.empty()) {
    return fail(ErrorCode::kInvalidArgument, "this kind of action needs an Idempotency-Key");
  }
  return runOnce(call);
}

Result<http::ActionAnswer> ActionService::runRepeatable(const http::ActionCall& call) {
  BOOST_OUTCOME_TRY(servers, serversFor(call));
  const engine::ActionRequest request{call.tenant, call.kind, call.key, call.body};
  Error last_error;
  for (size_t tries = 0; tries < std::max(servers.size(), kLookupTries); ++tries) {
    const BackEnd& server = servers[tries % servers.size()];
    Result<engine::ActionReply> reply = resources_.channel.lookUp(server.address, request);
    if (reply.has_value() && reply.value().status < kFirstServerErrorStatus) {
      return answerOf(reply.value(), false);
    }
    last_error = reply.has_error() ? std::move(reply).error() : serverFailed(reply.value().status);
    LOG(WARNING) << "event=lookup_failed trace=" << call.id << " server=" << server.id
                 << " type=" << errorCodeName(last_error.code);
  }
  return outcome::failure(last_error);
}

Result<ActionService::ClaimOutcome> ActionService::claim(const std::string& key, const ActionClaim& claim) {
  const TableTransaction transaction{{{key, kAbsentItemVersion}}, {{key, encodeActionClaim(claim)}}};
  const PlatformResult result = resources_.platform.call(transaction);
  if (const auto* committed = std::get_if<TableCommitted>(&result)) {
    return ClaimOutcome{committed->versions.front(), std::nullopt};
  }
  if (const auto* conflict = std::get_if<TableConflict>(&result)) {
    return claimOutcome(conflict->items, claim);
  }
  const auto* error = std::get_if<Error>(&result);
  if (error != nullptr && error->code == ErrorCode::kOutcomeUnknown) {
    const PlatformResult read_back = resources_.platform.call(TableRead{{key}});
    if (const auto* items = std::get_if<TableItems>(&read_back)) {
      return claimOutcome(items->items, claim);
    }
  }
  // Not claimed for all that is known, so nothing is sent. Should the claim have been written all the same,
  // it is nobody's: repeats are told that the outcome is unknown.
  return outcome::failure(claimRefused());
}

Result<ActionService::ClaimOutcome> ActionService::claimOutcome(const std::vector<TableItem>& items,
                                                                const ActionClaim& wanted) {
  if (items.empty() || items.front().version == kAbsentItemVersion) {
    return outcome::failure(claimRefused());
  }
  BOOST_OUTCOME_TRY(held, decodeActionClaim(items.front().value));
  if (held.claimant == wanted.claimant) {
    return ClaimOutcome{items.front().version, std::nullopt};
  }
  return ClaimOutcome{items.front().version, std::move(held)};
}

Result<http::ActionAnswer> ActionService::runOnce(const http::ActionCall& call) {
  const std::string key = actionClaimKey(call.tenant, call.kind, call.key);
  ActionClaim own_claim{configuration::hashKey(call.body), call.id, std::nullopt};
  BOOST_OUTCOME_TRY(claimed, claim(key, own_claim));
  if (claimed.held_by_other.has_value()) {
    resources_.metrics.actionFinished(true);
    return answerFromClaim(*claimed.held_by_other, own_claim.body_hash);
  }
  const TableCondition still_own{key, claimed.version};
  Result<engine::ActionReply> reply = dispatch(call);
  if (reply.has_error()) {
    if (reply.error().execution == Execution::kNotRun) {
      // Certainly not sent: the claim is given back, so that a repeat may run.
      resources_.platform.call(TableTransaction{{still_own}, {{key, std::nullopt}}});
    }
    return outcome::failure(std::move(reply).error());
  }
  own_claim.reply = reply.value();
  resources_.platform.call(TableTransaction{{still_own}, {{key, encodeActionClaim(own_claim)}}});
  resources_.metrics.actionFinished(false);
  return answerOf(reply.value(), false);
}

Result<std::vector<BackEnd>> ActionService::serversFor(const http::ActionCall& call) {
  InferenceRequest request;
  request.id = call.id;
  request.tenant = call.tenant;
  request.kind = call.kind;
  request.arrival = call.arrival;
  BOOST_OUTCOME_TRY(decision, resources_.router.route(request));
  const std::vector<BackEnd> ready = resources_.back_ends.actionServers();
  const std::shared_ptr<const PolicyInForce> policy = resources_.policies.current();
  std::vector<BackEnd> servers;
  for (const GroupName& group : decision.groups) {
    const routing::Selector* selector = policy->routes->groupSelector(group);
    for (const BackEnd& server : ready) {
      if (selector != nullptr && selector->matches(server.labels)) {
        servers.push_back(server);
      }
    }
  }
  if (servers.empty()) {
    return outcome::failure(
        retryLater(Error{ErrorCode::kUnavailable, "no action server is ready", Execution::kNotRun},
                   kRetryAfterClaimRefused));
  }
  const size_t first = absl::Hash<RequestId>()(call.id) % servers.size();
  std::rotate(servers.begin(), servers.begin() + static_cast<std::ptrdiff_t>(first), servers.end());
  return servers;
}

Result<engine::ActionReply> ActionService::dispatch(const http::ActionCall& call) {
  BOOST_OUTCOME_TRY(servers, serversFor(call));
  const engine::ActionRequest request{call.tenant, call.kind, call.key, call.body};
  Error last_error;
  for (const BackEnd& server : servers) {
    Result<engine::ActionReply> reply = resources_.channel.run(server.address, request);
    if (reply.has_value()) {
      return reply;
    }
    last_error = std::move(reply).error();
    LOG(WARNING) << "event=action_failed trace=" << call.id << " server=" << server.id
                 << " ran=" << executionName(last_error.execution);
    if (last_error.execution != Execution::kNotRun) {
      break;
    }
  }
  return outcome::failure(last_error);
}

}  // namespace quincewick::node
