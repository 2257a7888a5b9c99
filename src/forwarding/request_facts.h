// Contents of messages, independent of the external protocol's spelling.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "types/back_end.h"
#include "types/identifiers.h"

namespace quincewick::forwarding {

// A part of a prompt. Requests with the same leading parts share their cached prefill.
struct PromptPart {
  std::string id;
  uint64_t tokens = 0;
};

struct RequestFacts {
  std::string attempt_id;  // identifies the caller's attempt, given by the caller; empty: none given
  std::optional<absl::Duration> deadline;
  std::optional<std::string> last_event_id;
  // The request goes on with the stream that this earlier attempt of the caller began.
  std::optional<std::string> resumed_attempt;
  std::optional<std::string> key;  // the caller's bearer key
  ModelName model;                 // empty: no prompt is declared
  std::vector<PromptPart> prompt;
  uint64_t output_tokens = 0;               // maximum to be generated
  std::optional<uint64_t> declared_tokens;  // of prompt and response together; nothing: not declared
};

struct ResponseFacts {
  std::string attempt_id;
  bool is_signed = false;   // has the signature field of the server that created it
  bool is_not_run = false;  // the server says that it did not run the request
  // The server says that it is another incarnation than the expected one, or has another weights version.
  bool is_other_server = false;
  std::optional<std::string> server_id;
  std::optional<WeightsVersion> weights_version;
  std::optional<absl::Duration> idle_limit;  // how long the server keeps an idle connection
  std::optional<double> rate_limit;          // requests a second from all gateways together
  bool is_leaving = false;                   // the server says that it drains
  // The server crashes once it has to reject more requests than this in a second; nothing: it doesn't say so.
  std::optional<uint32_t> max_rejections;
  std::optional<absl::Duration> back_off;      // requested by a server that rejected the request
  std::vector<std::string> unreadable_fields;  // names of fields with malformed values
};

// What the router sends to a server along with a request.
struct SendFacts {
  std::optional<absl::Duration> time_left;
  std::string server_id;
  std::optional<TenantId> tenant;
  std::optional<uint32_t> urgency;
  std::optional<std::string> last_event_id;
  // Of engines:
  std::optional<std::string> cache_salt;
  std::optional<WeightsVersion> weights_version;
  std::optional<Address> cache_source;  // where to fetch what the engine lacks
  std::optional<Address> cache_target;  // where to store what it prefills
};

}  // namespace quincewick::forwarding
