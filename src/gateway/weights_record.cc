#include "gateway/weights_record.h"

#include <optional>
#include <utility>

namespace quincewick::gateway {
namespace {

constexpr char kSeparator = '@';  // between a model's name and a version

std::optional<forwarding::NamedWeights> parseKey(const std::string& key) {
  const size_t separator = key.rfind(kSeparator);
  if (separator == std::string::npos) {
    return std::nullopt;
  }
  const std::optional<uint64_t> version = parseUnsigned(std::string_view(key).substr(separator + 1));
  if (!version) {
    return std::nullopt;
  }
  return forwarding::NamedWeights{ModelName(key.substr(0, separator)), WeightsVersion(*version)};
}

}  // namespace

void WeightsRecord::applyUpdate(const forwarding::TableUpdate& update) {
  const absl::Time now = reactor::steadyNow();
  if (!core_.store_clock_offset_at_most) {
    core_.log.event("weights_record_unread", now).with("why", "the store's clock is not known yet");
    return;
  }
  for (const forwarding::StoreRow& row : update.rows) {
    const auto weights = parseKey(row.key);
    const auto named_at = parseUnsigned(row.value);
    if (row.is_gone) {
      refused_rows_.forget(row.key);
    } else if (!weights || !named_at) {
      refused_rows_.note(row.key, "the row is not a weights version with its publication time");
    } else {
      const absl::Duration named = absl::Milliseconds(*named_at) - *core_.store_clock_offset_at_most;
      core_.weights.note(*weights, absl::UnixEpoch() + named);
    }
  }
}

// All zone readers attempt the write; the first row is kept.
void WeightsRecord::record(const forwarding::NamedWeights& weights, absl::Time published,
                           std::function<void()> written) {
  const std::optional<absl::Duration> clock = core_.storeClock(published);
  if (!clock) {
    return;
  }
  forwarding::StoreRow row;
  row.table = kTable;
  row.key = weights.model.value() + kSeparator + std::to_string(weights.version.value());
  row.value = std::to_string(absl::ToInt64Milliseconds(*clock));
  store_.write(row, 0,
               [written = std::move(written)](StoreStatus status, const forwarding::StoreRows& /*rows*/) {
                 if (status == StoreStatus::kDone || status == StoreStatus::kConflict) {
                   written();
                 }
               });
}

}  // namespace quincewick::gateway
