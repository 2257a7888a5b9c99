#include "platform/platform_messages.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "types/back_end.h"

namespace quincewick::platform {
namespace {

using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNoContent = 204;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

template <class... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

std::string encodeValue(const std::string& bytes) {
  return absl::Base64Escape(bytes);
}

std::string decodeValue(const Json& json) {
  std::string bytes;
  if (!absl::Base64Unescape(json.get<std::string>(), &bytes)) {
    throw std::invalid_argument("value is not base64");
  }
  return bytes;
}

// Escapes everything but unreserved characters and, for names of objects, the slash.
std::string escapePath(const std::string& text) {
  constexpr std::string_view kUnescaped = "-_.~/";
  std::string out;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (absl::ascii_isalnum(byte) || kUnescaped.find(character) != std::string_view::npos) {
      out.push_back(character);
    } else {
      absl::StrAppend(&out, "%", absl::Hex(byte, absl::kZeroPad2));
    }
  }
  return out;
}

WireRequest post(std::string path, const Json& body, bool writes) {
  return {"POST", std::move(path), body.dump(), "application/json", writes};
}

Json encodeTransaction(const TableTransaction& transaction) {
  Json conditions = Json::array();
  for (const TableCondition& condition : transaction.conditions) {
    conditions.push_back({{"key", condition.key}, {"version", condition.version}});
  }
  Json writes = Json::array();
  for (const TableWrite& write : transaction.writes) {
    writes.push_back({{"key", write.key}, {"value", write.value ? Json(encodeValue(*write.value)) : Json()}});
  }
  return {{"conditions", conditions}, {"writes", writes}};
}

std::vector<TableItem> decodeItems(const Json& json) {
  std::vector<TableItem> items;
  for (const Json& entry : json.at("items")) {
    TableItem item;
    item.key = entry.at("key").get<std::string>();
    item.version = entry.at("version").get<uint64_t>();
    if (item.version != kAbsentItemVersion) {
      item.value = decodeValue(entry.at("value"));
    }
    items.push_back(std::move(item));
  }
  return items;
}

MachineKind decodeMachineKind(const std::string& name) {
  if (name == "node") {
    return MachineKind::kNode;
  }
  if (name == "engine") {
    return MachineKind::kEngine;
  }
  if (name == "action_server") {
    return MachineKind::kActionServer;
  }
  if (name == "cache_store") {
    return MachineKind::kCacheStore;
  }
  throw std::invalid_argument("unknown kind of machine");
}

Address decodeAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port == 0 ||
      port > std::numeric_limits<uint16_t>::max()) {
    throw std::invalid_argument("address is not HOST:PORT");
  }
  return {text.substr(0, colon), static_cast<uint16_t>(port)};
}

Machine decodeMachine(const Json& json) {
  Machine machine;
  machine.id = json.at("id").get<std::string>();
  machine.kind = decodeMachineKind(json.at("kind").get<std::string>());
  machine.zone = ZoneName(json.at("zone").get<std::string>());
  machine.region = RegionName(json.at("region").get<std::string>());
  machine.address = decodeAddress(json.at("address").get<std::string>());
  const Json labels = json.value("labels", Json::object());
  for (const auto& [key, value] : labels.items()) {
    machine.labels.set(key, value.get<std::string>());
  }
  machine.leaving = json.value("leaving", false);
  return machine;
}

// One bad entry must not hide the rest of the site: it is left out.
MachineList decodeMachines(const Json& json) {
  MachineList list;
  for (const Json& entry : json.at("machines")) {
    try {
      list.machines.push_back(decodeMachine(entry));
    } catch (const std::exception&) {
      continue;
    }
  }
  return list;
}

