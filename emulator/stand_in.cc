#include "emulator/stand_in.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace quincewick::emulator {
namespace {

constexpr absl::Duration kPausePoll = absl::Milliseconds(5);
constexpr absl::Duration kLongestPause = absl::Minutes(30);
constexpr std::string_view kAdminPrefix = "/admin/";
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;
constexpr absl::Duration kLongestNap = absl::Milliseconds(20);  // how soon a sleeper sees that it must stop
constexpr std::string_view kGarbage = "\x01{]not what was asked for";

bool isAdmin(const httplib::Request& request) {
  return request.path.compare(0, kAdminPrefix.size(), kAdminPrefix) == 0;
}

std::string headerOf(const httplib::Headers& headers, const char* name) {
  const auto found = headers.find(name);
  return found == headers.end() ? "" : found->second;
}

}  // namespace

void answerJson(httplib::Response& response, const nlohmann::json& json, int status) {
  response.status = status;
  response.set_content(json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                       "application/json");
}

void answerError(httplib::Response& response, int status, ErrorCode code, std::string_view reason,
                 std::string_view message, Execution execution) {
  answerJson(response,
             {{"error",
               {{"type", errorCodeName(code)},
                {"reason", reason},
                {"message", message},
                {"ran", executionName(execution)}}}},
             status);
}

StandIn::StandIn(uint64_t seed) : faults_(seed) {
  server_.set_pre_routing_handler([this](const httplib::Request& request, httplib::Response& response) {
    return refuseOrWait(request, response) ? httplib::Server::HandlerResponse::Handled
                                           : httplib::Server::HandlerResponse::Unhandled;
  });
  addAdminRoutes();
}

StandIn::~StandIn() {
  stop();
}

Result<uint16_t> StandIn::start(const Address& address) {
  Result<uint16_t> port = server_.start(address);
  if (port) {
    timer_ = std::thread([this] { runTimer(); });
  }
  return port;
}

void StandIn::stop() {
  stopping_ = true;
  poke();
  server_.stopServing();
  if (timer_.joinable()) {
    timer_.join();
  }
}

void StandIn::inject(const Fault& fault) {
  const absl::Time now = absl::Now();
  faults_.add(fault, now);
  if (fault.kind == FaultKind::kCrash) {
    setCrashed(true, fault.keep_cache);
  }
  if (fault.kind == FaultKind::kCut) {
    server_.cutWhere([&](const httplib::Headers& headers) {
      return faults_.isCutOff(headerOf(headers, "X-Zone"), headerOf(headers, "X-Node"), now);
    });
  }
  poke();
}

void StandIn::clearFaults() {
  faults_.clear();
  poke();
}

// Applies the faults that come before any handler. True if the request is dealt with.
bool StandIn::refuseOrWait(const httplib::Request& request, httplib::Response& response) {
  if (isAdmin(request)) {
    return false;
  }
  if (faults_.isCutOff(headerOf(request.headers, "X-Zone"), headerOf(request.headers, "X-Node"),
                       absl::Now())) {
    server_.cut(request);
    return true;
  }
  waitWhilePaused();
  if (faults_.isActive(FaultKind::kOutage, absl::Now())) {
    answerError(response, kServiceUnavailable, ErrorCode::kUnavailable, "outage", "the service is down");
    return true;
  }
  return false;
}

StandIn::Handler StandIn::guarded(Handler handler) {
  return [this, handler = std::move(handler)](const httplib::Request& request, httplib::Response& response) {
    try {
      handler(request, response);
    } catch (const nlohmann::json::exception& error) {
      answerError(response, kBadRequest, ErrorCode::kInvalidArgument, "malformed_body", error.what());
    }
    if (!isAdmin(request)) {
      spoilAnswer(request, response);
    }
  };
}

