#include "emulator/platform_json.h"

#include <absl/strings/numbers.h>

#include <array>
#include <utility>

#include "emulator/stand_in.h"

namespace quincewick::emulator {
namespace {

nlohmann::json itemsToJson(const std::vector<TableItem>& items) {
  nlohmann::json list = nlohmann::json::array();
  for (const TableItem& item : items) {
    nlohmann::json value = nullptr;
    if (item.version != kAbsentItemVersion) {
      value = item.value;
    }
    list.push_back({{"key", item.key}, {"value", value}, {"version", item.version}});
  }
  return list;
}

struct KindName {
  MachineKind kind;
  const char* name;
};

constexpr std::array<KindName, 4> kKindNames = {{{MachineKind::kNode, "node"},
                                                 {MachineKind::kEngine, "engine"},
                                                 {MachineKind::kActionServer, "action_server"},
                                                 {MachineKind::kCacheStore, "cache_store"}}};

const char* machineKindName(MachineKind kind) {
  for (const KindName& known : kKindNames) {
    if (known.kind == kind) {
      return known.name;
    }
  }
  return "node";
}

bool readKind(const std::string& text, MachineKind& kind) {
  for (const KindName& known : kKindNames) {
    if (text == known.name) {
      kind = known.kind;
      return true;
    }
  }
  return false;
}

bool readAddress(const std::string& text, Address& address) {
  const size_t colon = text.rfind(':');
  uint32_t port = 0;
  if (colon == std::string::npos || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port > UINT16_MAX) {
    return false;
  }
  address = Address{text.substr(0, colon), static_cast<uint16_t>(port)};
  return true;
}

int statusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kResourceExhausted:
      return 429;
    default:
      return 503;
  }
}

// One overload for each alternative of PlatformResult.
struct Answerer {
  httplib::Response& response;

  void operator()(const TableCommitted& committed) const {
    answerJson(response, {{"versions", committed.versions}});
  }
  void operator()(const TableConflict& conflict) const {
    constexpr int kConflictStatus = 409;
    answerJson(response, {{"items", itemsToJson(conflict.items)}}, kConflictStatus);
  }
  void operator()(const TableItems& items) const {
    answerJson(response, {{"items", itemsToJson(items.items)}});
  }
  void operator()(const ObjectStored& /*stored*/) const { answerJson(response, nlohmann::json::object()); }
  void operator()(const ObjectContent& content) const {
    response.set_content(content.bytes, "application/octet-stream");
  }
  void operator()(const ObjectNames& names) const { answerJson(response, {{"names", names.names}}); }
  void operator()(const MachineList& list) const {
    nlohmann::json machines = nlohmann::json::array();
    for (const Machine& machine : list.machines) {
      machines.push_back(machineToJson(machine));
    }
    answerJson(response, {{"machines", machines}});
  }
  void operator()(const Error& error) const {
    answerError(response, statusOf(error.code), error.code, errorCodeName(error.code), error.message,
                error.execution);
  }
};

}  // namespace

TableTransaction transactionFromJson(const nlohmann::json& body) {
  TableTransaction transaction;
  for (const nlohmann::json& entry : body.value("conditions", nlohmann::json::array())) {
    transaction.conditions.push_back(
        TableCondition{entry.at("key").get<std::string>(), entry.at("version").get<uint64_t>()});
  }
  for (const nlohmann::json& entry : body.value("writes", nlohmann::json::array())) {
    TableWrite write{entry.at("key").get<std::string>(), std::nullopt};
    if (!entry.at("value").is_null()) {
      write.value = entry["value"].get<std::string>();
    }
    transaction.writes.push_back(std::move(write));
  }
  return transaction;
}

TableRead readFromJson(const nlohmann::json& body) {
  return TableRead{body.at("keys").get<std::vector<std::string>>()};
}

TableScan scanFromJson(const nlohmann::json& body) {
  TableScan scan;
  scan.prefix = body.value("prefix", std::string());
  scan.after = body.value("after", std::string());
  scan.limit = body.value("limit", scan.limit);
  return scan;
}

nlohmann::json machineToJson(const Machine& machine) {
  nlohmann::json labels = nlohmann::json::object();
  for (const auto& [key, value] : machine.labels.entries()) {
    labels[key] = value;
  }
  return {{"id", machine.id},
          {"kind", machineKindName(machine.kind)},
          {"zone", machine.zone.value()},
          {"region", machine.region.value()},
          {"address", machine.address.host + ":" + std::to_string(machine.address.port)},
          {"labels", labels},
          {"leaving", machine.leaving}};
}

bool mergeMachine(const nlohmann::json& body, Machine& machine) {
  machine.zone = ZoneName(body.value("zone", machine.zone.value()));
  machine.region = RegionName(body.value("region", machine.region.value()));
  machine.leaving = body.value("leaving", machine.leaving);
  const nlohmann::json labels = body.value("labels", nlohmann::json::object());
  for (const auto& [key, value] : labels.items()) {
    machine.labels.set(key, value.get<std::string>());
  }
  return (!body.contains("kind") || readKind(body["kind"].get<std::string>(), machine.kind)) &&
         (!body.contains("address") || readAddress(body["address"].get<std::string>(), machine.address));
}

void answerPlatformResult(httplib::Response& response, const PlatformResult& result) {
  std::visit(Answerer{response}, result);
}

}  // namespace quincewick::emulator