PlatformResult decodeSuccess(const PlatformRequest& request, const std::string& body) {
  return std::visit(
      Overloaded{
          [&](const TableTransaction& transaction) -> PlatformResult {
            TableCommitted committed{Json::parse(body).at("versions").get<std::vector<uint64_t>>()};
            if (committed.versions.size() != transaction.writes.size()) {
              throw std::invalid_argument("one version for each write is expected");
            }
            return committed;
          },
          [&](const TableRead&) -> PlatformResult { return TableItems{decodeItems(Json::parse(body))}; },
          [&](const TableScan&) -> PlatformResult { return TableItems{decodeItems(Json::parse(body))}; },
          [&](const ObjectPut&) -> PlatformResult { return ObjectStored{}; },
          [&](const ObjectGet&) -> PlatformResult { return ObjectContent{body}; },
          [&](const ObjectDelete&) -> PlatformResult { return ObjectStored{}; },
          [&](const ObjectList&) -> PlatformResult {
            return ObjectNames{Json::parse(body).at("names").get<std::vector<std::string>>()};
          },
          [&](const MachineListRead&) -> PlatformResult { return decodeMachines(Json::parse(body)); },
      },
      request);
}

Error decodeFailure(const PlatformRequest& request, int status) {
  switch (status) {
    case kStatusNotFound:
      return {ErrorCode::kNotFound, "the platform has no such item", Execution::kNotRun};
    case kStatusTooManyRequests:
      return {ErrorCode::kResourceExhausted, "the platform limits the rate of calls", Execution::kNotRun};
    case kStatusUnavailable:
      return {ErrorCode::kUnavailable, "the platform is unavailable", Execution::kNotRun};
    default:
      break;
  }
  const std::string message = absl::StrCat("the platform answered with status ", status);
  // A server that fails in the middle of a write may have carried it out.
  if (encodeRequest(request).writes && status >= 500) {
    return {ErrorCode::kOutcomeUnknown, message, Execution::kUnknown};
  }
  return {ErrorCode::kInternal, message, Execution::kNotRun};
}

}  // namespace

WireRequest encodeRequest(const PlatformRequest& request) {
  return std::visit(
      Overloaded{
          [](const TableTransaction& transaction) {
            return post("/table/transact", encodeTransaction(transaction), !transaction.writes.empty());
          },
          [](const TableRead& read) {
            return post("/table/read", Json{{"keys", read.keys}}, false);
          },
          [](const TableScan& scan) {
            return post("/table/scan",
                        Json{{"prefix", scan.prefix}, {"after", scan.after}, {"limit", scan.limit}}, false);
          },
          [](const ObjectPut& put) {
            return WireRequest{"PUT", "/objects/" + escapePath(put.name), put.bytes,
                               "application/octet-stream", true};
          },
          [](const ObjectGet& get) {
            return WireRequest{"GET", "/objects/" + escapePath(get.name), "", "", false};
          },
          [](const ObjectDelete& erase) {
            return WireRequest{"DELETE", "/objects/" + escapePath(erase.name), "", "", true};
          },
          [](const ObjectList& list) {
            return WireRequest{"GET", "/objects?prefix=" + escapePath(list.prefix), "", "", false};
          },
          [](const MachineListRead&) {
            return WireRequest{"GET", "/machines", "", "", false};
          },
      },
      request);
}

PlatformResult decodeResponse(const PlatformRequest& request, int status, const std::string& body) {
  try {
    if (status == kStatusOk || status == kStatusNoContent) {
      return decodeSuccess(request, body);
    }
    if (status == kStatusConflict && std::holds_alternative<TableTransaction>(request)) {
      return TableConflict{decodeItems(Json::parse(body))};
    }
    return decodeFailure(request, status);
  } catch (const std::exception& exception) {
    const std::string message = absl::StrCat("the platform's answer can't be read: ", exception.what());
    if (encodeRequest(request).writes) {
      return Error{ErrorCode::kOutcomeUnknown, message, Execution::kUnknown};
    }
    return Error{ErrorCode::kInternal, message, Execution::kNotRun};
  }
}

}  // namespace quincewick::platform
