#include "simulation/platform_host.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace quincewick::simulation {
namespace {

constexpr absl::Duration kAnswerLimit = absl::Seconds(2);

uint64_t sizeOf(const TableItem& item) {
  return item.key.size() + item.value.size() + sizeof(item.version);
}

uint64_t sizeOf(const std::string& text) {
  return text.size();
}

uint64_t sizeOf(const Machine& machine) {
  constexpr uint64_t kFixedFields = 8;  // kind, port, leaving
  uint64_t size = kFixedFields + machine.id.size() + machine.zone.value().size() +
                  machine.region.value().size() + machine.address.host.size();
  for (const auto& [key, value] : machine.labels.entries()) {
    size += key.size() + value.size();
  }
  return size;
}

template <class Item>
uint64_t sizeOf(const std::vector<Item>& items) {
  uint64_t size = 0;
  for (const Item& item : items) {
    size += sizeOf(item);
  }
  return size;
}

struct RequestSize {
  uint64_t operator()(const TableTransaction& transaction) const {
    uint64_t size = 0;
    for (const TableCondition& condition : transaction.conditions) {
      size += condition.key.size() + sizeof(condition.version);
    }
    for (const TableWrite& write : transaction.writes) {
      size += write.key.size() + (write.value ? write.value->size() : 0);
    }
    return size;
  }
  uint64_t operator()(const TableRead& read) const { return sizeOf(read.keys); }
  uint64_t operator()(const TableScan& scan) const { return scan.prefix.size() + scan.after.size(); }
  uint64_t operator()(const ObjectPut& put) const { return put.name.size() + put.bytes.size(); }
  uint64_t operator()(const ObjectGet& get) const { return get.name.size(); }
  uint64_t operator()(const ObjectDelete& remove) const { return remove.name.size(); }
  uint64_t operator()(const ObjectList& list) const { return list.prefix.size(); }
  uint64_t operator()(const MachineListRead& /*read*/) const { return 0; }
};

struct ResultSize {
  uint64_t operator()(const TableCommitted& committed) const {
    return committed.versions.size() * sizeof(uint64_t);
  }
  uint64_t operator()(const TableConflict& conflict) const { return sizeOf(conflict.items); }
  uint64_t operator()(const TableItems& items) const { return sizeOf(items.items); }
  uint64_t operator()(const ObjectStored& /*stored*/) const { return 0; }
  uint64_t operator()(const ObjectContent& content) const { return content.bytes.size(); }
  uint64_t operator()(const ObjectNames& names) const { return sizeOf(names.names); }
  uint64_t operator()(const MachineList& list) const { return sizeOf(list.machines); }
  uint64_t operator()(const Error& error) const { return error.message.size(); }
};

}  // namespace

void PlatformHost::call(ZoneIndex zone, PlatformCall call, ReplyHandler handler) {
  PlatformReply reply;
  reply.id = call.id;
  absl::Time ready_at = queue_.now() + kAnswerLimit;
  if (network_.isolated(zone)) {
    reply.result = Error{ErrorCode::kUnavailable, "the platform can't be reached"};
  } else {
    emulator::PlatformAnswer answer = model_.call(call.request, queue_.now());
    tellOfWrites(call.request, answer);
    ready_at = answer.lost ? ready_at : answer.ready_at;
    reply.result = std::move(answer.result);
    ++traffic_.operations;
    traffic_.bytes += std::visit(RequestSize(), call.request) + std::visit(ResultSize(), reply.result);
  }
  queue_.scheduleAt(ready_at, [handler = std::move(handler), reply = std::move(reply)]() mutable {
    handler(std::move(reply));
  });
}

void PlatformHost::tellOfWrites(const PlatformRequest& request, const emulator::PlatformAnswer& answer) {
  const auto* transaction = std::get_if<TableTransaction>(&request);
  const auto* error = std::get_if<Error>(&answer.result);
  const bool not_carried_out = error != nullptr && !answer.lost;
  if (transaction == nullptr || not_carried_out) {
    return;
  }
  const PlatformResult result = table_copy_.transact(*transaction);
  if (!on_write_ || !std::holds_alternative<TableCommitted>(result)) {
    return;
  }
  for (const TableWrite& write : transaction->writes) {
    if (write.value) {
      on_write_(write);
    }
  }
}

}  // namespace quincewick::simulation
