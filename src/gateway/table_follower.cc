#include "gateway/table_follower.h"

#include <algorithm>
#include <utility>

namespace quincewick::gateway {

TableFollower::TableFollower(Core& core, TableFollowerSettings settings, News news)
    : core_(core),
      settings_(std::move(settings)),
      pace_(settings_.pace),
      news_(std::move(news)),
      whole_reader_(core) {}

void TableFollower::start() {
  if (std::exchange(is_following_, true)) {
    return;
  }
  ++turn_;
  follows_changes_ = false;
  feed_store_ = std::make_unique<StoreClient>(core_);
  pace_.restart();
  readWhole();
}

void TableFollower::stop() {
  ++turn_;
  whole_reader_.cancel();
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

void TableFollower::readWhole() {
  const absl::Time began = reactor::steadyNow();
  whole_reader_.read(settings_.table, [this, began](StoreStatus status, WholeTable table) {
    if (status == StoreStatus::kDone) {
      takeWhole(std::move(table), began);
    } else {
      noteDown();
    }
  });
}

void TableFollower::noteDown() {
  if (!std::exchange(is_down_, true)) {
    core_.log.event("store_lost", reactor::steadyNow()).with("table", settings_.table);
  }
  later(pace_.afterFailedSnapshot(core_.random), [this] { readWhole(); });
}

void TableFollower::takeWhole(WholeTable whole, absl::Time began) {
  if (std::exchange(is_down_, false)) {
    core_.log.event("store_regained", reactor::steadyNow()).with("table", settings_.table);
  }
  version_ = std::max(version_, whole.version);
  const uint64_t turn = turn_;
  news_({std::move(whole.rows), true, whole.version, began, began});
  if (turn != turn_) {
    return;
  }
  later(pace_.afterSnapshot(core_.random), [this] { readWhole(); });
  if (!std::exchange(follows_changes_, true)) {
    followOn(pace_.afterDelta());
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
  whole_reader_.cancel();
  follows_changes_ = false;
  const bool is_at_once = why == StoreStatus::kHistoryGone;
  later(is_at_once ? absl::ZeroDuration() : pace_.afterFailedDelta(), [this] { readWhole(); });
}

// While the store is down, whole readings alone ask whether it is back.
void TableFollower::follow() {
  if (is_down_) {
    followOn(pace_.afterFailedDelta());
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
                          followOn(pace_.afterDelta());
                        }
                      });
}

}  // namespace quincewick::gateway
