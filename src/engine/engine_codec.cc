#include "engine/engine_codec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace quincewick::engine {
namespace {

using Json = nlohmann::json;

constexpr size_t kHexDigitsOfHalfKey = 16;

auto broken(const std::string& message) {
  return fail(ErrorCode::kInternal, "engine: " + message, Execution::kUnknown);
}

Result<Json> parseObject(std::string_view text) {
  constexpr bool allow_exceptions = false;
  Json json = Json::parse(text, nullptr, allow_exceptions);
  if (json.is_discarded() || !json.is_object()) {
    return broken("not a JSON object");
  }
  return json;
}

uint64_t numberOr(const Json& object, const char* field, uint64_t otherwise) {
  const auto entry = object.find(field);
  return entry != object.end() && entry->is_number_unsigned() ? entry->get<uint64_t>() : otherwise;
}

std::string textOr(const Json& object, const char* field, const char* otherwise) {
  const auto entry = object.find(field);
  return entry != object.end() && entry->is_string() ? entry->get<std::string>() : otherwise;
}

// The object under `field`, or an empty one.
const Json& objectOf(const Json& object, const char* field) {
  static const Json& empty = *new Json(Json::object());
  const auto entry = object.find(field);
  return entry != object.end() && entry->is_object() ? *entry : empty;
}

EngineLoad loadOf(const Json& json) {
  EngineLoad load;
  load.incarnation = Incarnation(numberOr(json, "incarnation", 0));
  load.running = static_cast<uint32_t>(numberOr(json, "running", 0));
  load.waiting = static_cast<uint32_t>(numberOr(json, "waiting", 0));
  load.queued_prefill = numberOr(json, "queued_prefill", 0);
  load.cached_blocks = static_cast<uint32_t>(numberOr(json, "cached_blocks", 0));
  load.cache_capacity_blocks = static_cast<uint32_t>(numberOr(json, "cache_capacity_blocks", 0));
  return load;
}

Usage usageOf(const Json& json) {
  Usage usage;
  usage.prompt_tokens = numberOr(json, "prompt_tokens", 0);
  usage.completion_tokens = numberOr(json, "completion_tokens", 0);
  usage.cached_tokens = numberOr(objectOf(json, "prompt_tokens_details"), "cached_tokens", 0);
  return usage;
}

std::optional<BlockKey> blockKeyFromHex(std::string_view hex) {
  if (hex.size() != 2 * kHexDigitsOfHalfKey) {
    return std::nullopt;
  }
  BlockKey key;
  const absl::string_view high(hex.data(), kHexDigitsOfHalfKey);
  const absl::string_view low(hex.data() + kHexDigitsOfHalfKey, kHexDigitsOfHalfKey);
  if (!absl::SimpleHexAtoi(high, &key.high) || !absl::SimpleHexAtoi(low, &key.low)) {
    return std::nullopt;
  }
  return key;
}

const char* orderKindName(OrderKind kind) {
  switch (kind) {
    case OrderKind::kLoadWeights:
      return "load_weights";
    case OrderKind::kLoadAdapter:
      return "load_adapter";
    case OrderKind::kSetRole:
      return "set_role";
    case OrderKind::kDrain:
      return "drain";
    case OrderKind::kResume:
      return "resume";
  }
  return "drain";
}

std::string dump(const Json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<const Json*> firstChoice(const Json& json) {
  const auto choices = json.find("choices");
  if (choices == json.end() || !choices->is_array() || choices->empty() || !choices->front().is_object()) {
    return broken("an event without a choice");
  }
  return &choices->front();
}

Result<uint64_t> offsetOf(const ServerSentEvent& event) {
  uint64_t offset = 0;
  if (!absl::SimpleAtoi(event.id, &offset)) {
    return broken("an event without an offset");
  }
  return offset;
}

std::optional<EngineObservation> observationOf(const Json& json) {
  if (!json.contains("engine")) {
    return std::nullopt;
  }
  const Json& engine = objectOf(json, "engine");
  return EngineObservation{loadOf(engine), WeightsVersion(numberOr(engine, "weights_version", 0))};
}

}  // namespace

std::string encodeRequest(const EngineRequest& request) {
  Json json = {
      {"model", request.model.value()},
      {"prompt", request.prompt},
      {"max_tokens", request.maximum_tokens},
      {"stream", true},
      {"priority", static_cast<int>(request.urgency)},
      {"cache_salt", request.cache_salt},
      {"request_id", request.request.value()},
  };
  if (!request.adapter.empty()) {
    json["adapter"] = request.adapter.value();
  }
  if (request.resume_from > 0) {
    json["resume_from"] = request.resume_from;
    json["generated_prefix"] = request.generated_prefix;
  }
  if (request.incarnation != Incarnation()) {
    json["incarnation"] = request.incarnation.value();
  }
  if (request.weights_version != WeightsVersion()) {
    json["weights_version"] = request.weights_version.value();
  }
  return dump(json);
}

std::string encodeOrder(const EngineOrder& order) {
  const Json json = {
      {"epoch", order.epoch.value()},
      {"sequence", order.sequence.value()},
      {"kind", orderKindName(order.kind)},
      {"model", order.model.value()},
      {"weights_version", order.weights_version.value()},
      {"adapter", order.adapter.value()},
      {"role", order.role},
  };
  return dump(json);
}

Result<DecodedEvent> decodeStreamEvent(const EngineRequest& request, const ServerSentEvent& event) {
  DecodedEvent decoded;
  if (event.data == "[DONE]") {
    return decoded;
  }
  BOOST_OUTCOME_TRY(json, parseObject(event.data));
  const std::string stream = textOr(json, "id", "");
  if (!stream.empty() && stream != request.request.value()) {
    return broken("an event of another request");
  }
  BOOST_OUTCOME_TRY(choice, firstChoice(json));
  BOOST_OUTCOME_TRY(offset, offsetOf(event));
  decoded.observation = observationOf(json);
  const std::string finish_reason = textOr(*choice, "finish_reason", "");
  if (finish_reason.empty()) {
    decoded.answer = streams::EngineToken{request.attempt, offset, textOr(*choice, "text", "")};
    return decoded;
  }
  const FinishReason reason = finish_reason == "length" ? FinishReason::kLength : FinishReason::kStop;
  decoded.answer = streams::EngineEnd{request.attempt, offset, reason, usageOf(objectOf(json, "usage"))};
  return decoded;
}

Result<EngineReport> decodeReport(std::string_view body) {
  BOOST_OUTCOME_TRY(json, parseObject(body));
  EngineReport report;
  report.load = loadOf(json);
  const auto models = json.find("models");
  if (models == json.end() || !models->is_array()) {
    return broken("a load report without models");
  }
  for (const Json& entry : *models) {
    if (!entry.is_object()) {
      return broken("a model that is no object");
    }
    LoadedModel model;
    model.model = ModelName(textOr(entry, "model", ""));
    model.weights_version = WeightsVersion(numberOr(entry, "weights_version", 0));
    const auto adapters = entry.find("adapters");
    if (adapters != entry.end() && adapters->is_array()) {
      for (const Json& adapter : *adapters) {
        if (adapter.is_string()) {
          model.adapters.push_back(AdapterName(adapter.get<std::string>()));
        }
      }
    }
    report.models.push_back(std::move(model));
  }
  return report;
}

Result<CacheEventPage> decodeCacheEvents(std::string_view body) {
  BOOST_OUTCOME_TRY(json, parseObject(body));
  CacheEventPage page;
  page.incarnation = Incarnation(numberOr(json, "incarnation", 0));
  page.next = Sequence(numberOr(json, "next", 0));
  const auto events = json.find("events");
  if (events == json.end() || !events->is_array()) {
    return broken("a page of cache events without events");
  }
  for (const Json& entry : *events) {
    if (!entry.is_object()) {
      return broken("a cache event that is no object");
    }
    const std::optional<BlockKey> block = blockKeyFromHex(textOr(entry, "block", ""));
    if (!block.has_value()) {
      return broken("a cache event without a block");
    }
    const bool evicted = textOr(entry, "kind", "") == "evicted";
    const auto kind = evicted ? prefix::CacheEventKind::kEvicted : prefix::CacheEventKind::kStored;
    page.events.push_back(prefix::CacheEvent{Sequence(numberOr(entry, "sequence", 0)), kind, *block});
  }
  return page;
}

Error decodeRefusal(int status, std::string_view body) {
  Error error;
  error.message = absl::StrCat("engine: status ", status);
  error.execution = status < 500 || status == 503 ? Execution::kNotRun : Execution::kUnknown;
  if (status == 400) {
    error.code = ErrorCode::kInvalidArgument;
  } else if (status == 404) {
    error.code = ErrorCode::kNotFound;
  } else if (status == 409) {
    error.code = ErrorCode::kConflict;
  } else if (status == 429) {
    error.code = ErrorCode::kResourceExhausted;
  } else if (status == 503) {
    error.code = ErrorCode::kUnavailable;
  }
  const Result<Json> json = parseObject(body);
  if (json.has_value()) {
    const Json& details = objectOf(json.value(), "error");
    const std::string ran = textOr(details, "ran", "");
    if (ran == executionName(Execution::kUnknown) || ran == executionName(Execution::kRan)) {
      error.execution = Execution::kUnknown;
    }
    if (textOr(details, "type", "") == errorCodeName(ErrorCode::kFenced)) {
      error.code = ErrorCode::kFenced;
    }
  }
  return error;
}

}  // namespace quincewick::engine
