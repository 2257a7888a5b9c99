#include "forwarding/path_monitor.h"

#include <algorithm>

namespace quincewick::forwarding {
namespace {

constexpr size_t kSuccessesForReturn = 3;
constexpr absl::Duration kTimeForReturn = absl::Milliseconds(300);
constexpr absl::Duration kProbeInterval = absl::Milliseconds(250);

}  // namespace

bool PathMonitor::noteConnected(const ServiceName& service, absl::Time now) {
  const auto found = paths_.find(service);
  if (found == paths_.end()) {
    return false;
  }
  Path& path = found->second;
  if (!path.is_cut_off) {
    path.is_in_doubt = false;
    path.failed.clear();
    return false;
  }
  if (path.successes++ == 0) {
    path.first_success = now;
  }
  if (path.successes < kSuccessesForReturn || now - path.first_success < kTimeForReturn) {
    return false;
  }
  path = Path();
  return true;
}

bool PathMonitor::noteFailed(const ServiceName& service, uint64_t server, size_t servers) {
  Path& path = paths_[service];
  path.is_in_doubt = true;
  path.failed.insert(server);
  path.successes = 0;
  const size_t needed = std::clamp<size_t>(servers, 1, kServersForVerdict);
  if (path.is_cut_off || path.failed.size() < needed) {
    return false;
  }
  path.is_cut_off = true;
  return true;
}

void PathMonitor::noteDoubt(const ServiceName& service) {
  paths_[service].is_in_doubt = true;
}

bool PathMonitor::isCutOff(const ServiceName& service) const {
  const auto found = paths_.find(service);
  return found != paths_.end() && found->second.is_cut_off;
}

std::vector<ServiceName> PathMonitor::cutOffServices() const {
  std::vector<ServiceName> services;
  for (const auto& [service, path] : paths_) {
    if (path.is_cut_off) {
      services.push_back(service);
    }
  }
  return services;
}

std::vector<ServiceName> PathMonitor::servicesToProbe(absl::Time now) const {
  std::vector<ServiceName> due;
  for (const auto& [service, path] : paths_) {
    if ((path.is_in_doubt || path.is_cut_off) && now - path.last_probed >= kProbeInterval) {
      due.push_back(service);
    }
  }
  return due;
}

void PathMonitor::noteProbed(const ServiceName& service, absl::Time now) {
  paths_[service].last_probed = now;
}

bool PathMonitor::hasFailed(const ServiceName& service, uint64_t server) const {
  const auto found = paths_.find(service);
  return found != paths_.end() && found->second.failed.contains(server);
}

bool PathMonitor::isAnyInDoubt() const {
  return std::any_of(paths_.begin(), paths_.end(),
                     [](const auto& entry) { return entry.second.is_in_doubt || entry.second.is_cut_off; });
}

}  // namespace quincewick::forwarding
