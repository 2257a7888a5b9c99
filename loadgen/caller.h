// One caller: sends single requests over kept connections and checks the answers.
#pragma once

#include <absl/time/time.h>
#include <httplib.h>

#include <memory>
#include <string>
#include <vector>

#include "loadgen/driver.h"
#include "loadgen/outcome.h"

namespace quincewick::loadgen {

// A request ready to be sent, made before its intended time.
struct PreparedRequest {
  Arrival arrival;
  httplib::Request request;
  std::string prompt;  // as the engine sees it; empty for actions
};

PreparedRequest prepareRequest(const Workload& workload, const DriverOptions& options, Arrival arrival);

// Not thread-safe: one for each worker. Keeps a connection to each target.
class Caller {
 public:
  // `start` is the time that all times in outcomes count from.
  Caller(const Workload& workload, const DriverOptions& options, absl::Time start);

  // Sends and waits for the end of the answer.
  RequestOutcome send(PreparedRequest prepared);

 private:
  // Returns the error of the last target tried.
  httplib::Error sendToAnyTarget(size_t first_target, httplib::Request& request, httplib::Response& response);
  void sendInference(PreparedRequest& prepared, RequestOutcome& outcome);
  void sendAction(PreparedRequest& prepared, RequestOutcome& outcome);
  absl::Duration elapsed() const;

  const Workload& workload_;
  const DriverOptions& options_;
  absl::Time start_;
  std::vector<std::unique_ptr<httplib::Client>> clients_;
};

}  // namespace quincewick::loadgen
