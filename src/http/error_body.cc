#include "http/error_body.h"

#include <absl/time/time.h>

#include <nlohmann/json.hpp>

namespace quincewick::http {

int httpStatus(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kUnauthenticated:
      return 401;
    case ErrorCode::kPermissionDenied:
      return 403;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
    case ErrorCode::kFenced:
      return 409;
    case ErrorCode::kResourceExhausted:
      return 429;
    case ErrorCode::kUnavailable:
    case ErrorCode::kDeadlineExceeded:
      return 503;
    case ErrorCode::kOutcomeUnknown:
      return 504;
    case ErrorCode::kInternal:
      return 502;
  }
  return 500;
}

std::string errorBody(const Error& error, const RequestId& request) {
  nlohmann::json body = {
      {"type", errorCodeName(error.code)},
      {"message", error.message},
      {"ran", executionName(error.execution)},
      {"request_id", request.value()},
  };
  if (error.retry_after > absl::ZeroDuration()) {
    body["retry_after_seconds"] = absl::ToDoubleSeconds(error.retry_after);
  }
  // The message may quote invalid UTF-8 from the request: `replace` substitutes it, where the default would
  // throw.
  return nlohmann::json{{"error", body}}.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void sendError(const Error& error, const RequestId& request, httplib::Response& response) {
  response.status = httpStatus(error.code);
  if (error.retry_after > absl::ZeroDuration()) {
    const int64_t seconds = absl::ToInt64Seconds(absl::Ceil(error.retry_after, absl::Seconds(1)));
    response.set_header("Retry-After", std::to_string(seconds));
  }
  response.set_content(errorBody(error, request), "application/json");
}

}  // namespace quincewick::http
