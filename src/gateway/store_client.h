// The store's rows as the parts of a gateway read and write them. Calls of different purposes go over
// connections of their own, so that a long wait for changes holds nothing up.
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

// How a call of the store ended.
enum class StoreStatus : uint8_t {
  kDone,
  kConflict,     // a condition did not hold; the rows are as they are
  kHistoryGone,  // changes since that version can't be told any more
  kNotDone,      // refused, or never sent
  kUnknown,      // no answer: a write may have been done, or may yet be
};

class StoreClient {
 public:
  using Done = std::function<void(StoreStatus status, const forwarding::StoreRows& rows)>;

  explicit StoreClient(Core& core) : core_(core), caller_(core.reactor, core.timers, core.settings.store) {}

  // How long a call may take.
  static constexpr absl::Duration kCallLimit = absl::Milliseconds(1500);

  // `time_limit`: of this call.
  void read(std::string_view table, std::string_view from, uint32_t limit, absl::Duration time_limit,
            Done done);
  void read(std::string_view table, std::string_view from, uint32_t limit, Done done) {
    read(table, from, limit, kCallLimit, std::move(done));
  }
  // Answers when a row changed after that version, or when the wait is over.
  void follow(std::string_view table, uint64_t after, absl::Duration wait, Done done);
  void write(const forwarding::StoreRow& row, uint64_t expected_version, Done done);
  // All of them or none.
  void writeAll(const std::vector<forwarding::RowWrite>& writes, Done done);

 private:
  void call(HttpCall call, absl::Duration time_limit, Done done);
  // What an answer that was asked for at `began` tells of the store itself. Returns whether it counts: one of
  // an era that is over tells nothing of the store as it is.
  bool noteSign(const HttpHead& head, uint64_t version, absl::Time began);

  Core& core_;
  reactor::HttpClient caller_;
};

}  // namespace quincewick::gateway
