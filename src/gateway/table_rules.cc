#include "gateway/table_rules.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <xxhash.h>

#include <string_view>
#include <utility>
#include <vector>

namespace quincewick::gateway {
namespace {

using forwarding::RowCacheRules;
using forwarding::StoreRow;

uint64_t hashOf(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t hashOfKey(const StoreRow& row) {
  return hashOf(row.key, 0);
}

uint64_t hashOfWrite(const StoreRow& row) {
  return hashOf(row.value, hashOf(row.key, row.version));
}

// Every field that ServerEntry compares.
std::string printEntry(const forwarding::ServerEntry& entry) {
  std::vector<std::string> models;
  for (const LoadedModel& model : entry.models) {
    models.push_back(absl::StrCat(
        model.model.value(), "\x1f", model.weights_version.value(), "\x1f",
        absl::StrJoin(model.adapters, "\x1f",
                      [](std::string* out, const AdapterName& name) { out->append(name.value()); })));
  }
  return absl::StrJoin(
      {entry.id, absl::StrCat(absl::ToUnixNanos(entry.started)), entry.service.value(), entry.address.host,
       absl::StrCat(entry.address.port), entry.zone.value(), entry.software.value(),
       absl::StrCat(entry.slots), absl::StrCat(entry.is_draining), absl::StrJoin(models, "\x1d")},
      "\x1e");
}

}  // namespace

const ConfigurationParser::Parsed& ConfigurationParser::parse(const std::string& value) {
  const uint64_t hash = hashOf(value, 0);
  if (last_ && last_hash_ == hash) {
    return *last_;
  }
  last_hash_ = hash;
  auto read = dialect_.readConfiguration(value);
  if (read.has_error()) {
    last_.emplace(std::move(read).error());
  } else {
    last_.emplace(std::make_shared<const forwarding::SiteConfiguration>(std::move(read.value())));
  }
  return *last_;
}

RowCacheRules versionedRowRules() {
  return {hashOfWrite, [](const StoreRow& /*row*/) { return std::nullopt; }, false};
}

RowCacheRules operatorRowRules(const forwarding::Dialect& dialect, ConfigurationParser& parser) {
  const auto rank = [&dialect, &parser](const StoreRow& row) -> std::optional<uint64_t> {
    if (row.key == dialect.tables().configuration_key) {
      const auto& parsed = parser.parse(row.value);
      return parsed.has_error() ? std::nullopt : std::optional(parsed.value()->version().value());
    }
    if (row.key.starts_with(dialect.tables().weights_prefix)) {
      const auto weights = dialect.readNamedWeights(row.value);
      return weights.has_error() ? std::nullopt : std::optional(weights.value().version.value());
    }
    return std::nullopt;
  };
  return {hashOfWrite, rank, false};
}

RowCacheRules serverRowRules(const forwarding::Dialect& dialect) {
  const auto content = [&dialect](const StoreRow& row) {
    const auto entry = dialect.readServer(row.key, row.value);
    return hashOf(entry.has_error() ? entry.error().message : printEntry(entry.value()), hashOfKey(row));
  };
  return {content, [](const StoreRow& /*row*/) { return std::nullopt; }, true};
}

}  // namespace quincewick::gateway
