#include "emulator/engine_json.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "emulator/stand_in.h"

namespace quincewick::emulator {
namespace {

constexpr size_t kHalfDigits = 16;
constexpr int kHexadecimal = 16;

struct OrderName {
  OrderKind kind;
  const char* name;
};

constexpr std::array<OrderName, 5> kOrderNames = {{{OrderKind::kLoadWeights, "load_weights"},
                                                   {OrderKind::kLoadAdapter, "load_adapter"},
                                                   {OrderKind::kSetRole, "set_role"},
                                                   {OrderKind::kDrain, "drain"},
                                                   {OrderKind::kResume, "resume"}}};

struct RefusalAnswer {
  RefusalReason reason;
  int status;
  ErrorCode code;
  const char* name;
  const char* message;
};

constexpr std::array<RefusalAnswer, 10> kRefusals = {{
    {RefusalReason::kDown, 503, ErrorCode::kUnavailable, "down", "the engine is not running"},
    {RefusalReason::kDuplicate, 409, ErrorCode::kConflict, "duplicate", "a request with this id is running"},
    {RefusalReason::kUnknownModel, 404, ErrorCode::kNotFound, "model", "the model is not loaded"},
    {RefusalReason::kUnknownAdapter, 404, ErrorCode::kNotFound, "adapter", "the adapter is not loaded"},
    {RefusalReason::kWrongWeights, 409, ErrorCode::kConflict, "weights_version",
     "the model has another weights version"},
    {RefusalReason::kWrongIncarnation, 409, ErrorCode::kConflict, "incarnation",
     "the engine has another incarnation"},
    {RefusalReason::kDraining, 503, ErrorCode::kUnavailable, "draining", "the engine takes no new work"},
    {RefusalReason::kLoadingWeights, 503, ErrorCode::kUnavailable, "loading", "the model is being loaded"},
    {RefusalReason::kQueueFull, 429, ErrorCode::kResourceExhausted, "queue_full",
     "the engine's queue is full"},
    {RefusalReason::kInvalid, 400, ErrorCode::kInvalidArgument, "invalid", "there is nothing to generate"},
}};

bool parseHalf(std::string_view digits, uint64_t& value) {
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), value, kHexadecimal);
  return error == std::errc() && end == digits.data() + digits.size();
}

std::optional<BlockKey> blockFromHex(std::string_view text) {
  BlockKey key;
  if (text.size() != 2 * kHalfDigits || !parseHalf(text.substr(0, kHalfDigits), key.high) ||
      !parseHalf(text.substr(kHalfDigits), key.low)) {
    return std::nullopt;
  }
  return key;
}

}  // namespace

CompletionCall completionCallFromJson(const nlohmann::json& body) {
  constexpr uint64_t kMostTokens = 1'000'000;
  CompletionCall call;
  call.request_id = RequestId(body.at("request_id").get<std::string>());
  call.model = ModelName(body.at("model").get<std::string>());
  call.adapter = AdapterName(body.value("adapter", std::string()));
  call.prompt = body.at("prompt").get<std::string>();
  call.generated_prefix = body.value("generated_prefix", std::string());
  call.resume_from = body.value("resume_from", uint64_t{0});
  call.maximum_tokens = static_cast<uint32_t>(std::min(body.value("max_tokens", uint64_t{0}), kMostTokens));
  call.priority = static_cast<uint8_t>(std::min<uint64_t>(body.value("priority", uint64_t{1}), UINT8_MAX));
  call.cache_salt = body.value("cache_salt", std::string());
  if (body.contains("weights_version")) {
    call.wanted_weights = WeightsVersion(body["weights_version"].get<uint64_t>());
  }
  if (body.contains("incarnation")) {
    call.wanted_incarnation = Incarnation(body["incarnation"].get<uint64_t>());
  }
  return call;
}

std::optional<EngineOrder> orderFromJson(const nlohmann::json& body) {
  const auto kind = body.at("kind").get<std::string>();
  for (const OrderName& known : kOrderNames) {
    if (kind == known.name) {
      EngineOrder order;
      order.kind = known.kind;
      order.epoch = Epoch(body.at("epoch").get<uint64_t>());
      order.sequence = Sequence(body.at("sequence").get<uint64_t>());
      order.model = ModelName(body.value("model", std::string()));
      order.weights_version = WeightsVersion(body.value("weights_version", uint64_t{0}));
      order.adapter = AdapterName(body.value("adapter", std::string()));
      order.role = body.value("role", std::string());
      return order;
    }
  }
  return std::nullopt;
}

std::optional<std::vector<BlockKey>> blocksFromJson(const nlohmann::json& list) {
  std::vector<BlockKey> blocks;
  for (const nlohmann::json& entry : list) {
    const std::optional<BlockKey> key = blockFromHex(entry.get_ref<const std::string&>());
    if (!key) {
      return std::nullopt;
    }
    blocks.push_back(*key);
  }
  return blocks;
}

nlohmann::json blocksToJson(const std::vector<BlockKey>& blocks) {
  nlohmann::json list = nlohmann::json::array();
  for (const BlockKey& block : blocks) {
    list.push_back(blockKeyToHex(block));
  }
  return list;
}

nlohmann::json modelsToJson(const std::vector<LoadedModel>& models) {
  nlohmann::json list = nlohmann::json::array();
  for (const LoadedModel& model : models) {
    nlohmann::json adapters = nlohmann::json::array();
    for (const AdapterName& adapter : model.adapters) {
      adapters.push_back(adapter.value());
    }
    list.push_back({{"model", model.model.value()},
                    {"weights_version", model.weights_version.value()},
                    {"adapters", adapters}});
  }
  return list;
}

nlohmann::json violationsToJson(const CacheViolations& violations) {
  return {{"salt", violations.salt},
          {"weights_version", violations.weights_version},
          {"incarnation", violations.incarnation},
          {"total", violations.total()}};
}

nlohmann::json cacheEventToJson(const CacheEvent& event) {
  return {{"sequence", event.sequence.value()},
          {"kind", event.kind == CacheEventKind::kStored ? "stored" : "evicted"},
          {"block", blockKeyToHex(event.block)}};
}

void answerRefusal(httplib::Response& response, RefusalReason reason) {
  for (const RefusalAnswer& answer : kRefusals) {
    if (answer.reason == reason) {
      answerError(response, answer.status, answer.code, answer.name, answer.message);
      return;
    }
  }
}

uint64_t queryNumber(const httplib::Request& request, const std::string& name, uint64_t fallback) {
  uint64_t number = 0;
  return absl::SimpleAtoi(request.get_param_value(name), &number) ? number : fallback;
}

}  // namespace quincewick::emulator
