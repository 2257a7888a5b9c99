#include "emulator/platform_server.h"

#include <absl/time/clock.h>

#include <utility>

#include "emulator/platform_json.h"

namespace quincewick::emulator {

PlatformServer::PlatformServer(PlatformSettings settings) : StandIn(settings.seed), model_(settings) {
  addRoutes();
}

PlatformServer::~PlatformServer() {
  stop();
}

void PlatformServer::setMachines(std::vector<Machine> machines) {
  const absl::MutexLock lock(&mutex_);
  model_.setMachines(std::move(machines), absl::Now());
}

PlatformCounters PlatformServer::counters() {
  const absl::MutexLock lock(&mutex_);
  return model_.counters();
}

void PlatformServer::call(const PlatformRequest& platform_request, const httplib::Request& request,
                          httplib::Response& response) {
  PlatformAnswer answer;
  {
    const absl::MutexLock lock(&mutex_);
    const absl::Time now = absl::Now();
    model_.faults().slowdown = faults().slowdown(now);
    answer = model_.call(platform_request, now);
  }
  sleepUnlessStopping(answer.ready_at - absl::Now());
  if (answer.lost) {
    server().cut(request);
    return;
  }
  answerPlatformResult(response, answer.result);
}

void PlatformServer::addRoutes() {
  const auto add_post = [this](const char* path, auto parse) {
    server().Post(path, guarded([this, parse](const httplib::Request& request, httplib::Response& response) {
                    call(parse(bodyOf(request)), request, response);
                  }));
  };
  add_post("/table/transact", transactionFromJson);
  add_post("/table/read", readFromJson);
  add_post("/table/scan", scanFromJson);
  const char* const object_path = R"(/objects/(.+))";
  server().Put(object_path, guarded([this](const httplib::Request& request, httplib::Response& response) {
                 call(ObjectPut{request.matches[1].str(), request.body}, request, response);
               }));
  server().Get(object_path, guarded([this](const httplib::Request& request, httplib::Response& response) {
                 call(ObjectGet{request.matches[1].str()}, request, response);
               }));
  server().Delete(object_path, guarded([this](const httplib::Request& request, httplib::Response& response) {
                    call(ObjectDelete{request.matches[1].str()}, request, response);
                  }));
  server().Get("/objects", guarded([this](const httplib::Request& request, httplib::Response& response) {
                 call(ObjectList{request.get_param_value("prefix")}, request, response);
               }));
  server().Get("/machines", guarded([this](const httplib::Request& request, httplib::Response& response) {
                 call(MachineListRead{}, request, response);
               }));
  server().Get("/admin/state", guarded([this](const httplib::Request&, httplib::Response& response) {
                 const PlatformCounters totals = counters();
                 answerJson(response, {{"calls", totals.calls},
                                       {"rate_limited", totals.rate_limited},
                                       {"unavailable", totals.unavailable},
                                       {"lost", totals.lost}});
               }));
}

}  // namespace quincewick::emulator
