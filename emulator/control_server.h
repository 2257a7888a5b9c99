// The operator's door to a whole emulated site over HTTP.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "emulator/stand_in.h"
#include "types/platform.h"

namespace quincewick::emulator {

// What the control server drives. Calls come from its threads.
class SiteControl {
 public:
  virtual ~SiteControl() = default;

  virtual Result<void> inject(const std::string& target, const Fault& fault) = 0;
  virtual void clearFaults() = 0;
  virtual nlohmann::json report() = 0;
  virtual void setMachine(const Machine& machine) = 0;
  virtual void removeMachine(const std::string& id) = 0;
  virtual std::optional<Machine> machine(const std::string& id) = 0;
};

// GET /admin/site reports; POST /admin/site/faults (a fault with a "target") and DELETE /admin/site/faults
// switch; PUT and DELETE /admin/machines/ID change the machine list. Reachable whatever fails in the site.
class ControlServer : public StandIn {
 public:
  // `site` must outlive this server.
  explicit ControlServer(SiteControl& site);
  ~ControlServer() override;

 private:
  absl::Time tick(absl::Time /*now*/) override { return absl::InfiniteFuture(); }
  void onCrash(bool /*crashed*/, bool /*keep_cache*/) override {}

  void addRoutes();
  void injectFault(const httplib::Request& request, httplib::Response& response);
  void putMachine(const httplib::Request& request, httplib::Response& response);

  SiteControl& site_;
};

}  // namespace quincewick::emulator
