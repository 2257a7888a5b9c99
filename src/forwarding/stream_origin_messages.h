// Messages between gateways about the software versions that began streams. One datagram each, encoded by
// cereal.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "forwarding/site_configuration.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::forwarding {

// Names a stream by the caller's attempt that brought its first event. Tenants can't name each other's.
struct StreamKey {
  TenantId tenant;  // empty if the route needs no key
  std::string attempt_id;

  friend bool operator==(const StreamKey&, const StreamKey&) = default;
  template <class Hash>
  friend Hash AbslHashValue(Hash hash, const StreamKey& key) {
    return Hash::combine(std::move(hash), key.tenant.value(), key.attempt_id);
  }
};

// Where a stream began.
struct StreamOrigin {
  ServiceName service;
  SoftwareVersion software;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

struct StreamRecord {
  StreamKey key;
  StreamOrigin origin;
};

enum class StreamOriginMessageKind : uint8_t {
  kRecord = 1,         // the receiver is to hold the record
  kAcknowledge = 2,    // response: it does
  kAsk = 3,            // does the receiver hold a record of the stream?
  kFound = 4,          // response: it does
  kUnknown = 5,        // response: it doesn't
  kContradictory = 6,  // response: it holds records that name different origins
};

struct StreamOriginMessage {
  StreamOriginMessageKind kind = StreamOriginMessageKind::kAsk;
  uint64_t number = 0;      // chosen by the sender of a record or question; a response repeats it
  StreamRecord record;      // of kRecord and kFound; otherwise the key alone
  absl::Duration lifetime;  // of kRecord: how long it is to be held
};

std::string encodeStreamOriginMessage(const StreamOriginMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<StreamOriginMessage> decodeStreamOriginMessage(std::string_view bytes);

// A record as a row of the store.
std::string encodeStreamRecord(const StreamRecord& record);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<StreamRecord> decodeStreamRecord(std::string_view bytes);

}  // namespace quincewick::forwarding
