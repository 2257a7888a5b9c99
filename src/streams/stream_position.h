// The event id that callers see: which answer, which token, and so which node holds it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::streams {

// A token's place among all answers of the site.
struct StreamPosition {
  RequestId request;
  uint64_t offset = 0;  // of the last token that the caller holds

  friend bool operator==(const StreamPosition&, const StreamPosition&) = default;
};

// Names a request served by `node`; `unique` tells it from the node's others, in this and earlier lives.
RequestId makeRequestId(const NodeId& node, uint64_t unique);

// The node that serves the request and holds its recent tokens. An error when the id is not of this site's
// form.
Result<NodeId> servingNode(const RequestId& request);

// The `id` field of a token's event.
std::string formatEventId(const StreamPosition& position);

// Reads a `Last-Event-ID` header. An error for anything that formatEventId can't have made.
Result<StreamPosition> parseEventId(std::string_view text);

}  // namespace quincewick::streams
