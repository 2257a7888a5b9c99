// HTTP error responses: every failure has the same typed JSON body.
#pragma once

#include <httplib.h>

#include <string>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::http {

// Returns the HTTP status of an error code; every code has one.
int httpStatus(ErrorCode code);

// Returns {"error":{"type","message","ran":"no|unknown|yes","retry_after_seconds"?,"request_id"}}.
std::string errorBody(const Error& error, const RequestId& request);

// Sets the status, the body and, if the error has a `retry_after`, the Retry-After header (whole seconds,
// rounded up).
void sendError(const Error& error, const RequestId& request, httplib::Response& response);

}  // namespace quincewick::http
