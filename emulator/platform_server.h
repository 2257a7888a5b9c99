// The platform's table, object store and machine list over HTTP, in this process.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <vector>

#include "emulator/platform_model.h"
#include "emulator/stand_in.h"

namespace quincewick::emulator {

// Its contents outlive its crashes: they stand for a service that is replicated elsewhere.
class PlatformServer : public StandIn {
 public:
  explicit PlatformServer(PlatformSettings settings);
  ~PlatformServer() override;

  // The machines as they are from now on; callers see them after the lag. Thread-safe.
  void setMachines(std::vector<Machine> machines);

  PlatformCounters counters();

 private:
  absl::Time tick(absl::Time /*now*/) override { return absl::InfiniteFuture(); }
  void onCrash(bool /*crashed*/, bool /*keep_cache*/) override {}

  void addRoutes();
  void call(const PlatformRequest& platform_request, const httplib::Request& request,
            httplib::Response& response);

  absl::Mutex mutex_;
  PlatformModel model_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace quincewick::emulator
