#include "node/completion_service.h"

#include <algorithm>
#include <utility>

#include "node/request_director.h"

namespace quincewick::node {
namespace {

// Rough cost of a request in engine work, for fair shares: one unit is a block to compute or as many decode
// steps as take the same time. Both are assumed; only their ratio between requests matters.
constexpr double kCostOfRequest = 0.5;
constexpr double kCostOfBlock = 0.2;  // most blocks are found in a cache
constexpr double kCostOfToken = 0.02;

// Of a request whose prompt is cached but for its tail, on an idle engine.
constexpr absl::Duration kExpectedFirstToken = absl::Milliseconds(50);

// Each engine lost in mid-stream takes one attempt, and a failing zone may take several engines in a row.
// Before the first token the retry budget bounds them.
constexpr uint32_t kMaximumAttempts = 8;

streams::AnswerOptions answerOptions() {
  streams::AnswerOptions options;
  options.maximum_attempts = kMaximumAttempts;
  return options;
}

const configuration::RequestKindPolicy* findKind(const configuration::Policy& policy,
                                                 const RequestKind& kind) {
  const auto entry = policy.request_kinds.find(kind);
  return entry == policy.request_kinds.end() ? nullptr : &entry->second;
}

void addLabels(const Labels& from, Labels& to) {
  for (const auto& [key, value] : from.entries()) {
    to.set(key, value);
  }
}

Error notReady() {
  Error error{ErrorCode::kUnavailable, "no policy is in force yet", Execution::kNotRun};
  error.retry_after = absl::Seconds(1);
  return error;
}

// What the kind says of a request. A caller may ask for less urgency than its kind has, not for more.
Result<void> applyKind(const configuration::Policy& policy, const http::CompletionCall& call,
                       InferenceRequest& request) {
  if (call.kind.empty()) {
    request.urgency = call.urgency.value_or(Urgency::kStandard);
    return outcome::success();
  }
  const configuration::RequestKindPolicy* kind = findKind(policy, call.kind);
  if (kind == nullptr || kind->type != configuration::RequestType::kInference) {
    return fail(ErrorCode::kNotFound, "no such kind of completion: " + call.kind.value());
  }
  addLabels(kind->labels, request.labels);
  request.urgency = std::max(kind->urgency, call.urgency.value_or(kind->urgency));
  if (kind->deadline.has_value()) {
    request.deadline = call.arrival + *kind->deadline;
  }
  return outcome::success();
}

Result<void> checkModel(const configuration::Policy& policy, const http::CompletionCall& call) {
  const auto model = policy.models.find(call.model);
  if (model == policy.models.end()) {
    return fail(ErrorCode::kNotFound, "no such model: " + call.model.value());
  }
  const auto& adapters = model->second.adapters;
  const bool known = std::find(adapters.begin(), adapters.end(), call.adapter) != adapters.end();
  if (!call.adapter.empty() && !known) {
    return fail(ErrorCode::kNotFound, "no such adapter: " + call.adapter.value());
  }
  return outcome::success();
}

}  // namespace

Result<CompletionService::PreparedRequest> CompletionService::makeRequest(
    const PolicyInForce& policy, const http::CompletionCall& call) const {
  BOOST_OUTCOME_TRYV(checkModel(policy.policy, call));
  InferenceRequest request;
  request.id = call.id;
  request.tenant = call.tenant;
  request.kind = call.kind;
  request.model = call.model;
  request.adapter = call.adapter;
  request.arrival = call.arrival;
  request.maximum_output_tokens = call.maximum_tokens;
  const auto tenant = policy.policy.tenants.find(call.tenant);
  if (tenant == policy.policy.tenants.end()) {
    return fail(ErrorCode::kPermissionDenied, "the tenant is no longer known");
  }
  addLabels(tenant->second.labels, request.labels);
  BOOST_OUTCOME_TRYV(applyKind(policy.policy, call, request));
  if (!call.session.empty()) {
    request.labels.set("session", call.session);
  }
  BOOST_OUTCOME_TRY(version, resources_.router.chooseVersion(call.model));
  request.root =
      PrefixRoot{tenant->second.isolation_domain.value_or(call.tenant), call.model, call.adapter, version};
  std::string salt = prefix::cacheSalt(request.root, options_.salt_secret);
  request.prompt = prefix::chainPrompt(salt, call.prompt, policy.policy.site.block_size);
  return PreparedRequest{std::move(request), std::move(salt)};
}

Result<void> CompletionService::admit(const InferenceRequest& request, uint32_t maximum_tokens) {
  admission::RequestOffered offered;
  offered.request = request;
  offered.cost = kCostOfRequest + kCostOfBlock * static_cast<double>(request.prompt.blocks.size()) +
                 kCostOfToken * maximum_tokens;
  offered.expected_first_token = kExpectedFirstToken;
  return resources_.gate.enter(std::move(offered));
}

Result<InferenceRequest> CompletionService::describe(const http::CompletionCall& call) {
  BOOST_OUTCOME_TRY(prepared, prepare(call));
  return std::move(prepared.request);
}

Result<CompletionService::PreparedRequest> CompletionService::prepare(const http::CompletionCall& call) {
  const std::shared_ptr<const PolicyInForce> policy = resources_.policies.current();
  if (policy == nullptr) {
    return outcome::failure(notReady());
  }
  return makeRequest(*policy, call);
}

std::shared_ptr<AnswerSession> CompletionService::makeSession(const http::CompletionCall& call,
                                                              PreparedRequest prepared,
                                                              routing::RouteDecision decision) {
  engine::EngineRequest attempt;
  attempt.request = call.id;
  attempt.model = call.model;
  attempt.adapter = call.adapter;
  attempt.prompt = call.prompt;
  attempt.maximum_tokens = call.maximum_tokens;
  attempt.urgency = prepared.request.urgency;
  auto keep_answer = [this, call](const streams::Transcript& transcript, const std::optional<EndEvent>& end) {
    resources_.kept_answers.keep(call, transcript, end);
  };
  auto director = std::make_shared<RequestDirector>(
      std::move(prepared.request), std::move(decision), std::move(prepared.cache_salt),
      DirectorResources{resources_.router, resources_.gate, resources_.health, resources_.metrics,
                        resources_.clock, std::move(keep_answer)});
  auto run_blocking = [this](std::function<void()> task) { resources_.workers.submit(std::move(task)); };
  return std::make_shared<AnswerSession>(
      answerOptions(), std::move(attempt), std::move(director),
      SessionResources{resources_.engines, std::move(run_blocking), resources_.clock},
      call.arrival + options_.longest_answer);
}

Result<std::shared_ptr<AnswerSession>> CompletionService::begin(const http::CompletionCall& call) {
  BOOST_OUTCOME_TRY(prepared, prepare(call));
  InferenceRequest& request = prepared.request;
  BOOST_OUTCOME_TRY(decision, resources_.router.route(request));
  request.urgency = decision.urgency;
  request.deadline = decision.deadline;
  BOOST_OUTCOME_TRYV(admit(request, call.maximum_tokens));
  resources_.metrics.requestAdmitted(request.urgency);
  return makeSession(call, std::move(prepared), std::move(decision));
}

Result<std::shared_ptr<http::ResponseReader>> CompletionService::complete(const http::CompletionCall& call) {
  BOOST_OUTCOME_TRY(session, begin(call));
  session->open();
  const Result<void> first = awaitFirstEvent(*session, call, session->urgency());
  if (first.has_error()) {
    session->abandon();
    return outcome::failure(first.error());
  }
  return std::shared_ptr<http::ResponseReader>(std::move(session));
}

Result<void> CompletionService::awaitFirstEvent(AnswerSession& session, const http::CompletionCall& call,
                                                Urgency urgency) {
  const admission::HedgeCandidate candidate{call.kind, urgency, true};
  const std::optional<absl::Duration> delay = resources_.health.hedgeDelay(candidate);
  if (delay.has_value() && !session.waitForEvent(resources_.clock() + *delay) &&
      resources_.health.tryHedge(candidate)) {
    session.allowHedge();
  }
  return session.awaitFirstEvent();
}

Result<std::shared_ptr<http::ResponseReader>> CompletionService::resume(streams::RecentAnswer answer,
                                                                        uint64_t from_offset) {
  if (from_offset > answer.transcript.tokenCount()) {
    return fail(ErrorCode::kInvalidArgument, "the answer has no such offset", Execution::kRan);
  }
  if (answer.end.has_value()) {
    return std::shared_ptr<http::ResponseReader>(
        std::make_shared<FinishedAnswerReader>(answer.transcript, *answer.end, from_offset));
  }
  BOOST_OUTCOME_TRY(call, decodeCall(answer.request));
  call.arrival = resources_.clock();
  BOOST_OUTCOME_TRY(session, begin(call));
  session->resumeFrom(std::move(answer.transcript), from_offset);
  return std::shared_ptr<http::ResponseReader>(std::move(session));
}

}  // namespace quincewick::node
