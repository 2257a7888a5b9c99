#include "http/operator_api.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "http/http_server.h"

namespace quincewick::http {
namespace {

using Json = nlohmann::json;

// Accepts two keys, and responds to changes with the `outcome` that the test has set.
class FakeBackend final : public OperatorBackend {
 public:
  Result<std::string> authorize(std::string_view key, OperatorAction action) override {
    if (key == "admin-key" || (key == "viewer-key" && action == OperatorAction::kRead)) {
      return std::string(key == "admin-key" ? "anna" : "vera");
    }
    if (key == "viewer-key") {
      return fail(ErrorCode::kPermissionDenied, "the key does not allow this");
    }
    return fail(ErrorCode::kUnauthenticated, "a valid key is needed");
  }
  PolicyText policy() override { return {ConfigurationVersion(7), "tenants: {}\n"}; }
  OperatorAction requiredAction(const PolicyChange& /*change*/) override {
    return OperatorAction::kChangePolicy;
  }
  ChangeOutcome change(const PolicyChange& change) override {
    last_change = change;
    return outcome;
  }
  ChangeOutcome rollback(ConfigurationVersion version, const PolicyChange& change) override {
    last_change = change;
    return ChangeAccepted{version.next(), true};
  }
  std::vector<ChangeSummary> changesAfter(ConfigurationVersion version) override {
    return {{version.next(), OperationId("op"), "anna", "why", absl::UnixEpoch(), {"tenants/a"}}};
  }
  StatusReport status() override {
    StatusReport report;
    report.node = NodeId("node-1");
    report.nodes = {{NodeId("node-2"), ZoneName("z"), ConfigurationVersion(6), absl::Seconds(1)}};
    return report;
  }
  Result<Explanation> explain(const ExplainQuery& query) override {
    if (query.kind != RequestKind("quote")) {
      return fail(ErrorCode::kNotFound, "no such kind");
    }
    Explanation explanation;
    explanation.route = "quotes";
    return explanation;
  }
  Result<void> drain(const BackEndId& back_end) override {
    drained = back_end;
    return outcome::success();
  }
  Result<void> resume(const BackEndId& /*back_end*/) override {
    return fail(ErrorCode::kNotFound, "no such back end");
  }

  ChangeOutcome outcome = ChangeAccepted{ConfigurationVersion(8), true};
  PolicyChange last_change;
  BackEndId drained;
};

class ApiServer {
 public:
  ApiServer() : server_({}) {
    addOperatorRoutes(backend, server_.routes());
    port_ = server_.start({"127.0.0.1", 0}).value();
  }

  struct HttpResponse {
    int status = 0;
    Json body;
  };
  HttpResponse get(const std::string& path, const std::string& key = "admin-key") {
    httplib::Client client("127.0.0.1", port_);
    return parseResponse(client.Get(path, {{"Authorization", "Bearer " + key}}));
  }
  HttpResponse post(const std::string& path, const std::string& body, const std::string& key = "admin-key") {
    httplib::Client client("127.0.0.1", port_);
    return parseResponse(client.Post(path, {{"Authorization", "Bearer " + key}}, body, "application/json"));
  }

  FakeBackend backend;

 private:
  static HttpResponse parseResponse(const httplib::Result& result) {
    REQUIRE(result);
    return {result->status, Json::parse(result->body)};
  }

  HttpServer server_;
  uint16_t port_ = 0;
};

constexpr const char* kChange =
    R"({"operation":"op-1","base_version":7,"changes":[{"key":"tenants/a","text":"{}"}]})";

TEST_CASE("operators can read the policy, status, changes and explanations") {
  ApiServer api;
  CHECK(api.get("/v1/operator/policy").body == Json{{"version", 7}, {"text", "tenants: {}\n"}});
  CHECK(api.get("/v1/operator/status", "viewer-key").body["nodes"][0]["version"] == 6);
  CHECK(api.get("/v1/operator/changes?after=3").body["changes"][0]["version"] == 4);
  CHECK(api.get("/v1/operator/changes?after=x").status == 400);
  CHECK(api.post("/v1/operator/explain", R"({"tenant":"a","kind":"quote","model":"m"})").body["route"] ==
        "quotes");
  CHECK(api.post("/v1/operator/explain", R"({"tenant":"a","kind":"x","model":"m"})").status == 404);
}

TEST_CASE("changes record their author, and each outcome has its own response") {
  ApiServer api;
  const auto accepted = api.post("/v1/operator/changes", kChange);
  CHECK(accepted.status == 200);
  CHECK(accepted.body["version"] == 8);
  CHECK(api.backend.last_change.author == "anna");
  CHECK(api.backend.last_change.base == ConfigurationVersion(7));
  api.backend.outcome = ChangeConflicted{"tenants/a", ConfigurationVersion(9), "otto"};
  const auto conflict = api.post("/v1/operator/changes", kChange);
  CHECK(conflict.status == 409);
  CHECK(conflict.body["error"]["version"] == 9);
  CHECK(conflict.body["error"]["author"] == "otto");
  api.backend.outcome = ChangeRejected{{"tenants/a: bad"}};
  CHECK(api.post("/v1/operator/changes", kChange).body["error"]["faults"][0] == "tenants/a: bad");
  api.backend.outcome = Error{ErrorCode::kOutcomeUnknown, "?", Execution::kUnknown};
  CHECK(api.post("/v1/operator/changes", kChange).body["error"]["ran"] == "unknown");
  CHECK(api.post("/v1/operator/rollback", R"({"operation":"o","version":3})").body["version"] == 4);
}

TEST_CASE("keys, roles and bodies are checked before a request takes effect") {
  ApiServer api;
  CHECK(api.get("/v1/operator/policy", "").status == 401);
  CHECK(api.post("/v1/operator/changes", kChange, "foreign").status == 401);
  CHECK(api.post("/v1/operator/changes", kChange, "viewer-key").status == 403);
  CHECK(api.post("/v1/operator/back_ends/e1/drain", "", "viewer-key").status == 403);
  for (const char* body : {"", "[", "{}", R"({"operation":"","base_version":1,"policy":"x"})",
                           R"({"operation":"o","base_version":-1.5,"policy":{}})",
                           R"({"operation":"o","base_version":1,"changes":[{"key":1}]})"}) {
    CHECK(api.post("/v1/operator/changes", body).status == 400);
  }
  CHECK(api.backend.last_change.operation.empty());
  CHECK(api.backend.drained.empty());
  CHECK(api.post("/v1/operator/back_ends/e1/drain", "").status == 200);
  CHECK(api.backend.drained == BackEndId("e1"));
  CHECK(api.post("/v1/operator/back_ends/e1/resume", "").status == 404);
}

}  // namespace
}  // namespace quincewick::http
