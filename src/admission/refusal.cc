#include "admission/refusal.h"

namespace quincewick::admission {

std::string_view refusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kTenantQueueFull:
      return "tenant_queue_full";
    case RefusalReason::kQueueFull:
      return "queue_full";
    case RefusalReason::kDisplaced:
      return "displaced";
    case RefusalReason::kDeadlineUnreachable:
      return "deadline_unreachable";
    case RefusalReason::kDeadlinePassed:
      return "deadline_passed";
    case RefusalReason::kWaitedTooLong:
      return "waited_too_long";
    case RefusalReason::kTenantLimit:
      return "tenant_limit";
    case RefusalReason::kLimitUnavailable:
      return "limit_unavailable";
    case RefusalReason::kDuplicateId:
      return "duplicate_id";
  }
  return "unknown";
}

RefusalClass refusalClass(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kTenantQueueFull:
    case RefusalReason::kTenantLimit:
      return RefusalClass::kTenantOverLimit;
    case RefusalReason::kDuplicateId:
      return RefusalClass::kInvalid;
    default:
      return RefusalClass::kOverloaded;
  }
}

int refusalHttpStatus(RefusalClass refusal_class) {
  constexpr int kBadRequest = 400;
  constexpr int kTooManyRequests = 429;
  constexpr int kServiceUnavailable = 503;
  switch (refusal_class) {
    case RefusalClass::kTenantOverLimit:
      return kTooManyRequests;
    case RefusalClass::kInvalid:
      return kBadRequest;
    case RefusalClass::kOverloaded:
      return kServiceUnavailable;
  }
  return kServiceUnavailable;
}

}  // namespace quincewick::admission
