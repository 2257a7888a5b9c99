// Moves a kept answer from the node that served it to the node that its caller came back to.
#pragma once

#include <string>

#include "streams/stream_store.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::node {

// Asks the serving node to give an answer away.
struct TakeAnswerRequest {
  RequestId request;
  TenantId tenant;
};

std::string encodeTakeAnswer(const TakeAnswerRequest& request);
Result<TakeAnswerRequest> decodeTakeAnswer(const std::string& bytes);

std::string encodeRecentAnswer(const streams::RecentAnswer& answer);
Result<streams::RecentAnswer> decodeRecentAnswer(const std::string& bytes);

}  // namespace quincewick::node
