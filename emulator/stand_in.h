// What all stand-ins share: an HTTP server, fault switches with their admin calls, and one timer thread.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <thread>

#include "emulator/faults.h"
#include "emulator/http_server.h"
#include "types/back_end.h"
#include "types/error.h"

namespace quincewick::emulator {

// Answers with the project's typed error body.
void answerError(httplib::Response& response, int status, ErrorCode code, std::string_view reason,
                 std::string_view message, Execution execution = Execution::kNotRun);
void answerJson(httplib::Response& response, const nlohmann::json& json, int status = 200);

// Base of the stand-ins. Derived classes add routes in their constructor and call stop() first in their
// destructor. `start`, `stop`, `inject` and `clearFaults` may be called from any thread, start and stop by
// one at a time. A stand-in starts once.
class StandIn {
 public:
  explicit StandIn(uint64_t seed);
  virtual ~StandIn();
  StandIn(const StandIn&) = delete;
  StandIn& operator=(const StandIn&) = delete;

  // Listens on a numeric address (port 0: any free one); returns the port.
  Result<uint16_t> start(const Address& address);
  // Cuts every connection and joins every thread. Harmless when not running.
  void stop();

  // Switches a fault on. Kinds that mean nothing to this stand-in have no effect.
  void inject(const Fault& fault);
  // Ends every fault at once; a crashed stand-in comes back.
  void clearFaults();

 protected:
  using Handler = std::function<void(const httplib::Request&, httplib::Response&)>;

  // Wraps a handler: bad JSON and wrong types become 400, faults that every call shares are applied.
  Handler guarded(Handler handler);
  // The request's body as JSON; throws a JSON exception that `guarded` turns into 400.
  static nlohmann::json bodyOf(const httplib::Request& request);

  HttpServer& server() { return server_; }
  FaultBoard& faults() { return faults_; }
  bool stopping() const { return stopping_; }
  void sleepUnlessStopping(absl::Duration duration) const;
  // Returns when no fault pauses this stand-in: a paused process sends nothing.
  void waitWhilePaused();

  // Called by the timer thread when due and after each `poke`; returns when it is due next.
  virtual absl::Time tick(absl::Time now) = 0;
  // The process dies (true) or is back (false).
  virtual void onCrash(bool crashed, bool keep_cache) = 0;
  // Runs the timer soon.
  void poke();

 private:
  bool refuseOrWait(const httplib::Request& request, httplib::Response& response);
  void spoilAnswer(const httplib::Request& request, httplib::Response& response);
  void addAdminRoutes();
  void runTimer();
  void setCrashed(bool crashed, bool keep_cache);
  void updateCrash(absl::Time now);

  HttpServer server_;
  FaultBoard faults_;
  std::thread timer_;
  std::atomic<bool> stopping_ = false;
  absl::Mutex timer_mutex_;
  absl::CondVar timer_changed_;
  bool poked_ ABSL_GUARDED_BY(timer_mutex_) = false;
  absl::Mutex crash_mutex_;
  bool crashed_ ABSL_GUARDED_BY(crash_mutex_) = false;
  bool keep_cache_ ABSL_GUARDED_BY(crash_mutex_) = false;
  absl::Mutex last_answer_mutex_;
  std::string last_answer_ ABSL_GUARDED_BY(last_answer_mutex_);
};

}  // namespace quincewick::emulator
