// What a site's gateways keep in the store of what its servers stand, so that gateways that all start again
// needn't find it out (docs/design/brittle_servers.md). Pure; times are of the store's clock.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <string>
#include <string_view>
#include <vector>

#include "forwarding/site_configuration.h"
#include "types/error.h"

namespace quincewick::forwarding {

// Servers of the service weren't brittle, when last heard.
struct SoundStatement {
  ServiceName service;
  absl::Duration heard;

  friend bool operator==(const SoundStatement&, const SoundStatement&) = default;
};

// What one gateway writes for all.
struct SoundRecord {
  std::vector<SoundStatement> statements;
};

std::string encodeSoundRecord(const SoundRecord& record);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<SoundRecord> decodeSoundRecord(std::string_view bytes);

// Those that no later statement contradicts. `brittle`: when servers of a service were first heard to be
// brittle; for as long as such a statement holds, a sound one is of another server.
std::vector<SoundStatement> withoutBrittle(std::vector<SoundStatement> sound,
                                           const absl::flat_hash_map<ServiceName, absl::Duration>& brittle);

}  // namespace quincewick::forwarding
