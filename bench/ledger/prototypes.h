// The two designs that the ledger was weighed against, in virtual time: claims by the table alone.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace quincewick::ledger {

// A queue of work in virtual time.
class VirtualTime {
 public:
  absl::Time now() const { return now_; }
  void after(absl::Duration time, std::function<void()> work) {
    queue_.push(Entry{now_ + time, next_order_++, std::move(work)});
  }
  void runUntil(absl::Time end) {
    while (!queue_.empty() && queue_.top().at <= end) {
      Entry entry = queue_.top();
      queue_.pop();
      now_ = entry.at;
      entry.work();
    }
    now_ = end;
  }

 private:
  struct Entry {
    absl::Time at;
    uint64_t order = 0;
    std::function<void()> work;
    bool operator<(const Entry& other) const { return at != other.at ? at > other.at : order > other.order; }
  };
  absl::Time now_ = absl::FromUnixSeconds(1800000000);
  uint64_t next_order_ = 0;
  std::priority_queue<Entry> queue_;
};

// The table as a claim sees it: a call there and back, a limit of calls, an outage.
class TableModel {
 public:
  TableModel(VirtualTime& time, absl::Duration latency, double calls_per_second)
      : time_(time), latency_(latency), rate_(calls_per_second), tokens_(calls_per_second / 10) {}

  bool down = false;
  uint64_t writes = 0;

  // Calls `done` with whether the write took effect.
  void write(std::function<void(bool)> done) {
    time_.after(latency_ / 2, [this, done = std::move(done)] {
      const bool taken = !down && admit();
      writes += taken ? 1 : 0;
      time_.after(latency_ / 2, [done, taken] { done(taken); });
    });
  }

 private:
  bool admit() {
    const double room = rate_ / 10;
    tokens_ = std::min(room, tokens_ + absl::ToDoubleSeconds(time_.now() - refilled_) * rate_);
    refilled_ = time_.now();
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  VirtualTime& time_;
  absl::Duration latency_;
  double rate_;
  double tokens_;
  absl::Time refilled_ = absl::FromUnixSeconds(1800000000);
};

// Called once for each claim: whether it may be dispatched.
using ClaimDone = std::function<void(bool)>;

// Each claim is one conditional write, each outcome another; a refused call is tried again for a second.
class TablePerClaim {
 public:
  TablePerClaim(VirtualTime& time, TableModel& table) : time_(time), table_(table) {}

  void claim(ClaimDone done) { attempt(time_.now() + absl::Seconds(1), std::move(done)); }

 private:
  void attempt(absl::Time deadline, ClaimDone done) {
    table_.write([this, deadline, done = std::move(done)](bool taken) {
      if (taken) {
        done(true);
        table_.write([](bool /*taken*/) {});  // the outcome
      } else if (time_.now() >= deadline) {
        done(false);
      } else {
        time_.after(absl::Milliseconds(50), [this, deadline, done] { attempt(deadline, done); });
      }
    });
  }

  VirtualTime& time_;
  TableModel& table_;
};

// The node sends each claim to the owner of its key range, who writes all that wait in one transaction (with
// the outcomes of earlier ones) while it holds a lease in the table.
class LeasedGroupCommit {
 public:
  static constexpr size_t kOwners = 3;

  LeasedGroupCommit(VirtualTime& time, TableModel& table, absl::Duration to_owner)
      : time_(time), table_(table), to_owner_(to_owner), owners_(kOwners) {
    for (size_t owner = 0; owner < kOwners; ++owner) {
      renew(owner);
    }
  }

  void claim(uint64_t key, ClaimDone done) {
    const size_t owner = key % kOwners;
    // One owner in three is in the caller's own zone.
    const absl::Duration way = key / kOwners % 3 == 0 ? absl::Microseconds(100) : to_owner_;
    time_.after(way, [this, owner, way, done = std::move(done)] {
      owners_[owner].waiting.push_back(
          Waiting{time_.now() + absl::Seconds(1),
                  [this, way, done](bool granted) { time_.after(way, [done, granted] { done(granted); }); }});
      commit(owner);
    });
  }

 private:
  struct Waiting {
    absl::Time deadline;
    ClaimDone done;
  };
  struct Owner {
    std::vector<Waiting> waiting;
    bool writing = false;
    absl::Time lease_until = absl::InfinitePast();
  };
  static constexpr absl::Duration kLease = absl::Seconds(10);

  void renew(size_t owner) {
    const absl::Time asked = time_.now();
    table_.write([this, owner, asked](bool taken) {
      if (taken) {
        owners_[owner].lease_until = asked + kLease;
      }
    });
    time_.after(kLease / 3, [this, owner] { renew(owner); });
  }

  void commit(size_t number) {
    Owner& owner = owners_[number];
    if (owner.writing || owner.waiting.empty()) {
      return;
    }
    owner.writing = true;
    std::vector<Waiting> batch = std::exchange(owner.waiting, {});
    table_.write([this, number, batch = std::move(batch)](bool taken) {
      Owner& writer = owners_[number];
      writer.writing = false;
      for (const Waiting& one : batch) {
        if (taken && time_.now() < writer.lease_until) {
          one.done(true);
        } else if (time_.now() >= one.deadline) {
          one.done(false);
        } else {
          writer.waiting.push_back(one);
        }
      }
      time_.after(taken ? absl::ZeroDuration() : absl::Milliseconds(20), [this, number] { commit(number); });
    });
  }

  VirtualTime& time_;
  TableModel& table_;
  absl::Duration to_owner_;
  std::vector<Owner> owners_;
};

}  // namespace quincewick::ledger
