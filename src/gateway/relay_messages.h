// Requests of followers to their zone's reader, and its responses: bodies of HTTP calls, encoded by cereal
// and sealed, that is, authenticated with a MAC under the site's key.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/row_cache.h"
#include "types/error.h"

namespace quincewick::gateway {

// A long poll for the changes of a table. The response is held until there is an update, or `wait` has
// passed.
struct RelayRequest {
  std::string table;
  uint64_t after = 0;         // version that the requester has; 0: request a snapshot
  uint64_t update_count = 0;  // of the reader, last known to the requester; a newer one is an update
  absl::Duration wait;

  friend bool operator==(const RelayRequest&, const RelayRequest&) = default;
};

// The state of the reader's copy of the table.
struct CopyState {
  uint64_t digest = 0;    // RowCache::digest()
  uint64_t restores = 0;  // of the store that the reader has noticed: StoreHistory::restores()
};

struct RelayResponse {
  std::vector<forwarding::StoreRow> rows;
  bool is_whole = false;
  uint64_t version = 0;
  uint64_t update_count = 0;
  // Time from the start of the last complete read that confirms the rows until the response was created.
  absl::Duration confirmed_ago;
  // Staleness of the rows when the response was created, at most.
  absl::Duration as_of_ago;
  // Time from the receipt of the request until the response was created.
  absl::Duration held_for;
  // Nothing in responses of earlier builds.
  std::optional<CopyState> copy;
};

// A response with packed rows (packed_rows.h), for requests to kPackedPath. Gateways of an earlier build use
// kPlainPath, and send plain responses to requests at either path. Requests with kCopyStateField get the
// copy's state as well, except from gateways of an earlier build.
struct PackedRelayResponse {
  RelayResponse response;  // without rows
  std::string packed;
};
inline constexpr const char* kPlainPath = "/rows";
inline constexpr const char* kPackedPath = "/packed-rows";
inline constexpr const char* kCopyStateField = "Copy-State";

std::string encodeRows(const std::vector<forwarding::StoreRow>& rows);
Result<std::vector<forwarding::StoreRow>> decodeRows(std::string_view bytes);
std::string encodePackedResponse(const PackedRelayResponse& response);
// Decodes a packed or plain response, with or without the copy's state, from untrusted bytes. Errors:
// kInvalidArgument.
Result<RelayResponse> decodeAnyRelayResponse(std::string_view bytes);

std::string encodeRelayRequest(const RelayRequest& request);
std::string encodeRelayResponse(const RelayResponse& response);
// Decode untrusted bytes. Errors: kInvalidArgument.
Result<RelayRequest> decodeRelayRequest(std::string_view bytes);
Result<RelayResponse> decodeRelayResponse(std::string_view bytes);

}  // namespace quincewick::gateway
