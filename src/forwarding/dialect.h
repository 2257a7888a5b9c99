// The external protocol: names of headers and fields, calls and their bodies. Implementations translate and
// make no decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/request_facts.h"
#include "forwarding/server_entry.h"
#include "forwarding/site_configuration.h"
#include "types/error.h"
#include "types/http_message.h"

namespace quincewick::forwarding {

// A row of the store's tables. `value` is exactly what the writer stored.
struct StoreRow {
  std::string table;
  std::string key;
  std::string value;
  uint64_t version = 0;  // 0 in a condition: the row does not exist
  bool is_gone = false;
};

// A row to write; with `expected_version`, only if that is still its version (0: the row does not exist).
struct RowWrite {
  StoreRow row;
  std::optional<uint64_t> expected_version;
};

// A consistent read of rows.
struct StoreRows {
  std::vector<StoreRow> rows;
  bool has_more = false;
  uint64_t version = 0;  // the store's latest
  absl::Duration clock;  // the store's steady clock
};

// Tables that belong to external systems; others belong to this project.
struct StoreTables {
  std::string configuration;  // one row for the latest configuration, and one for each named version
  std::string configuration_key;
  std::string weights_prefix;  // of the keys of named versions
  std::string rollout_prefix;  // of the keys of rollouts of services
  std::string servers;
};

class Dialect {
 public:
  Dialect() = default;
  Dialect(const Dialect&) = delete;
  Dialect& operator=(const Dialect&) = delete;
  virtual ~Dialect() = default;

  // Requests and responses.
  virtual RequestFacts readRequest(const HttpHead& head) const = 0;
  virtual ResponseFacts readResponse(const HttpHead& head) const = 0;
  // The request's fields as sent to a server: the caller's, without hop-by-hop fields, and with those that
  // the system sets.
  virtual HeaderFields fieldsForServer(const HttpHead& head, const SendFacts& facts) const = 0;
  // The field that echoes the attempt id in the router's own response.
  virtual HeaderField attemptField(const std::string& attempt_id) const = 0;

  // The store.
  virtual const StoreTables& tables() const = 0;
  virtual HttpCall readRows(std::string_view table, std::string_view from, uint32_t limit) const = 0;
  virtual HttpCall followRows(std::string_view table, uint64_t after, absl::Duration wait) const = 0;
  // All of them or none.
  virtual HttpCall writeRows(const std::vector<RowWrite>& writes) const = 0;
  virtual Result<StoreRows> readRowsResponse(std::string_view body) const = 0;
  // The store's era, which rises when it lost acknowledged writes; nothing if the response has none. Errors:
  // kInvalidArgument.
  virtual Result<std::optional<uint64_t>> readStoreEra(const HttpHead& head) const = 0;
  virtual Result<SiteConfiguration> readConfiguration(std::string_view value) const = 0;
  virtual Result<NamedWeights> readNamedWeights(std::string_view value) const = 0;
  virtual Result<RolloutRequest> readRolloutRequest(std::string_view key, std::string_view value) const = 0;
  // The row that shows the operator a rollout's state.
  virtual StoreRow rolloutStatusRow(const RolloutStatus& status) const = 0;
  virtual Result<ServerEntry> readServer(std::string_view id, std::string_view value) const = 0;

  // Engines.
  virtual HttpCall loadWeights(const NamedWeights& weights, std::string_view holder, Epoch fence,
                               std::optional<uint64_t> expected_orders, std::string_view server_id) const = 0;
  virtual HttpCall requestReport() const = 0;
  virtual Result<EngineReport> readReport(std::string_view body) const = 0;
};

}  // namespace quincewick::forwarding
