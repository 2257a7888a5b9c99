#include "http/operator_api.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "http/bearer_key.h"
#include "http/error_body.h"
#include "http/operator_json.h"

namespace quincewick::http {
namespace {

using Json = nlohmann::json;

constexpr int kStatusConflict = 409;
constexpr int kStatusUnprocessable = 422;
constexpr const char* kJsonType = "application/json";

RequestId makeRequestId() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return RequestId(absl::StrFormat("operator-%016x", generator()));
}

void sendJson(const Json& json, httplib::Response& response) {
  response.set_content(json.dump(-1, ' ', false, Json::error_handler_t::replace), kJsonType);
}

void sendOutcome(const ChangeOutcome& outcome, const RequestId& id, httplib::Response& response) {
  if (const auto* accepted = std::get_if<ChangeAccepted>(&outcome)) {
    sendJson({{"version", accepted->version.value()}, {"changed", accepted->changed}}, response);
  } else if (const auto* conflict = std::get_if<ChangeConflicted>(&outcome)) {
    response.status = kStatusConflict;
    sendJson({{"error",
               {{"type", "conflict"},
                {"message", "another change of this object came first"},
                {"ran", "no"},
                {"key", conflict->key},
                {"version", conflict->version.value()},
                {"author", conflict->author},
                {"request_id", id.value()}}}},
             response);
  } else if (const auto* rejected = std::get_if<ChangeRejected>(&outcome)) {
    response.status = kStatusUnprocessable;
    sendJson({{"error",
               {{"type", "invalid_policy"},
                {"message", "the policy has faults"},
                {"ran", "no"},
                {"faults", rejected->faults},
                {"request_id", id.value()}}}},
             response);
  } else {
    sendError(std::get<Error>(outcome), id, response);
  }
}

void logChange(const PolicyChange& change, const ChangeOutcome& outcome) {
  const auto* accepted = std::get_if<ChangeAccepted>(&outcome);
  LOG(INFO) << "event=policy_change operator=" << change.author << " operation=" << change.operation
            << " accepted=" << (accepted != nullptr ? "yes" : "no")
            << " version=" << (accepted != nullptr ? accepted->version.value() : 0);
}

// The request handlers of one server; they share the backend.
class OperatorApi {
 public:
  explicit OperatorApi(OperatorBackend& backend) : backend_(backend) {}

  void getPolicy(httplib::Response& response) { sendJson(toJson(backend_.policy()), response); }
  void getStatus(httplib::Response& response) { sendJson(toJson(backend_.status()), response); }

  void getChanges(const httplib::Request& request, const RequestId& id, httplib::Response& response) {
    uint64_t after = 0;
    const std::string text = request.get_param_value("after");
    if (!text.empty() && !absl::SimpleAtoi(text, &after)) {
      sendError({ErrorCode::kInvalidArgument, "after: expected a version", Execution::kNotRun}, id, response);
      return;
    }
    Json list = Json::array();
    for (const ChangeSummary& change : backend_.changesAfter(ConfigurationVersion(after))) {
      list.push_back(toJson(change));
    }
    sendJson({{"changes", list}}, response);
  }

  void postChange(const httplib::Request& request, const RequestId& id, httplib::Response& response) {
    Result<PolicyChange> change = parsePolicyChange(request.body);
    if (!change) {
      sendError(change.error(), id, response);
      return;
    }
    Result<std::string> author =
        backend_.authorize(bearerKey(request), backend_.requiredAction(change.value()));
    if (!author) {
      sendError(author.error(), id, response);
      return;
    }
    change.value().author = author.value();
    const ChangeOutcome outcome = backend_.change(change.value());
    logChange(change.value(), outcome);
    sendOutcome(outcome, id, response);
  }

  void postRollback(const httplib::Request& request, const RequestId& id, const std::string& author,
                    httplib::Response& response) {
    Result<PolicyChange> change = parseRollback(request.body);
    if (!change) {
      sendError(change.error(), id, response);
      return;
    }
    change.value().author = author;
    const ChangeOutcome outcome = backend_.rollback(change.value().base, change.value());
    logChange(change.value(), outcome);
    sendOutcome(outcome, id, response);
  }

