// A model engine over HTTP, in this process.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "emulator/engine_host.h"
#include "emulator/stand_in.h"

namespace quincewick::emulator {

// Without an incarnation, the time of the start is taken: later starts have greater ones.
struct EngineServerSettings {
  EngineHost::Settings host;
  std::optional<Address> cache_store;  // where exported blocks go; none: export and import are refused
};

// Speaks the engines' protocol: completions as server-sent events, resume and cancel, load, cache events,
// export and import of cached blocks, fenced orders. docs/operators/emulator.md lists the paths.
class EngineServer : public StandIn {
 public:
  explicit EngineServer(EngineServerSettings settings);
  ~EngineServer() override;

  // The engine itself, for tests and reports in this process.
  EngineHost& host() { return host_; }

 private:
  absl::Time tick(absl::Time now) override;
  void onCrash(bool crashed, bool keep_cache) override;

  void addCompletionRoutes();
  void addControlRoutes();
  void complete(const httplib::Request& request, httplib::Response& response);
  void resume(const httplib::Request& request, httplib::Response& response);
  void answerWhole(const Completion& completion, httplib::Response& response);
  void answerStream(const EngineHost::CompletionPointer& completion, uint64_t from,
                    httplib::Response& response);
  nlohmann::json endOf(const Completion& completion, const CompletionView& view);
  nlohmann::json loadReport();
  nlohmann::json state();
  nlohmann::json cacheEvents(const httplib::Request& request);
  void exportBlocks(const httplib::Request& request, httplib::Response& response);
  void importBlocks(const httplib::Request& request, httplib::Response& response);
  void takeOrder(const httplib::Request& request, httplib::Response& response);

  const EngineServerSettings settings_;
  double pace_ = 1;  // this and the next: only the timer thread
  bool drops_events_ = false;
  EngineHost host_;
};

}  // namespace quincewick::emulator
