#include "gateway/refused_rows.h"

#include "reactor/timer_queue.h"

namespace quincewick::gateway {
namespace {

// Beyond this limit all are forgotten and logged again, so that endless new keys can't exhaust memory.
constexpr size_t kMaxRows = 1'024;

}  // namespace

void RefusedRows::note(const std::string& key, const std::string& why) {
  if (refused_.size() >= kMaxRows) {
    refused_.clear();
  }
  const auto [place, is_new] = refused_.try_emplace(key, why);
  if (!is_new && place->second == why) {
    return;
  }
  place->second = why;
  core_.metrics.countRefusedRow(table_);
  core_.log.event("row_refused", reactor::steadyNow())
      .with("table", table_)
      .with("key", key)
      .with("why", why);
}

}  // namespace quincewick::gateway
