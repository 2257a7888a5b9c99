// Errors as HTTP answers: one typed JSON body for every failure.
#pragma once

#include <httplib.h>

#include <string>

#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::http {

// The status that the code maps to; every code has one.
int httpStatus(ErrorCode code);

// {"error":{"type","message","ran":"no|unknown|yes","retry_after_seconds"?,"request_id"}}.
std::string errorBody(const Error& error, const RequestId& request);

// Sets status, body and, when the error advises a repeat, the Retry-After header (whole seconds, rounded up).
void sendError(const Error& error, const RequestId& request, httplib::Response& response);

}  // namespace quincewick::http
