#include "gateway/table_follower.h"

#include <algorithm>
#include <utility>

namespace quincewick::gateway {
namespace {

constexpr uint32_t kRowsAtOnce = 500;
}  // namespace

TableFollower::TableFollower(Core& core, TableFollowerSettings settings, News news)
    : core_(core),
      settings_(std::move(settings)),
      pace_(settings_.pace),
      news_(std::move(news)),
      whole_store_(core) {}

void TableFollower::start() {
  if (std::exchange(is_following_, true)) {
    return;
  }
  ++turn_;
  follows_changes_ = false;
  feed_store_ = std::make_unique<StoreClient>(core_);
  pace_.restart();
  readWhole("", {}, reactor::steadyNow(), 0);
}

void TableFollower::stop() {
  ++turn_;
  is_following_ = false;
  is_down_ = false;
}

void TableFollower::later(absl::Duration after, const std::function<void()>& action) {
  core_.timers.schedule(reactor::steadyNow() + after, [this, turn = turn_, action] {
    if (turn == turn_) {
      action();
    }
  });
}

// Pages are of one moment each. A row of an earlier page may change while later ones are read: the whole
// reading stands for the version of its first page, and the changes since are asked for after that one.
void TableFollower::readWhole(const std::string& from, std::vector<forwarding::StoreRow> read,
                              absl::Time began, uint64_t version) {
  whole_store_.read(settings_.table, from, kRowsAtOnce,
                    [this, turn = turn_, read = std::move(read), began, version, from_start = from.empty()](
                        StoreStatus status, const forwarding::StoreRows& answer) mutable {
                      if (turn != turn_) {
                        return;
                      }
                      if (status != StoreStatus::kDone) {
                        noteDown();
                        return;
                      }
                      const uint64_t first = from_start ? answer.version : version;
                      read.insert(read.end(), answer.rows.begin(), answer.rows.end());
                      if (answer.has_more && !answer.rows.empty()) {
                        const std::string next = answer.rows.back().key + '\x01';
                        readWhole(next, std::move(read), began, first);
                        return;
                      }
                      takeWhole(std::move(read), first, began);
                    });
}

void TableFollower::noteDown() {
  if (!std::exchange(is_down_, true)) {
    core_.log.event("store_lost", reactor::steadyNow()).with("table", settings_.table);
  }
  later(pace_.afterFailedWhole(core_.random), [this] { readWhole("", {}, reactor::steadyNow(), 0); });
}

void TableFollower::takeWhole(std::vector<forwarding::StoreRow> rows, uint64_t version, absl::Time began) {
  if (std::exchange(is_down_, false)) {
    core_.log.event("store_regained", reactor::steadyNow()).with("table", settings_.table);
  }
  version_ = std::max(version_, version);
  const uint64_t turn = turn_;
  news_({std::move(rows), true, version, began, began});
  if (turn != turn_) {
    return;
  }
  later(pace_.afterWhole(core_.random), [this] { readWhole("", {}, reactor::steadyNow(), 0); });
  if (!std::exchange(follows_changes_, true)) {
    followOn(pace_.afterChanges());
  }
}

void TableFollower::followOn(absl::Duration after) {
  if (after <= absl::ZeroDuration()) {
    follow();
    return;
  }
  later(after, [this] { follow(); });
}

// Changes can't be told, or not any more: a whole reading tells them, too.
void TableFollower::readWholeInstead(StoreStatus why) {
  ++turn_;
  follows_changes_ = false;
  const bool is_at_once = why == StoreStatus::kHistoryGone;
  later(is_at_once ? absl::ZeroDuration() : pace_.afterFailedChanges(),
        [this] { readWhole("", {}, reactor::steadyNow(), 0); });
}

// While the store is down, whole readings alone ask whether it is back.
void TableFollower::follow() {
  if (is_down_) {
    followOn(pace_.afterFailedChanges());
    return;
  }
  const absl::Time asked = reactor::steadyNow();
  feed_store_->follow(settings_.table, version_, settings_.pace.wait,
                      [this, turn = turn_, asked](StoreStatus status, const forwarding::StoreRows& answer) {
                        if (turn != turn_) {
                          return;
                        }
                        if (status != StoreStatus::kDone) {
                          readWholeInstead(status);
                          return;
                        }
                        version_ = std::max(version_, answer.version);
                        news_({answer.rows, false, answer.version, absl::InfinitePast(), asked});
                        if (turn == turn_) {
                          followOn(pace_.afterChanges());
                        }
                      });
}

}  // namespace quincewick::gateway
