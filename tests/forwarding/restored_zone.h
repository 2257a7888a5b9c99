// Simulation on virtual time of a zone's gateways, their copies of a table, and a store that is restored from
// older copies at any moment. Messages are delayed, gateways stand still and start again, and the reader
// changes.
#pragma once

#include <absl/time/time.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "forwarding/row_cache.h"
#include "forwarding/store_history.h"

namespace quincewick::forwarding {

inline constexpr absl::Duration kInForce = absl::Seconds(3);  // the bound for changes
inline constexpr const char* kNumberedKey =
    "configuration";  // its value is a number that the operator raises

// A restorable store with one table. Keeps what it contained at any time.
class RestorableStore {
 public:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool is_gone = false;
  };
  using Rows = std::map<std::string, Row>;

  explicit RestorableStore(bool sends_era) : sends_era_(sends_era) {}

  void put(const std::string& key, const std::string& value, absl::Time now) {
    rows_[key] = {value, ++version_, value.empty()};
    note(now);
  }
  // Transactions of other tables.
  void writeElsewhere(uint64_t count) { version_ += count; }
  void saveCopy(absl::Time now) { copies_.push_back({now, rows_, version_}); }
  // Restores the newest copy of before that time, or an empty table.
  void restore(absl::Time before, absl::Time now) {
    while (!copies_.empty() && copies_.back().saved > before) {
      copies_.pop_back();
    }
    rows_ = copies_.empty() ? Rows() : copies_.back().rows;
    version_ = copies_.empty() ? 1 : copies_.back().version;
    ++era_;
    note(now);
  }

  uint64_t version() const { return version_; }
  std::optional<uint64_t> era() const { return sends_era_ ? std::optional(era_) : std::nullopt; }
  // The rows of keys from `from` on and before `to`; those that were deleted only if `after` is given.
  std::vector<StoreRow> read(const std::string& from, const std::string& to,
                             std::optional<uint64_t> after = std::nullopt) const {
    std::vector<StoreRow> result;
    for (const auto& [key, row] : rows_) {
      const bool is_wanted = after ? row.version > *after : !row.is_gone;
      if (is_wanted && key >= from && key < to) {
        StoreRow read;
        read.key = key;
        read.value = row.value;
        read.version = row.version;
        read.is_gone = row.is_gone;
        result.push_back(read);
      }
    }
    return result;
  }
  // Whether changes after that version are still known.
  bool hasHistorySince(uint64_t version) const { return version <= version_; }

  // Values that the key had at some time from `from` on; empty text: no row.
  std::vector<std::string> valuesSince(const std::string& key, absl::Time from) const {
    std::vector<std::string> result;
    for (auto state = states_.rbegin(); state != states_.rend(); ++state) {
      const auto found = state->second.find(key);
      result.push_back(found == state->second.end() ? "" : found->second);
      if (state->first <= from) {
        break;
      }
    }
    return result;
  }
  std::string value(const std::string& key) const {
    const auto found = rows_.find(key);
    return found == rows_.end() ? "" : found->second.value;
  }

 private:
  struct Copy {
    absl::Time saved;
    Rows rows;
    uint64_t version = 0;
  };

  void note(absl::Time now) {
    std::map<std::string, std::string> state;
    for (const auto& [key, row] : rows_) {
      state[key] = row.value;
    }
    states_.emplace_back(now, std::move(state));
  }

  bool sends_era_;
  Rows rows_;
  uint64_t version_ = 1;
  uint64_t era_ = 1;
  std::deque<Copy> copies_;
  std::vector<std::pair<absl::Time, std::map<std::string, std::string>>> states_ = {
      {absl::InfinitePast(), {}}};
};

inline RowCacheRules numberedRules() {
  RowCacheRules rules;
  rules.content = [](const StoreRow& row) {
    return std::hash<std::string>()(row.key + "=" + row.value + "@" + std::to_string(row.version));
  };
  rules.rank = [](const StoreRow& row) {
    return row.key == kNumberedKey ? std::optional<uint64_t>(std::stoull(row.value)) : std::nullopt;
  };
  return rules;
}

// A gateway: its copy, what it knows of the store, and its requests under way. Follows SiteFollower.
struct ZoneGateway {
  RowCache cache{numberedRules()};
  StoreHistory history;
  uint64_t life = 0;  // incremented by a start or a change of role, to discard late responses
  uint64_t restores_seen = 0;
  uint64_t restores_applied = 0;
  uint64_t followed_version = 0;
  std::optional<uint64_t> peer_restores;
  uint64_t peer_after = 0;
  absl::Time snapshot_requested = absl::InfinitePast();
  absl::Time last_confirmation = absl::InfinitePast();
  absl::Time still_until = absl::InfinitePast();
  uint64_t in_force = 0;
  uint64_t highest_in_force = 0;
  std::map<std::string, std::string> rows;  // as changes of the copy were reported
};

