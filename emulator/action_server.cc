#include "emulator/action_server.h"

#include <absl/strings/str_format.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <xxhash.h>

#include <utility>

namespace quincewick::emulator {
namespace {

constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;

ActionServerSettings withDefaults(ActionServerSettings settings) {
  if (settings.runs == nullptr) {
    settings.runs = std::make_shared<ActionRunLog>();
  }
  return settings;
}

std::string receiptOf(const std::string& text) {
  return absl::StrCat(absl::Hex(XXH3_64bits(text.data(), text.size()), absl::kZeroPad16));
}

}  // namespace

ActionServer::ActionServer(ActionServerSettings settings)
    : StandIn(settings.seed), settings_(withDefaults(std::move(settings))) {
  server().Post(R"(/actions/([^/]+))",
                guarded([this](const httplib::Request& request, httplib::Response& response) {
                  act(request, response);
                }));
  server().Get(R"(/lookups/([^/]+))",
               guarded([this](const httplib::Request& request, httplib::Response& response) {
                 lookUp(request, response);
               }));
  server().Get("/admin/runs", guarded([this](const httplib::Request&, httplib::Response& response) {
                 answerJson(response, report());
               }));
}

ActionServer::~ActionServer() {
  stop();
}

void ActionServer::onCrash(bool crashed, bool /*keep_cache*/) {
  crashes_ += crashed ? 1 : 0;
}

void ActionServer::act(const httplib::Request& request, httplib::Response& response) {
  const nlohmann::json body = bodyOf(request);
  const ActionName action{request.matches[1].str(), request.get_header_value("X-Tenant"),
                          request.get_header_value("Idempotency-Key")};
  if (action.key.empty() || !body.is_object()) {
    answerError(response, kBadRequest, ErrorCode::kInvalidArgument, "key",
                "an Idempotency-Key and a JSON object are needed");
    return;
  }
  const uint64_t crashes_before = crashes_;
  const absl::Duration half = settings_.action_time * faults().slowdown(absl::Now()) / 2;
  sleepUnlessStopping(half);
  if (crashes_ != crashes_before || stopping()) {
    answerError(response, kServiceUnavailable, ErrorCode::kUnavailable, "crashed", "the server died");
    return;
  }
  own_runs_.record(action);
  const uint64_t run = settings_.runs->record(action);
  sleepUnlessStopping(half);
  const std::string receipt = receiptOf(absl::StrCat(action.kind, "/", action.key, "/", run));
  answerJson(response,
             {{"result", {{"kind", action.kind}, {"key", action.key}, {"run", run}, {"receipt", receipt}}}});
}

void ActionServer::lookUp(const httplib::Request& request, httplib::Response& response) {
  sleepUnlessStopping(settings_.lookup_time * faults().slowdown(absl::Now()));
  nlohmann::json parameters = nlohmann::json::object();
  for (const auto& [name, value] : request.params) {
    parameters[name] = value;
  }
  answerJson(response, {{"result",
                         {{"kind", request.matches[1].str()},
                          {"parameters", parameters},
                          {"value", receiptOf(parameters.dump())}}}});
}

nlohmann::json ActionServer::report() {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& [action, count] : own_runs_.all()) {
    list.push_back({{"kind", action.kind}, {"tenant", action.tenant}, {"key", action.key}, {"count", count}});
  }
  const ActionTotals totals = settings_.runs->totals();
  return {{"runs", list},
          {"total", own_runs_.totals().runs},
          {"site", {{"total", totals.runs}, {"actions", totals.actions}, {"doubled", totals.doubled}}}};
}

}  // namespace quincewick::emulator
