// What copies of the store's tables compare rows by.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "forwarding/dialect.h"
#include "forwarding/row_cache.h"
#include "types/error.h"

namespace quincewick::gateway {

// Parses the operator's configuration, a value that is read several times in a row only once.
class ConfigurationParser {
 public:
  using Parsed = Result<std::shared_ptr<const forwarding::SiteConfiguration>>;

  explicit ConfigurationParser(const forwarding::Dialect& dialect) : dialect_(dialect) {}

  // Errors: those of Dialect::readConfiguration.
  const Parsed& parse(const std::string& value);

 private:
  const forwarding::Dialect& dialect_;
  uint64_t last_hash_ = 0;  // of the last value
  std::optional<Parsed> last_;
};

// Each write of a row is a change.
forwarding::RowCacheRules versionedRowRules();
// The operator's rows: configurations and named weights are numbered.
forwarding::RowCacheRules operatorRowRules(const forwarding::Dialect& dialect, ConfigurationParser& parser);
// Servers rewrite their rows periodically as heartbeats.
forwarding::RowCacheRules serverRowRules(const forwarding::Dialect& dialect);

}  // namespace quincewick::gateway
