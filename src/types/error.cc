#include "types/error.h"

namespace quincewick {

std::string_view errorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kUnauthenticated:
      return "unauthenticated";
    case ErrorCode::kPermissionDenied:
      return "permission_denied";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kResourceExhausted:
      return "resource_exhausted";
    case ErrorCode::kDeadlineExceeded:
      return "deadline_exceeded";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kFenced:
      return "fenced";
    case ErrorCode::kOutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::string_view executionName(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "no";
    case Execution::kUnknown:
      return "unknown";
    case Execution::kRan:
      return "yes";
  }
  return "unknown";
}

}  // namespace quincewick
