// Chooses a server of a service without engines: the one with the lowest expected latency, from its past
// response times, its requests in flight and its recent failures.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

#include "forwarding/server_directory.h"

namespace quincewick::forwarding {

// Returns null if no server takes work. `excluded`: identity hashes of servers that this request must not be
// sent to again.
ServerDirectory::ServerPointer chooseServer(const std::vector<ServerDirectory::ServerPointer>& servers,
                                            const std::vector<uint64_t>& excluded, const ZoneName& own_zone,
                                            absl::Time now, absl::BitGenRef random);

// The earliest time at which a server that is held back only by its own back pressure is available; infinite
// if a server is available now or none is held back.
absl::Time firstAvailableAt(const std::vector<ServerDirectory::ServerPointer>& servers, absl::Time now);

}  // namespace quincewick::forwarding
