// The wire form of the platform's services: HTTP requests with JSON bodies.
#pragma once

#include <string>

#include "types/platform.h"

namespace quincewick::platform {

// One HTTP request to the platform.
struct WireRequest {
  std::string method;  // "GET", "POST", "PUT" or "DELETE"
  std::string path;    // with the query, escaped
  std::string body;
  std::string content_type;
  bool writes = false;  // a lost answer leaves the outcome unknown
};

// Spells a request.
WireRequest encodeRequest(const PlatformRequest& request);

// Reads an answer to `request`. What does not fit the request, or is no proper JSON, is a kInternal error, or
// kOutcomeUnknown if the request writes.
PlatformResult decodeResponse(const PlatformRequest& request, int status, const std::string& body);

}  // namespace quincewick::platform