// Applies the faults that come between the work and its answer.
void StandIn::spoilAnswer(const httplib::Request& request, httplib::Response& response) {
  const absl::Time now = absl::Now();
  Fault late;
  if (faults_.strikes(FaultKind::kLateAnswers, now, late)) {
    sleepUnlessStopping(late.delay);
  }
  if (faults_.strikes(FaultKind::kLoseAnswers, now)) {
    server_.cut(request);
    return;
  }
  if (response.body.empty()) {
    return;
  }
  if (faults_.strikes(FaultKind::kGarbledAnswers, now)) {
    response.body.resize(response.body.size() / 2);
    response.body += kGarbage;
  }
  const absl::MutexLock lock(&last_answer_mutex_);
  const std::string own = response.body;
  if (!last_answer_.empty() && faults_.strikes(FaultKind::kCrossedAnswers, now)) {
    response.body = last_answer_;
  }
  last_answer_ = own;
}

void StandIn::sleepUnlessStopping(absl::Duration duration) const {
  const absl::Time end = absl::Now() + duration;
  for (absl::Time now = absl::Now(); now < end && !stopping_; now = absl::Now()) {
    absl::SleepFor(std::min(end - now, kLongestNap));
  }
}

nlohmann::json StandIn::bodyOf(const httplib::Request& request) {
  return nlohmann::json::parse(request.body);
}

void StandIn::waitWhilePaused() {
  const absl::Time give_up = absl::Now() + kLongestPause;
  while (!stopping_ && absl::Now() < give_up && faults_.isActive(FaultKind::kPause, absl::Now())) {
    absl::SleepFor(kPausePoll);
  }
}

void StandIn::addAdminRoutes() {
  server_.Post("/admin/faults", guarded([this](const httplib::Request& request, httplib::Response& response) {
                 const Result<Fault> fault = faultFromJson(bodyOf(request));
                 if (!fault) {
                   answerError(response, kBadRequest, fault.error().code, "fault", fault.error().message);
                   return;
                 }
                 answerJson(response, {{"fault", faultToJson(fault.value())}});
                 inject(fault.value());
               }));
  server_.Get("/admin/faults", guarded([this](const httplib::Request&, httplib::Response& response) {
                nlohmann::json list = nlohmann::json::array();
                for (const Fault& fault : faults_.active(absl::Now())) {
                  list.push_back(faultToJson(fault));
                }
                answerJson(response, {{"faults", list}});
              }));
  server_.Delete("/admin/faults", guarded([this](const httplib::Request&, httplib::Response& response) {
                   clearFaults();
                   answerJson(response, {{"faults", nlohmann::json::array()}});
                 }));
}

void StandIn::poke() {
  const absl::MutexLock lock(&timer_mutex_);
  poked_ = true;
  timer_changed_.Signal();
}

void StandIn::runTimer() {
  while (!stopping_) {
    const absl::Time now = absl::Now();
    updateCrash(now);
    const absl::Time due = std::min(tick(now), faults_.nextEnd());
    const absl::MutexLock lock(&timer_mutex_);
    while (!poked_ && !timer_changed_.WaitWithDeadline(&timer_mutex_, due)) {
    }
    poked_ = false;
  }
}

void StandIn::updateCrash(absl::Time now) {
  bool back = false;
  bool keep_cache = false;
  {
    const absl::MutexLock lock(&crash_mutex_);
    back = crashed_ && !faults_.isActive(FaultKind::kCrash, now);
    keep_cache = keep_cache_;
  }
  if (back) {
    setCrashed(false, keep_cache);
  }
}

void StandIn::setCrashed(bool crashed, bool keep_cache) {
  {
    const absl::MutexLock lock(&crash_mutex_);
    crashed_ = crashed;
    keep_cache_ = keep_cache;
  }
  if (crashed) {
    server_.setReachable(false);
    server_.cutAll();
    onCrash(true, keep_cache);
    return;
  }
  onCrash(false, keep_cache);
  server_.setReachable(true);
}

}  // namespace quincewick::emulator
