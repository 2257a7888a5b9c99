// Whether this gateway can open connections to the servers of each service. One server that fails is the
// directory's matter; here it is about a gateway that is partitioned from all of them.
//
// A service is cut off once connection attempts to several of its servers (to all, if it has few) have failed
// and none has succeeded in between. It is reachable again after several successes over some time, so that a
// path that comes and goes doesn't move requests to and fro. Only new connections count: those that are open
// may live on while new ones fail. Does no I/O; `now` never goes back.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <vector>

#include "forwarding/site_configuration.h"
#include "types/identifiers.h"

namespace quincewick::forwarding {

class PathMonitor {
 public:
  // Servers of a service that have to fail before it counts as cut off.
  static constexpr size_t kServersForVerdict = 4;

  // A connection attempt to a server of the service succeeded. Returns whether the service is reachable
  // again.
  bool noteConnected(const ServiceName& service, absl::Time now);
  // One failed. `server`: its identity hash; `servers`: how many the service has. Returns whether the service
  // is now cut off.
  bool noteFailed(const ServiceName& service, uint64_t server, size_t servers);
  // An unanswered connection attempt or a broken connection: the path needs to be checked.
  void noteDoubt(const ServiceName& service);

  bool isCutOff(const ServiceName& service) const;
  std::vector<ServiceName> cutOffServices() const;
  // The service has no servers any more.
  void forget(const ServiceName& service) { paths_.erase(service); }
  // Services that have to be probed now: in doubt or cut off.
  std::vector<ServiceName> servicesToProbe(absl::Time now) const;
  // A round of probes to the service starts.
  void noteProbed(const ServiceName& service, absl::Time now);
  // Whether the server has failed since the last success.
  bool hasFailed(const ServiceName& service, uint64_t server) const;
  // Whether any service is in doubt or cut off.
  bool isAnyInDoubt() const;

 private:
  struct Path {
    bool is_cut_off = false;
    bool is_in_doubt = false;
    absl::flat_hash_set<uint64_t> failed;  // servers since the last success
    size_t successes = 0;                  // in a row, while cut off
    absl::Time first_success;
    absl::Time last_probed = absl::InfinitePast();
  };

  absl::flat_hash_map<ServiceName, Path> paths_;
};

}  // namespace quincewick::forwarding
