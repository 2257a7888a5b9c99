// The SSE event id: identifies the answer, the token, and through the request id the node that holds them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::streams {

// Position of a token, unique among all answers of the site.
struct StreamPosition {
  RequestId request;
  uint64_t offset = 0;  // of the last token that the caller holds

  friend bool operator==(const StreamPosition&, const StreamPosition&) = default;
};

// Names a request served by `node`; `unique` differs for all requests of the node,
// also across its restarts.
RequestId makeRequestId(const NodeId& node, uint64_t unique);

// The node that serves the request and holds its recent tokens. Errors: kInvalidArgument if the id doesn't
// have the form of makeRequestId.
Result<NodeId> servingNode(const RequestId& request);

// The `id` field of a token's event.
std::string formatEventId(const StreamPosition& position);

// Reads a `Last-Event-ID` header. Errors: kInvalidArgument for anything that
// formatEventId can't produce.
Result<StreamPosition> parseEventId(std::string_view text);

}  // namespace quincewick::streams
