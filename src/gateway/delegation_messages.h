// Messages between gateways about requests that one hands to another because it can't reach their servers.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/site_configuration.h"
#include "types/error.h"
#include "types/http_message.h"
#include "types/identifiers.h"

namespace quincewick::gateway {

// Datagrams by which a gateway finds others that reach a service.
enum class DelegationMessageKind : uint8_t {
  kAsk = 1,      // does the receiver take requests for the service?
  kOffer = 2,    // it does
  kRefusal = 3,  // it doesn't
};

struct DelegationMessage {
  DelegationMessageKind kind = DelegationMessageKind::kAsk;
  forwarding::ServiceName service;
  uint16_t port = 0;  // of an offer: TCP, at the sender's address
  uint32_t room = 0;  // of an offer: further requests that the sender takes
  std::vector<NodeId>
      referrals;  // of a refusal: gateways that made the sender an offer; kMaxReferrals at most
};

inline constexpr size_t kMaxReferrals = 2;

std::string encodeDelegationMessage(const DelegationMessage& message);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<DelegationMessage> decodeDelegationMessage(std::string_view bytes);

// A caller's request as it is handed on. The origin has admitted it and counted it under its tenant's limit
// and the retry budget. The receiver checks route and key by its own configuration too.
struct DelegatedRequest {
  std::string method;
  std::string target;
  HeaderFields fields;  // as the caller sent them, without hop-by-hop fields
  std::string body;
  forwarding::ServiceName service;          // chosen by the origin
  absl::Duration elapsed;                   // since the origin received the request
  absl::Duration time_left;                 // until the origin's deadline; infinite: none
  std::string last_event_id;                // of a stream that is resumed; empty: as the caller sent it
  bool asks_for_software = false;           // the outcome is to name the server's software version
  std::optional<SoftwareVersion> software;  // of the servers that may get it; asks_for_software is set then
};

std::string encodeDelegatedRequest(const DelegatedRequest& request);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<DelegatedRequest> decodeDelegatedRequest(std::string_view bytes);

// What the receiver's response says of the request.
enum class DelegationOutcome : uint8_t {
  kServed = 1,    // the response is a server's
  kDeclined = 2,  // no byte of the request was sent to a server
  kNotRun = 3,    // servers rejected it without running it
  kUnknown = 4,   // it may have run
};

// The outcome as it is sealed in the response.
struct DelegationReport {
  DelegationOutcome outcome = DelegationOutcome::kUnknown;
  // Of the server whose response it is, if the request asked for it and it is proven.
  std::optional<SoftwareVersion> software;
};

std::string encodeDelegationReport(const DelegationReport& report);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<DelegationReport> decodeDelegationReport(std::string_view bytes);

}  // namespace quincewick::gateway
