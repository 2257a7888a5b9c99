// Chooses a server of a plain service: the one that is expected to answer soonest, by its answers' times, the
// work under way there and its failures of late.
#pragma once

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

#include "forwarding/server_directory.h"

namespace quincewick::forwarding {

// Returns null where no server takes work. `excluded`: identity hashes of servers that this request must not
// go to again.
ServerDirectory::ServerPointer chooseServer(const std::vector<ServerDirectory::ServerPointer>& servers,
                                            const std::vector<uint64_t>& excluded, const ZoneName& own_zone,
                                            absl::Time now, absl::BitGenRef random);

// When the first of the servers is free that only their own word holds back; infinite where one is free or
// none is held back.
absl::Time firstAvailableAt(const std::vector<ServerDirectory::ServerPointer>& servers, absl::Time now);

}  // namespace quincewick::forwarding
