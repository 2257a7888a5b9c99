#include "emulator/control_server.h"

#include <utility>

#include "emulator/platform_json.h"

namespace quincewick::emulator {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

}  // namespace

ControlServer::ControlServer(SiteControl& site) : StandIn(0), site_(site) {
  addRoutes();
}

ControlServer::~ControlServer() {
  stop();
}

void ControlServer::addRoutes() {
  server().Get("/admin/site", guarded([this](const httplib::Request&, httplib::Response& response) {
                 answerJson(response, site_.report());
               }));
  server().Post("/admin/site/faults",
                guarded([this](const httplib::Request& request, httplib::Response& response) {
                  injectFault(request, response);
                }));
  server().Delete("/admin/site/faults", guarded([this](const httplib::Request&, httplib::Response& response) {
                    site_.clearFaults();
                    answerJson(response, {{"faults", nlohmann::json::array()}});
                  }));
  server().Put(R"(/admin/machines/([^/]+))",
               guarded([this](const httplib::Request& request, httplib::Response& response) {
                 putMachine(request, response);
               }));
  server().Delete(R"(/admin/machines/([^/]+))",
                  guarded([this](const httplib::Request& request, httplib::Response& response) {
                    site_.removeMachine(request.matches[1].str());
                    answerJson(response, nlohmann::json::object());
                  }));
}

void ControlServer::injectFault(const httplib::Request& request, httplib::Response& response) {
  nlohmann::json body = bodyOf(request);
  const auto target = body.at("target").get<std::string>();
  body.erase("target");
  const Result<Fault> fault = faultFromJson(body);
  if (!fault) {
    answerError(response, kBadRequest, fault.error().code, "fault", fault.error().message);
    return;
  }
  const Result<void> injected = site_.inject(target, fault.value());
  if (!injected) {
    answerError(response, kNotFound, injected.error().code, "target", injected.error().message);
    return;
  }
  answerJson(response, {{"target", target}, {"fault", faultToJson(fault.value())}});
}

void ControlServer::putMachine(const httplib::Request& request, httplib::Response& response) {
  const std::string id = request.matches[1].str();
  Machine machine = site_.machine(id).value_or(Machine{});
  machine.id = id;
  if (!mergeMachine(bodyOf(request), machine)) {
    answerError(response, kBadRequest, ErrorCode::kInvalidArgument, "machine", "a field is malformed");
    return;
  }
  site_.setMachine(machine);
  answerJson(response, machineToJson(machine));
}

}  // namespace quincewick::emulator
