#include "http/operator_json.h"

#include <exception>
#include <utility>

namespace quincewick::http {
namespace {

using Json = nlohmann::json;

constexpr size_t kMaxOperationIdBytes = 128;

double seconds(absl::Duration duration) {
  return absl::ToDoubleSeconds(duration);
}

// Parses `body` and applies `reader` to it. An exception becomes kInvalidArgument with a message that names
// the expected fields.
template <class T, class Reader>
Result<T> readBody(const std::string& body, const char* expected, Reader reader) {
  try {
    T value;
    reader(Json::parse(body), value);
    return value;
  } catch (const std::exception& exception) {
    return fail(ErrorCode::kInvalidArgument, std::string("expected ") + expected + ": " + exception.what());
  }
}

OperationId readOperation(const Json& json) {
  const auto text = json.at("operation").get<std::string>();
  if (text.empty() || text.size() > kMaxOperationIdBytes) {
    throw std::invalid_argument("operation must have 1 to 128 characters");
  }
  return OperationId(text);
}

std::vector<PolicyObjectChange> readChanges(const Json& json) {
  std::vector<PolicyObjectChange> changes;
  for (const Json& entry : json) {
    PolicyObjectChange change;
    change.key = entry.at("key").get<std::string>();
    if (!entry.at("text").is_null()) {
      change.text = entry.at("text").get<std::string>();
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

Json nodesToJson(const std::vector<NodeVersion>& nodes) {
  Json list = Json::array();
  for (const NodeVersion& node : nodes) {
    list.push_back({{"node", node.node.value()},
                    {"zone", node.zone.value()},
                    {"version", node.version.value()},
                    {"age_seconds", seconds(node.age)}});
  }
  return list;
}

Json backEndsToJson(const std::vector<BackEndSummary>& back_ends) {
  Json list = Json::array();
  for (const BackEndSummary& back_end : back_ends) {
    list.push_back({{"id", back_end.id.value()},
                    {"kind", back_end.kind},
                    {"state", back_end.state},
                    {"zone", back_end.zone.value()},
                    {"models", back_end.models}});
  }
  return list;
}

Json rolloutsToJson(const std::vector<RolloutSummary>& rollouts) {
  Json list = Json::array();
  for (const RolloutSummary& rollout : rollouts) {
    list.push_back({{"model", rollout.model.value()},
                    {"wanted", rollout.wanted.value()},
                    {"engines", rollout.engines},
                    {"loaded", rollout.loaded},
                    {"loading", rollout.loading},
                    {"state", rollout.state}});
  }
  return list;
}

}  // namespace

Json toJson(const PolicyText& policy) {
  return {{"version", policy.version.value()}, {"text", policy.text}};
}

Json toJson(const ChangeSummary& change) {
  return {{"version", change.version.value()},
          {"operation", change.operation.value()},
          {"author", change.author},
          {"comment", change.comment},
          {"accepted_at", absl::FormatTime(absl::RFC3339_sec, change.accepted_at, absl::UTCTimeZone())},
          {"keys", change.keys}};
}

Json toJson(const StatusReport& report) {
  return {{"node", report.node.value()},
          {"zone", report.zone.value()},
          {"ready", report.ready},
          {"relay", report.relay},
          {"version", report.version.value()},
          {"confirmed_age_seconds", seconds(report.confirmed_age)},
          {"nodes", nodesToJson(report.nodes)},
          {"back_ends", backEndsToJson(report.back_ends)},
          {"rollouts", rolloutsToJson(report.rollouts)}};
}

Json toJson(const Explanation& explanation) {
  Json routes = Json::array();
  for (const ExplainedRoute& route : explanation.routes) {
    routes.push_back({{"route", route.route}, {"outcome", route.outcome}, {"reason", route.reason}});
  }
  Json engines = Json::array();
  for (const ExplainedEngine& engine : explanation.engines) {
    engines.push_back({{"engine", engine.engine.value()},
                       {"expected_seconds", engine.expected_seconds},
                       {"reason", engine.reason}});
  }
  return {{"route", explanation.route},
          {"urgency", explanation.urgency},
          {"chosen", explanation.chosen.value()},
          {"routes", routes},
          {"engines", engines}};
}

Result<PolicyChange> parsePolicyChange(const std::string& body) {
  return readBody<PolicyChange>(body, "operation, base_version, and policy or changes",
                                [](const Json& json, PolicyChange& change) {
                                  change.operation = readOperation(json);
                                  change.comment = json.value("comment", "");
                                  change.base = ConfigurationVersion(json.at("base_version").get<uint64_t>());
                                  if (json.contains("policy")) {
                                    change.content = json.at("policy").get<std::string>();
                                  } else {
                                    change.content = readChanges(json.at("changes"));
                                  }
                                });
}

Result<PolicyChange> parseRollback(const std::string& body) {
  return readBody<PolicyChange>(body, "operation and version", [](const Json& json, PolicyChange& change) {
    change.operation = readOperation(json);
    change.comment = json.value("comment", "");
    change.base = ConfigurationVersion(json.at("version").get<uint64_t>());
  });
}

Result<ExplainQuery> parseExplainQuery(const std::string& body) {
  return readBody<ExplainQuery>(body, "tenant, kind and model", [](const Json& json, ExplainQuery& query) {
    query.tenant = TenantId(json.at("tenant").get<std::string>());
    query.kind = RequestKind(json.at("kind").get<std::string>());
    query.model = ModelName(json.at("model").get<std::string>());
    query.adapter = AdapterName(json.value("adapter", ""));
    query.prompt = json.value("prompt", "");
  });
}

}  // namespace quincewick::http
