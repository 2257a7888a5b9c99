// A request for tokens, as decision logic sees it: no text, only what decisions need.
#pragma once

#include <absl/time/time.h>

#include <cstdint>

#include "types/block_key.h"
#include "types/identifiers.h"
#include "types/labels.h"
#include "types/urgency.h"

namespace quincewick {

struct InferenceRequest {
  RequestId id;
  TenantId tenant;
  RequestKind kind;
  ModelName model;
  AdapterName adapter;
  Labels labels;  // the tenant's and the kind's labels, the request's own winning
  Urgency urgency = Urgency::kStandard;
  absl::Time arrival;
  absl::Time deadline = absl::InfiniteFuture();  // for the first token
  PrefixRoot root;
  PrefixChain prompt;
  uint32_t maximum_output_tokens = 0;
};

}  // namespace quincewick
