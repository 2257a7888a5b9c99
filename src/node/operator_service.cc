#include "node/operator_service.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <utility>

namespace quincewick::node {
namespace {

const char* stateName(BackEndState state) {
  switch (state) {
    case BackEndState::kStarting:
      return "starting";
    case BackEndState::kReady:
      return "ready";
    case BackEndState::kDraining:
      return "draining";
    case BackEndState::kLeaving:
      return "leaving";
    case BackEndState::kGone:
      return "gone";
  }
  return "gone";
}

const char* kindName(BackEndKind kind) {
  switch (kind) {
    case BackEndKind::kEngine:
      return "engine";
    case BackEndKind::kActionServer:
      return "action_server";
    case BackEndKind::kCacheStore:
      return "cache_store";
  }
  return "engine";
}

std::string modelsText(const std::vector<LoadedModel>& models) {
  std::string text;
  for (const LoadedModel& model : models) {
    absl::StrAppend(&text, text.empty() ? "" : ",", model.model.value(), "@", model.weights_version.value());
  }
  return text;
}

http::BackEndSummary summaryOf(const BackEnd& back_end) {
  return {back_end.id, kindName(back_end.kind), stateName(back_end.state), back_end.zone,
          modelsText(back_end.models)};
}

void addRoutes(const routing::RouteExplanation& routes, http::Explanation& explanation) {
  for (const routing::RouteVerdict& verdict : routes.verdicts) {
    const std::string reason = verdict.unmet.empty() ? absl::StrCat("selector \"", verdict.selector,
                                                                    "\", priority ", verdict.priority)
                                                     : absl::StrCat("unmet: ", verdict.unmet);
    explanation.routes.push_back(
        {verdict.route, std::string(routing::routeOutcomeName(verdict.outcome)), reason});
  }
}

void addEngines(const routing::Placement& placement, http::Explanation& explanation) {
  explanation.chosen = placement.engine;
  explanation.engines.push_back(
      {placement.engine, absl::ToDoubleSeconds(placement.expected_first_token),
       absl::StrCat("chosen; ", placement.expected_cached_tokens, " tokens expected in its cache")});
  for (const routing::WeighedEngine& engine : placement.alternatives) {
    if (engine.engine != placement.engine) {
      explanation.engines.push_back(
          {engine.engine, absl::ToDoubleSeconds(engine.expected_first_token),
           absl::StrCat(engine.expected_cached_tokens, " tokens expected in its cache")});
    }
  }
}

Error noFleetControl() {
  return Error{ErrorCode::kUnavailable,
               "this node does not control the fleet: change the policy's groups instead",
               Execution::kNotRun};
}

}  // namespace

Result<std::string> OperatorService::authorize(std::string_view key, OperatorAction action) {
  return resources_.policy.authorize(key, action);
}

http::PolicyText OperatorService::policy() {
  return resources_.policy.policy();
}

OperatorAction OperatorService::requiredAction(const http::PolicyChange& change) {
  return resources_.policy.requiredAction(change);
}

http::ChangeOutcome OperatorService::change(const http::PolicyChange& change) {
  return resources_.policy.change(change);
}

http::ChangeOutcome OperatorService::rollback(ConfigurationVersion version,
                                              const http::PolicyChange& change) {
  return resources_.policy.rollback(version, change);
}

std::vector<http::ChangeSummary> OperatorService::changesAfter(ConfigurationVersion version) {
  return resources_.policy.changesAfter(version);
}

http::StatusReport OperatorService::status() {
  http::StatusReport report;
  report.node = resources_.settings.node_id;
  report.zone = resources_.settings.zone;
  resources_.policy.fillStatus(report);
  report.ready = resources_.is_ready();
  for (const BackEnd& back_end : resources_.back_ends.backEnds()) {
    report.back_ends.push_back(summaryOf(back_end));
  }
  return report;
}

Result<http::Explanation> OperatorService::explain(const http::ExplainQuery& query) {
  http::CompletionCall call;
  call.id = RequestId("explain");
  call.tenant = query.tenant;
  call.kind = query.kind;
  call.model = query.model;
  call.adapter = query.adapter;
  call.prompt = query.prompt;
  call.arrival = absl::Now();
  BOOST_OUTCOME_TRY(request, resources_.completions.describe(call));
  http::Explanation explanation;
  const routing::RouteExplanation routes = resources_.router.explain(request);
  addRoutes(routes, explanation);
  if (!routes.decision.has_value()) {
    return explanation;
  }
  explanation.route = routes.decision->route;
  explanation.urgency = std::string(urgencyName(routes.decision->urgency));
  const Result<routing::Placement> placement = resources_.router.choose(request, *routes.decision, {});
  if (placement.has_value()) {
    addEngines(placement.value(), explanation);
  }
  return explanation;
}

Result<void> OperatorService::drain(const BackEndId& /*back_end*/) {
  return outcome::failure(noFleetControl());
}

Result<void> OperatorService::resume(const BackEndId& /*back_end*/) {
  return outcome::failure(noFleetControl());
}

}  // namespace quincewick::node
