#include "gateway/table_follower.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace quincewick::gateway {
namespace {

constexpr uint32_t kRowsAtOnce = 500;
constexpr absl::Duration kRetryPause = absl::Milliseconds(250);
constexpr double kJitter = 0.3;

}  // namespace

TableFollower::TableFollower(Core& core, TableFollowerSettings settings, Rows rows)
    : core_(core),
      settings_(std::move(settings)),
      rows_(std::move(rows)),
      whole_store_(core),
      feed_store_(core) {}

void TableFollower::start() {
  readWhole("", {}, reactor::steadyNow());
}

void TableFollower::readWhole(const std::string& from, std::vector<forwarding::StoreRow> read,
                              absl::Time began) {
  whole_store_.read(
      settings_.table, from, kRowsAtOnce,
      [this, read = std::move(read), began](StoreStatus status, const forwarding::StoreRows& answer) mutable {
        if (status != StoreStatus::kDone) {
          if (!std::exchange(is_down_, true)) {
            core_.log.event("store_lost", reactor::steadyNow()).with("table", settings_.table);
          }
          scheduleWhole(kRetryPause);
          return;
        }
        read.insert(read.end(), answer.rows.begin(), answer.rows.end());
        if (answer.has_more && !answer.rows.empty()) {
          const std::string next = answer.rows.back().key + '\x01';
          readWhole(next, std::move(read), began);
          return;
        }
        if (std::exchange(is_down_, false)) {
          core_.log.event("store_regained", reactor::steadyNow()).with("table", settings_.table);
        }
        version_ = std::max(version_, answer.version);
        rows_(read, true, began);
        scheduleWhole(settings_.whole_every);
        if (!std::exchange(follows_, true)) {
          followOn(settings_.pause);
        }
      });
}

void TableFollower::scheduleWhole(absl::Duration after) {
  const absl::Duration spread = after * (1 + kJitter * absl::Uniform(core_.random, -1.0, 1.0));
  core_.timers.schedule(reactor::steadyNow() + spread, [this] { readWhole("", {}, reactor::steadyNow()); });
}

void TableFollower::followOn(absl::Duration after) {
  if (after <= absl::ZeroDuration()) {
    follow();
    return;
  }
  core_.timers.schedule(reactor::steadyNow() + after, [this] { follow(); });
}

void TableFollower::follow() {
  const absl::Time began = reactor::steadyNow();
  feed_store_.follow(settings_.table, version_, settings_.wait,
                     [this, began](StoreStatus status, const forwarding::StoreRows& answer) {
                       if (status == StoreStatus::kDone) {
                         version_ = std::max(version_, answer.version);
                         if (!answer.rows.empty()) {
                           rows_(answer.rows, false, began);
                         }
                         followOn(settings_.pause);
                         return;
                       }
                       followOn(kRetryPause);
                     });
}

}  // namespace quincewick::gateway
