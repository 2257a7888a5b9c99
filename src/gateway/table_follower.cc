#include "gateway/table_follower.h"

#include <algorithm>
#include <utility>

namespace quincewick::gateway {

TableFollower::TableFollower(Core& core, TableFollowerSettings settings, UpdateHandler on_update)
    : core_(core),
      settings_(std::move(settings)),
      pace_(settings_.pace),
      on_update_(std::move(on_update)),
      snapshot_reader_(core) {}

void TableFollower::start() {
  if (std::exchange(is_following_, true)) {
    return;
  }
  ++generation_;
  follows_changes_ = false;
  feed_store_ = std::make_unique<StoreClient>(core_);
  pace_.restart();
  readSnapshot();
}

void TableFollower::stop() {
  ++generation_;
  snapshot_reader_.cancel();
  is_following_ = false;
  is_down_ = false;
}

void TableFollower::scheduleUnlessStopped(absl::Duration after, const std::function<void()>& action) {
  core_.timers.schedule(reactor::steadyNow() + after, [this, generation = generation_, action] {
    if (generation == generation_) {
      action();
    }
  });
}

void TableFollower::readSnapshot() {
  const absl::Time began = reactor::steadyNow();
  snapshot_reader_.read(settings_.table, [this, began](StoreStatus status, TableSnapshot table) {
    if (status == StoreStatus::kDone) {
      applySnapshot(std::move(table), began);
    } else {
      handleReadFailure();
    }
  });
}

void TableFollower::handleReadFailure() {
  if (!std::exchange(is_down_, true)) {
    core_.log.event("store_lost", reactor::steadyNow()).with("table", settings_.table);
  }
  scheduleUnlessStopped(pace_.afterFailedSnapshot(core_.random), [this] { readSnapshot(); });
}

void TableFollower::applySnapshot(TableSnapshot snapshot, absl::Time began) {
  if (std::exchange(is_down_, false)) {
    core_.log.event("store_regained", reactor::steadyNow()).with("table", settings_.table);
  }
  version_ = snapshot.version;  // lower than before if the store was restored
  const uint64_t generation = generation_;
  on_update_(updateFrom(std::move(snapshot), began));
  if (generation != generation_) {
    return;
  }
  scheduleUnlessStopped(pace_.afterSnapshot(core_.random), [this] { readSnapshot(); });
  if (!std::exchange(follows_changes_, true)) {
    followAfter(pace_.afterDelta());
  }
}

void TableFollower::followAfter(absl::Duration after) {
  if (after <= absl::ZeroDuration()) {
    follow();
    return;
  }
  scheduleUnlessStopped(after, [this] { follow(); });
}

// Deltas are unavailable, so a snapshot replaces them.
void TableFollower::fallBackToSnapshot(StoreStatus why) {
  ++generation_;
  snapshot_reader_.cancel();
  follows_changes_ = false;
  const bool is_immediate = why == StoreStatus::kHistoryGone;
  scheduleUnlessStopped(is_immediate ? absl::ZeroDuration() : pace_.afterFailedDelta(),
                        [this] { readSnapshot(); });
}

// While the store is down, only snapshot reads probe whether it is back.
void TableFollower::follow() {
  if (is_down_) {
    followAfter(pace_.afterFailedDelta());
    return;
  }
  const absl::Time sent_at = reactor::steadyNow();
  feed_store_->follow(settings_.table, version_, settings_.pace.wait,
                      [this, generation = generation_, sent_at, restores = core_.store_history.restores()](
                          StoreStatus status, const forwarding::StoreRows& response) {
                        if (generation != generation_) {
                          return;
                        }
                        // A delta is relative to a version of the store before the restore.
                        const bool is_restored = restores != core_.store_history.restores();
                        if (status != StoreStatus::kDone || is_restored) {
                          fallBackToSnapshot(is_restored ? StoreStatus::kHistoryGone : status);
                          return;
                        }
                        version_ = std::max(version_, response.version);
                        forwarding::TableUpdate update;
                        update.rows = response.rows;
                        update.version = response.version;
                        update.as_of = sent_at;
                        on_update_(update);
                        if (generation == generation_) {
                          followAfter(pace_.afterDelta());
                        }
                      });
}

}  // namespace quincewick::gateway
