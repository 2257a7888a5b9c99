// An inference request without its text: only what placement and admission decisions need.
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
  Labels labels;  // of the tenant and the kind; the request's own take precedence
  Urgency urgency = Urgency::kStandard;
  absl::Time arrival;
  absl::Time deadline = absl::InfiniteFuture();  // for the first token
  PrefixRoot root;
  PrefixChain prompt;
  uint32_t maximum_output_tokens = 0;
};

}  // namespace quincewick
