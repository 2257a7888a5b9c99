// Reads and writes rows of the store. Each component has its own client and so its own connection, so that a
// long poll blocks no other call.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>
#include <vector>

#include "forwarding/dialect.h"
#include "gateway/core.h"
#include "reactor/http_client.h"

namespace quincewick::gateway {

// The outcome of a store call.
enum class StoreStatus : uint8_t {
  kDone,
  kConflict,     // a condition did not hold; `rows` holds the current rows that the store returned
  kHistoryGone,  // the changes since that version are no longer available
  kNotDone,      // refused, or never sent
  kUnknown,      // no response: a write may have been done, or may still be
};

class StoreClient {
 public:
  using Done = std::function<void(StoreStatus status, const forwarding::StoreRows& rows)>;

  explicit StoreClient(Core& core)
      : core_(core), caller_(core.reactor, core.timers, core.settings.store, kMaxResponseBytes) {}

  // Timeout of a call.
  static constexpr absl::Duration kCallLimit = absl::Milliseconds(1500);

  // `time_limit`: the timeout of this call.
  void read(std::string_view table, std::string_view from, uint32_t limit, absl::Duration time_limit,
            Done done);
  void read(std::string_view table, std::string_view from, uint32_t limit, Done done) {
    read(table, from, limit, kCallLimit, std::move(done));
  }
  // Long poll: completes when a row changed after that version, or when `wait` has passed.
  void follow(std::string_view table, uint64_t after, absl::Duration wait, Done done);
  void write(const forwarding::StoreRow& row, uint64_t expected_version, Done done);
  // Does all writes in one transaction.
  void writeAll(const std::vector<forwarding::RowWrite>& writes, Done done);

 private:
  void call(HttpCall call, absl::Duration time_limit, Done done);
  // A call's request, as far as its response's validity depends on it.
  struct Sent {
    absl::Time at;
    uint64_t restores = 0;  // StoreHistory::restores() then
  };

  // Updates the store's history (era and version) from a response. Returns whether the response is valid: one
  // that may be of the store before a restore says nothing about the current store.
  bool noteStoreHistory(const HttpHead& head, uint64_t version, const Sent& sent);

  Core& core_;
  static constexpr uint64_t kMaxResponseBytes = uint64_t{64} << 20;  // many rows

  reactor::HttpClient caller_;
};

}  // namespace quincewick::gateway
