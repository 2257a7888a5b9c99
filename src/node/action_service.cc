#include "node/action_service.h"

#include <absl/hash/hash.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <glog/logging.h>
#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace quincewick::node {
namespace {

constexpr absl::Duration kRetryAfterNoServer = absl::Seconds(1);

constexpr size_t kLookupTries = 3;
Error retryLater(Error error, absl::Duration retry_after) {
  error.retry_after = retry_after;
  return error;
}

http::ActionAnswer answerOf(const engine::ActionReply& reply, bool is_repeat) {
  return http::ActionAnswer{reply.status, reply.body, is_repeat};
}

// A reply as the ledger keeps it.
std::string encodeReply(const engine::ActionReply& reply) {
  return absl::StrCat(reply.status, " ", reply.body);
}

engine::ActionReply decodeReply(const std::string& text) {
  engine::ActionReply reply;
  const size_t space = text.find(' ');
  if (space == std::string::npos || !absl::SimpleAtoi(text.substr(0, space), &reply.status)) {
    // The outcome was too long to keep: that it ran is known, what it returned is not.
    reply.body = R"({"result":null,"note":"it ran; its answer was too long to keep"})";
    return reply;
  }
  reply.body = text.substr(space + 1);
  return reply;
}

// The kind belongs to what a key was used for: the same key for another kind is a conflict.
ledger::BodyHash hashOf(const http::ActionCall& call) {
  const std::string named = absl::StrCat(call.kind.value().size(), ":", call.kind.value(), call.body);
  const XXH128_hash_t hash = XXH3_128bits(named.data(), named.size());
  return ledger::BodyHash{hash.high64, hash.low64};
}

Error errorOf(const ledger::ActionAnswer& answer) {
  Error error{ErrorCode::kUnavailable, "the action could not be claimed", answer.execution,
              answer.retry_after};
  switch (answer.status) {
    case ledger::AnswerStatus::kInProgress:
      error.code = ErrorCode::kOutcomeUnknown;
      error.message = "the action is in progress";
      break;
    case ledger::AnswerStatus::kUnknown:
      error.code = ErrorCode::kOutcomeUnknown;
      error.message = "the action may have run and will not be run again under this key";
      break;
    case ledger::AnswerStatus::kConflict:
      error.code = ErrorCode::kConflict;
      error.message = "the idempotency key was used with another body";
      break;
    case ledger::AnswerStatus::kInvalidKey:
      error.code = ErrorCode::kInvalidArgument;
      error.message = "the idempotency key is dated in the future";
      break;
    case ledger::AnswerStatus::kFull:
      error.message = "the ledger has no room for another key";
      break;
    case ledger::AnswerStatus::kNotRun:
      error.message = "no action server could be reached";
      break;
    case ledger::AnswerStatus::kDone:
    case ledger::AnswerStatus::kUnavailable:
      break;
  }
  return error;
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
    if (reply.has_value()) {
      return answerOf(reply.value(), false);
    }
    last_error = std::move(reply).error();
    LOG(WARNING) << "event=lookup_failed trace=" << call.id << " server=" << server.id
                 << " type=" << errorCodeName(last_error.code);
  }
  return outcome::failure(last_error);
}

Result<http::ActionAnswer> ActionService::runOnce(const http::ActionCall& call) {
  const ledger::ActionKey key{call.tenant, call.key};
  const LedgerAnswer answer =
      resources_.ledger.submit(key, hashOf(call), [this, call] { return dispatchOnce(call); });
  if (answer.answer.status != ledger::AnswerStatus::kDone) {
    return outcome::failure(errorOf(answer.answer));
  }
  resources_.metrics.actionFinished(!answer.dispatched);
  return answerOf(decodeReply(answer.answer.outcome), !answer.dispatched);
}

DispatchOutcome ActionService::dispatchOnce(const http::ActionCall& call) {
  const Result<engine::ActionReply> reply = dispatch(call);
  if (reply.has_value()) {
    return {ledger::DispatchResult::kDone, encodeReply(reply.value())};
  }
  const bool not_sent = reply.error().execution == Execution::kNotRun;
  return {not_sent ? ledger::DispatchResult::kNotSent : ledger::DispatchResult::kUncertain, ""};
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
                   kRetryAfterNoServer));
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
