// Message between gateways about prompt parts that crash servers. One datagram, encoded by cereal.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/part_quarantine.h"
#include "types/error.h"

namespace quincewick::gateway {

// Any of the lists may be empty.
struct PartMessage {
  std::vector<forwarding::PartCrash> crashes = {};
  std::vector<forwarding::AccusedParts> accused = {};          // the sender asks for objections
  std::vector<forwarding::ServedPart> served = {};             // by the sender
  std::vector<forwarding::QuarantinedParts> quarantined = {};  // to be rejected

  bool isEmpty() const { return crashes.empty() && accused.empty() && served.empty() && quarantined.empty(); }
};

// The number of bytes that a message takes.
size_t encodedSize(const PartMessage& message);

std::string encodePartMessage(const PartMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument, also for an unknown version.
Result<PartMessage> decodePartMessage(std::string_view bytes);

// Divides a crash into reports that fit into a datagram each.
std::vector<forwarding::PartCrash> splitForDatagrams(const forwarding::PartCrash& crash);

}  // namespace quincewick::gateway
