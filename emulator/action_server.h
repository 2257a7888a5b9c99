// A server that runs actions and answers lookups, over HTTP, in this process.
#pragma once

#include <memory>

#include "emulator/action_run_log.h"
#include "emulator/stand_in.h"

namespace quincewick::emulator {

struct ActionServerSettings {
  absl::Duration action_time = absl::Milliseconds(20);  // the run takes effect in the middle of it
  absl::Duration lookup_time = absl::Milliseconds(5);
  std::shared_ptr<ActionRunLog> runs;  // shared by the servers of a site; none: one of its own
  uint64_t seed = 1;
};

// Every POST that reaches it runs the action, repeated or not, and is counted. Lookups may be repeated.
class ActionServer : public StandIn {
 public:
  explicit ActionServer(ActionServerSettings settings);
  ~ActionServer() override;

  // The runs of all servers that share the log.
  ActionRunLog& runs() { return *settings_.runs; }

 private:
  absl::Time tick(absl::Time /*now*/) override { return absl::InfiniteFuture(); }
  void onCrash(bool crashed, bool keep_cache) override;

  void act(const httplib::Request& request, httplib::Response& response);
  void lookUp(const httplib::Request& request, httplib::Response& response);
  nlohmann::json report();

  const ActionServerSettings settings_;
  ActionRunLog own_runs_;  // of this server alone
  std::atomic<uint64_t> crashes_ = 0;
};

}  // namespace quincewick::emulator