  void postExplain(const httplib::Request& request, const RequestId& id, httplib::Response& response) {
    const Result<ExplainQuery> query = parseExplainQuery(request.body);
    if (!query) {
      sendError(query.error(), id, response);
      return;
    }
    const Result<Explanation> explanation = backend_.explain(query.value());
    if (!explanation) {
      sendError(explanation.error(), id, response);
      return;
    }
    sendJson(toJson(explanation.value()), response);
  }

  void sendControlResult(const Result<void>& result, const RequestId& id, httplib::Response& response) {
    if (!result) {
      sendError(result.error(), id, response);
      return;
    }
    sendJson({{"done", true}}, response);
  }

  OperatorBackend& backend() { return backend_; }

 private:
  OperatorBackend& backend_;
};

// Wraps a handler with a check that the key's role permits `action`. The handler receives the operator's
// name.
template <class Handler>
httplib::Server::Handler withAuthorization(const std::shared_ptr<OperatorApi>& api, OperatorAction action,
                                           Handler handler) {
  return [api, action, handler](const httplib::Request& request, httplib::Response& response) {
    const RequestId id = makeRequestId();
    const Result<std::string> name = api->backend().authorize(bearerKey(request), action);
    if (!name) {
      sendError(name.error(), id, response);
      return;
    }
    handler(*api, request, id, name.value(), response);
  };
}

}  // namespace

void addOperatorRoutes(OperatorBackend& backend, httplib::Server& server) {
  const auto api = std::make_shared<OperatorApi>(backend);
  using Request = httplib::Request;
  using Response = httplib::Response;
  server.Get("/v1/operator/policy",
             withAuthorization(api, OperatorAction::kRead,
                               [](OperatorApi& self, const Request&, const RequestId&, const std::string&,
                                  Response& response) { self.getPolicy(response); }));
  server.Get("/v1/operator/status",
             withAuthorization(api, OperatorAction::kRead,
                               [](OperatorApi& self, const Request&, const RequestId&, const std::string&,
                                  Response& response) { self.getStatus(response); }));
  server.Get(
      "/v1/operator/changes",
      withAuthorization(api, OperatorAction::kRead,
                        [](OperatorApi& self, const Request& request, const RequestId& id, const std::string&,
                           Response& response) { self.getChanges(request, id, response); }));
  server.Post(
      "/v1/operator/explain",
      withAuthorization(api, OperatorAction::kRead,
                        [](OperatorApi& self, const Request& request, const RequestId& id, const std::string&,
                           Response& response) { self.postExplain(request, id, response); }));
  // The required role depends on the contents of the change, so any valid key passes here; postChange()
  // checks the role.
  server.Post(
      "/v1/operator/changes",
      withAuthorization(api, OperatorAction::kRead,
                        [](OperatorApi& self, const Request& request, const RequestId& id, const std::string&,
                           Response& response) { self.postChange(request, id, response); }));
  // A rollback may restore removed operators, so it requires the highest role.
  server.Post("/v1/operator/rollback",
              withAuthorization(
                  api, OperatorAction::kChangeOperators,
                  [](OperatorApi& self, const Request& request, const RequestId& id, const std::string& name,
                     Response& response) { self.postRollback(request, id, name, response); }));
  server.Post(R"(/v1/operator/back_ends/([^/]+)/drain)",
              withAuthorization(api, OperatorAction::kControl,
                                [](OperatorApi& self, const Request& request, const RequestId& id,
                                   const std::string&, Response& response) {
                                  self.sendControlResult(
                                      self.backend().drain(BackEndId(request.matches[1].str())), id,
                                      response);
                                }));
  server.Post(R"(/v1/operator/back_ends/([^/]+)/resume)",
              withAuthorization(api, OperatorAction::kControl,
                                [](OperatorApi& self, const Request& request, const RequestId& id,
                                   const std::string&, Response& response) {
                                  self.sendControlResult(
                                      self.backend().resume(BackEndId(request.matches[1].str())), id,
                                      response);
                                }));
}

}  // namespace quincewick::http
