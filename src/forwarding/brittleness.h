// What servers say of the rejections that they stand, and what follows for servers of the same service that
// this gateway hasn't heard itself. Does no I/O; `now` never goes back.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <vector>

#include "forwarding/site_configuration.h"
#include "quota/shared_permits.h"

namespace quincewick::forwarding {

class BrittlenessRegister {
 public:
  // How long a sound server's statement holds. Other gateways report at once that a server has become
  // brittle.
  static constexpr absl::Duration kSoundValidity = absl::Seconds(10);
  // How long the other servers of a brittle server's service count as brittle.
  static constexpr absl::Duration kBrittleValidity = absl::Seconds(10);

  // A response of the server said how many rejections a second it stands; nothing: any number.
  void noteStatement(uint64_t server, const ServiceName& service, std::optional<uint32_t> max_rejections,
                     absl::Time now);
  // Another gateway heard this from a server of the service.
  void noteReport(const ServiceName& service, uint32_t max_rejections, absl::Time now);
  // By the site's record no server of the service was known to be brittle then, and one wasn't.
  void noteRecordedSound(const ServiceName& service, absl::Time at);
  // The services of which a server said lately that it isn't brittle, and no server that it is; and when.
  struct SoundService {
    ServiceName service;
    absl::Time heard;
  };
  std::vector<SoundService> soundServices(absl::Time now) const;
  // The process stood still: what was known may have changed meanwhile, but for servers that are brittle.
  void forgetSound();

  // What is known of the server now. `is_isolated`: no other gateway could have reported a change.
  quota::RejectionTolerance toleranceOf(uint64_t server, const ServiceName& service, bool is_isolated,
                                        absl::Time now) const;
  // Whether a server of the service said lately that it is brittle.
  bool isBrittle(const ServiceName& service, absl::Time now) const;
  bool isAnyBrittle(absl::Time now) const;
  // Whether a server of the service has ever been heard.
  bool isHeard(const ServiceName& service) const { return services_.contains(service); }

 private:
  struct Statement {
    uint32_t max_rejections = 0;  // 0: any number
    absl::Time at = absl::InfinitePast();
  };
  struct Service {
    absl::Time sound_at = absl::InfinitePast();    // the last statement of a server that isn't brittle
    absl::Time brittle_at = absl::InfinitePast();  // the last one of a server that is
    uint32_t max_rejections = 0;                   // the least of the statements around brittle_at
  };

  void noteBrittle(Service& service, uint32_t max_rejections, absl::Time now);

  absl::flat_hash_map<uint64_t, Statement> servers_;  // by identity hash
  absl::flat_hash_map<ServiceName, Service> services_;
  absl::flat_hash_map<ServiceName, absl::Time> recorded_sound_;  // when, by the site's record
};

}  // namespace quincewick::forwarding
