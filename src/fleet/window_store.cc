#include "fleet/window_store.h"

#include <string>
#include <utility>

namespace quincewick::fleet {
namespace {

constexpr absl::Duration kRetryPause = absl::Milliseconds(100);

}  // namespace

PlatformRequest WindowStore::write(std::vector<BackEndId> engines) {
  in_flight_ = true;
  attempt_ = WindowRecord{stored_.epoch, ++writes_, std::move(engines)};
  return TableTransaction{{{std::string(kWindowKey), version_}},
                          {{std::string(kWindowKey), encodeWindow(attempt_)}}};
}

std::optional<PlatformRequest> WindowStore::nextCall(absl::Time now) {
  if (!is_stale_ || in_flight_ || now < next_call_) {
    return std::nullopt;
  }
  in_flight_ = true;
  return TableRead{{std::string(kWindowKey)}};
}

void WindowStore::takeResult(const std::optional<PlatformResult>& result, absl::Time now) {
  in_flight_ = false;
  next_call_ = now + kRetryPause;
  if (result && std::holds_alternative<TableCommitted>(*result)) {
    stored_ = attempt_;
    version_ = std::get<TableCommitted>(*result).versions.front();
    return;
  }
  const std::vector<TableItem>* items = nullptr;
  if (result && std::holds_alternative<TableItems>(*result)) {
    items = &std::get<TableItems>(*result).items;
  } else if (result && std::holds_alternative<TableConflict>(*result)) {
    items = &std::get<TableConflict>(*result).items;
  }
  is_stale_ = items == nullptr || items->empty();
  if (!is_stale_) {
    takeItem(items->front());
  }
}

// What the table holds is what counts: an own earlier write may have taken effect late.
void WindowStore::takeItem(const TableItem& item) {
  const Result<WindowRecord> decoded = decodeWindow(item.value);
  const Epoch epoch = decoded.has_value() ? decoded.value().epoch : Epoch();
  if (epoch != stored_.epoch) {
    is_lost_ = true;
    return;
  }
  stored_ = decoded.value();
  version_ = item.version;
}

}  // namespace quincewick::fleet