class RestoredZone {
 public:
  RestoredZone(uint32_t seed, size_t gateways, bool sends_era) : random_(seed), store_(sends_era) {
    gateways_.resize(gateways);
    store_.put(kNumberedKey, "1", now_);
    store_.put("a", "first", now_);
    store_.saveCopy(now_);
    every(absl::Milliseconds(300), [this] { store_.saveCopy(now_); });
    every(absl::Milliseconds(100), [this] { tick(); });
    startReading();
  }

  RestorableStore& store() { return store_; }
  absl::Time now() const { return now_; }
  uint64_t draw(uint64_t count) { return std::uniform_int_distribution<uint64_t>(0, count - 1)(random_); }
  absl::Duration drawTime(int64_t least_ms, int64_t most_ms) {
    return absl::Milliseconds(std::uniform_int_distribution<int64_t>(least_ms, most_ms)(random_));
  }

  void run(absl::Duration time) {
    const absl::Time end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      const auto event = events_.extract(events_.begin());
      now_ = std::max(now_, event.key());
      event.mapped()();
      check();
    }
    now_ = end;
  }

  // The operator's next configuration, or a lost one again.
  void configure(bool writes_again) {
    number_ += writes_again ? 0 : 1 + draw(3);
    store_.put(kNumberedKey, std::to_string(number_), now_);
  }
  void changeReader() {
    reader_ = draw(gateways_.size());
    for (ZoneGateway& gateway : gateways_) {
      ++gateway.life;
    }
    startReading();
  }
  void restartGateway() {
    ZoneGateway& gateway = gateways_[draw(gateways_.size())];
    const uint64_t life = gateway.life + 1;
    gateway = ZoneGateway();
    gateway.life = life;
    startReading();
  }
  void standStill(absl::Duration time) { gateways_[draw(gateways_.size())].still_until = now_ + time; }
  void setDelays(int64_t most_ms) { max_delay_ms_ = most_ms; }

  // Empty if what the gateways hold to be confirmed is right; otherwise what is wrong.
  const std::string& fault() const { return fault_; }
  // Whether every gateway has what the store has, confirmed recently. Call it after a calm time.
  bool hasConverged() const {
    return std::all_of(gateways_.begin(), gateways_.end(), [this](const ZoneGateway& gateway) {
      const bool is_confirmed = now_ - gateway.cache.confirmed() <= kInForce;
      bool is_equal = std::to_string(gateway.in_force) == store_.value(kNumberedKey);
      for (const char* const key : {"a", "b", "c"}) {
        const auto found = gateway.rows.find(key);
        is_equal = is_equal && (found == gateway.rows.end() ? "" : found->second) == store_.value(key);
      }
      return is_confirmed && is_equal;
    });
  }

 private:
  // A request to the store.
  struct Sent {
    absl::Time at;
    uint64_t restores = 0;
    uint64_t life = 0;
  };

  void at(absl::Time time, std::function<void()> action) { events_.emplace(time, std::move(action)); }
  void every(absl::Duration period, const std::function<void()>& action) {
    at(now_ + period, [this, period, action] {
      action();
      every(period, action);
    });
  }
  absl::Duration delay() { return drawTime(1, draw(10) == 0 ? max_delay_ms_ : 10); }
  // Runs when the message arrives, or when the gateway goes on after it stood still.
  void deliver(size_t index, std::function<void()> action) {
    at(now_ + delay(), [this, index, action = std::move(action)] { runWhenActive(index, action); });
  }
  void runWhenActive(size_t index, const std::function<void()>& action) {
    if (now_ < gateways_[index].still_until) {
      at(gateways_[index].still_until, [this, index, action] { runWhenActive(index, action); });
      return;
    }
    action();
  }

  Sent send(const ZoneGateway& gateway) const { return {now_, gateway.history.restores(), gateway.life}; }

  // Calls `done` at the gateway with the store's response, unless it may be of before a restore.
  template <class Read>
  void callStore(size_t index, const Sent& sent, Read read, std::function<void(decltype(read()) rows)> done) {
    at(now_ + delay(), [this, index, sent, read, done] {
      auto rows = read();
      const uint64_t version = store_.version();
      const auto era = store_.era();
      deliver(index, [this, index, sent, rows, version, era, done] {
        ZoneGateway& gateway = gateways_[index];
        const bool is_same_life = gateway.life == sent.life;
        const auto finding = gateway.history.note({version, era, sent.at, now_});
        const bool shows_restore = finding == StoreContinuity::kReverted;
        const bool may_be_earlier = gateway.history.restores() - (shows_restore ? 1 : 0) != sent.restores;
        if (is_same_life && finding != StoreContinuity::kOutdated && (shows_restore || !may_be_earlier)) {
          done(rows);
        }
      });
    });
  }

  void startReading() {
    for (size_t index = 0; index < gateways_.size(); ++index) {
      if (index == reader_) {
        readSnapshot(index, true);
      } else {
        gateways_[index].peer_restores.reset();
        gateways_[index].peer_after = gateways_[index].cache.version();
        pollReader(index);
      }
    }
  }

  // In two pages, like a large table.
  void readSnapshot(size_t index, bool is_periodic) {
    const Sent sent = send(gateways_[index]);
    const auto first = [this] { return std::pair(store_.read("", "b"), store_.version()); };
    callStore(index, sent, first, [this, index, sent, is_periodic](const auto& page) {
      const uint64_t restores = gateways_[index].history.restores();
      const Sent second = send(gateways_[index]);
      callStore(
          index, second, [this] { return store_.read("b", "~"); },
          [this, index, sent, page, restores, is_periodic](const std::vector<StoreRow>& rest) {
            if (gateways_[index].history.restores() != restores) {
              return;
            }
            TableUpdate update;
            update.rows = page.first;
            update.rows.insert(update.rows.end(), rest.begin(), rest.end());
            update.is_whole = true;
            update.version = page.second;
            update.confirmed = sent.at;
            update.as_of = sent.at;
            takeFromStore(index, update);
            if (is_periodic && gateways_[index].followed_version == 0) {
              gateways_[index].followed_version = page.second;
              followChanges(index);
            }
            gateways_[index].followed_version = page.second;
          });
    });
    if (is_periodic) {
      at(now_ + drawTime(700, 1300), [this, index, life = gateways_[index].life] {
        if (gateways_[index].life == life) {
          readSnapshot(index, true);
        }
      });
    }
  }

  void followChanges(size_t index) {
    const Sent sent = send(gateways_[index]);
    const uint64_t after = gateways_[index].followed_version;
    const auto read = [this, after] {
      return std::pair(store_.read("", "~", after), store_.hasHistorySince(after) ? store_.version() : 0);
    };
    at(now_ + drawTime(0, 400), [this, index, sent, read] {
      callStore(index, sent, read, [this, index, sent](const auto& changes) {
        ZoneGateway& gateway = gateways_[index];
        if (changes.second != 0 && gateway.history.restores() == sent.restores) {
          TableUpdate update;
          update.rows = changes.first;
          update.version = changes.second;
          update.as_of = sent.at;
          gateway.followed_version = std::max(gateway.followed_version, changes.second);
          takeFromStore(index, update);
        }
      });
    });
    at(now_ + absl::Milliseconds(450), [this, index, life = gateways_[index].life] {
      if (gateways_[index].life == life) {
        followChanges(index);
      }
    });
  }

  void takeFromStore(size_t index, const TableUpdate& update) {
    ZoneGateway& gateway = gateways_[index];
    const AppliedUpdate effect = apply(gateway, update);
    if (effect.superseded > 0 && effect.last_superseded > gateway.history.continuousSince()) {
      gateway.history.noteContradiction(now_);
    }
  }

  AppliedUpdate apply(ZoneGateway& gateway, const TableUpdate& update) {
    if (std::exchange(gateway.restores_applied, gateway.history.restores()) != gateway.history.restores()) {
      gateway.cache.noteRestore(now_);
    }
    AppliedUpdate effect = gateway.cache.take(update, now_);
    if (effect.changes.is_whole) {
      gateway.rows.clear();
    }
    for (const StoreRow& row : effect.changes.rows) {
      if (row.is_gone) {
        gateway.rows.erase(row.key);
      } else {
        gateway.rows[row.key] = row.value;
      }
      if (row.key == kNumberedKey && !row.is_gone) {
        gateway.in_force = std::stoull(row.value);
      }
    }
    return effect;
  }

  // A follower's request, the reader's response, and the next request.
  void pollReader(size_t index) {
    const absl::Time sent = now_;
    const uint64_t life = gateways_[index].life;
    at(now_ + delay(), [this, index, sent, life] {
      runWhenActive(reader_, [this, index, sent, life] {
        const ZoneGateway& reader = gateways_[reader_];
        if (gateways_[index].life != life) {
          return;
        }
        if (!reader.cache.hasSnapshot() || reader_ == index) {
          at(now_ + absl::Milliseconds(100), [this, index, life] { pollAgain(index, life); });
          return;
        }
        TableUpdate response = reader.cache.updateSince(gateways_[index].peer_after);
        const absl::Duration confirmed_ago = now_ - response.confirmed;
        const absl::Duration as_of_ago = now_ - response.as_of;
        response.confirmed = sent - confirmed_ago;
        response.as_of = sent - as_of_ago;
        deliver(index, [this, index, life, response, restores = reader.history.restores()] {
          takeFromReader(index, life, response, restores);
        });
      });
    });
  }

  void takeFromReader(size_t index, uint64_t life, const TableUpdate& response, uint64_t restores) {
    ZoneGateway& gateway = gateways_[index];
    if (gateway.life != life) {
      return;
    }
    const bool is_news = gateway.peer_restores && *gateway.peer_restores != restores;
    if (is_news && gateway.restores_seen == gateway.history.restores()) {
      gateway.history.noteContradiction(now_);
    }
    gateway.peer_restores = restores;
    gateway.restores_seen = gateway.history.restores();
    const bool needs_snapshot = apply(gateway, response).needs_snapshot;
    gateway.peer_after = response.version;
    if (needs_snapshot && now_ - gateway.snapshot_requested >= absl::Milliseconds(500)) {
      gateway.snapshot_requested = now_;
      gateway.peer_after = 0;
    }
    at(now_ + drawTime(1, 200), [this, index, life] { pollAgain(index, life); });
  }

  void pollAgain(size_t index, uint64_t life) {
    if (gateways_[index].life == life) {
      runWhenActive(index, [this, index] { pollReader(index); });
    }
  }

  // A reader begins again after a restore; each gateway confirms for itself at two thirds of the bound.
  void tick() {
    for (size_t index = 0; index < gateways_.size(); ++index) {
      ZoneGateway& gateway = gateways_[index];
      if (now_ < gateway.still_until) {
        continue;
      }
      const bool is_restored = index == reader_ && gateway.restores_seen != gateway.history.restores();
      if (is_restored) {
        gateway.restores_seen = gateway.history.restores();
        gateway.followed_version = 0;
        ++gateway.life;
        readSnapshot(index, true);
      }
      const bool is_due = now_ - gateway.cache.confirmed() >= kInForce * 2 / 3 &&
                          now_ - gateway.last_confirmation >= kInForce / 3;
      if (gateway.in_force > 0 && is_due) {
        gateway.last_confirmation = now_;
        readSnapshot(index, false);
      }
    }
  }

  void check() {
    for (ZoneGateway& gateway : gateways_) {
      if (gateway.in_force < gateway.highest_in_force) {
        fault_ = "the configuration went back";
      }
      gateway.highest_in_force = gateway.in_force;
      const bool says_confirmed = now_ - gateway.cache.confirmed() <= kInForce;
      if (!says_confirmed) {
        continue;
      }
      const auto numbers = store_.valuesSince(kNumberedKey, now_ - kInForce);
      const bool is_new_enough = std::any_of(numbers.begin(), numbers.end(), [&](const std::string& number) {
        return number.empty() || std::stoull(number) <= gateway.in_force;
      });
      if (!is_new_enough) {
        fault_ = "an older configuration is held to be confirmed past its bound";
      }
      for (const char* const key : {"a", "b", "c"}) {
        const auto found = gateway.rows.find(key);
        const std::string known = found == gateway.rows.end() ? "" : found->second;
        const auto values = store_.valuesSince(key, now_ - kInForce);
        if (std::find(values.begin(), values.end(), known) == values.end()) {
          fault_ = std::string("row ") + key + " is held to be confirmed past its bound";
        }
      }
    }
  }

  std::mt19937 random_;
  RestorableStore store_;
  absl::Time now_ = absl::UnixEpoch();
  std::multimap<absl::Time, std::function<void()>> events_;
  std::vector<ZoneGateway> gateways_;
  size_t reader_ = 0;
  uint64_t number_ = 1;
  int64_t max_delay_ms_ = 100;
  std::string fault_;
};

}  // namespace quincewick::forwarding
