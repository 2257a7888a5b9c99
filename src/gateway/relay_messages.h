// What a gateway asks a peer that reads the store for it, and the peer's answer. Bodies of HTTP calls,
// encoded by cereal and sealed.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/row_cache.h"
#include "types/error.h"

namespace quincewick::gateway {

// "What changed in the table since?" The answer is held until there is something to tell, or the wait is
// over.
struct RelayRequest {
  std::string table;
  uint64_t after = 0;     // version that the asker has; 0: all rows, please
  uint64_t readings = 0;  // of the peer that the asker knows of: a newer one is worth an answer
  absl::Duration wait;

  friend bool operator==(const RelayRequest&, const RelayRequest&) = default;
};

struct RelayResponse {
  std::vector<forwarding::StoreRow> rows;
  bool is_whole = false;
  uint64_t version = 0;
  uint64_t readings = 0;
  // Since the last whole reading that confirms this began, when the answer was made.
  absl::Duration confirmed_ago;
  // Since the rows were as they are told here, at least, when the answer was made.
  absl::Duration as_of_ago;
  // From the question's coming until the answer was made.
  absl::Duration held_for;
};

// The same answer with its rows packed (packed_rows.h), for those who ask at kPackedPath. Gateways of an
// earlier build don't: they ask at kPlainPath, and answer a question at either path with a plain answer.
struct PackedRelayResponse {
  RelayResponse response;  // without rows
  std::string packed;
};
inline constexpr const char* kPlainPath = "/rows";
inline constexpr const char* kPackedPath = "/packed-rows";

std::string encodeRows(const std::vector<forwarding::StoreRow>& rows);
Result<std::vector<forwarding::StoreRow>> decodeRows(std::string_view bytes);
std::string encodePackedResponse(const PackedRelayResponse& response);
// Takes a packed answer or a plain one. Errors: kInvalidArgument.
Result<RelayResponse> decodeAnyRelayResponse(std::string_view bytes);

std::string encodeRelayRequest(const RelayRequest& request);
std::string encodeRelayResponse(const RelayResponse& response);
// Decode untrusted bytes. Errors: kInvalidArgument.
Result<RelayRequest> decodeRelayRequest(std::string_view bytes);
Result<RelayResponse> decodeRelayResponse(std::string_view bytes);

}  // namespace quincewick::gateway
