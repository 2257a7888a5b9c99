// A site of ledgers in virtual time, with a network, a table, action servers and callers, and every fault
// that they may suffer. Checks the ledger's promises at each run and each answer.
#pragma once

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "ledger/action_ledger.h"

namespace quincewick::ledger {

struct ClusterOptions {
  size_t nodes = 5;
  size_t zones = 3;
  uint64_t seed = 1;
  LedgerOptions ledger;
  absl::Duration between_zones = absl::Microseconds(1200);  // one way
  absl::Duration in_zone = absl::Microseconds(100);
  absl::Duration store_latency = absl::Milliseconds(5);  // there and back
  absl::Duration server_latency = absl::Milliseconds(2);
  absl::Duration clock_spread =
      absl::Milliseconds(400);  // between any two nodes; within twice the clock error
  absl::Duration membership_interval = absl::Milliseconds(200);
  double store_calls_per_second = 0;  // more are refused as rate-limited; 0: no limit
};

class Cluster {
 public:
  struct Faults {
    double loss = 0;
    double repetition = 0;
    double delay = 0;              // share of messages that come up to 5 s late
    double table_loss = 0;         // requests to the table that never take effect and are never answered
    double table_answer_loss = 0;  // those that take effect and whose answer is lost
    double dispatch_uncertain = 0;
    double dispatch_not_sent = 0;
    bool store_down = false;
    double membership_stale = 0;  // share of membership's reports that don't come
    double membership_wrong = 0;  // share of nodes reported with the wrong reachability
    std::set<size_t> cut_zones;   // each alone with itself
  };
  struct Submission {
    ActionKey key;
    BodyHash body;
    size_t node = 0;
    absl::Time at;
    std::optional<ActionAnswer> answer;
    absl::Time answered_at;
    std::optional<absl::Time> dispatched_at;
  };

  explicit Cluster(const ClusterOptions& options) : options_(options), random_(options.seed) {
    nodes_.resize(options.nodes);
    for (size_t node = 0; node < options.nodes; ++node) {
      nodes_[node].clock_offset =
          options.clock_spread * (std::uniform_real_distribution<>(-0.5, 0.5)(random_));
      start(node);
    }
  }

  Faults faults;

  absl::Time now() const { return now_; }
  void run(absl::Duration time) {
    const absl::Time end = now_ + time;
    while (!queue_.empty() && queue_.top().at <= end) {
      Event event = queue_.top();
      queue_.pop();
      now_ = event.at;
      event.work();
    }
    now_ = end;
  }

  // All memory of the node is lost; it starts again after `time`.
  void crash(size_t node, absl::Duration time) {
    nodes_[node].ledger.reset();
    ++nodes_[node].life;
    after(time, [this, node, life = nodes_[node].life] {
      if (nodes_[node].life == life && !nodes_[node].ledger) {
        start(node);
      }
    });
  }
  // Handles nothing for `time`; what comes meanwhile is handled afterwards.
  void pause(size_t node, absl::Duration time) {
    nodes_[node].paused_until = std::max(nodes_[node].paused_until, now_ + time);
  }

  uint64_t submit(size_t node, const ActionKey& key, uint64_t body = 0) {
    const uint64_t id = submissions_.size();
    submissions_.push_back(Submission{key, BodyHash{body, body}, node, now_, std::nullopt, {}, std::nullopt});
    if (nodes_[node].ledger) {
      deliver(node, nodes_[node].life, SubmitAction{SubmissionId(id), key, BodyHash{body, body}});
    }
    return id;
  }
  static ActionKey undatedKey(uint64_t number) {
    return ActionKey{TenantId("school"), IdempotencyKey(absl::StrCat("order-", number))};
  }
  // Dated by a clock that is right.
  ActionKey datedKey(uint64_t number) const {
    const uint64_t milliseconds = static_cast<uint64_t>(absl::ToUnixMillis(now_));
    const std::string time = absl::StrCat(absl::Hex(milliseconds, absl::kZeroPad12));
    return ActionKey{TenantId("school"),
                     IdempotencyKey(absl::StrCat(time.substr(0, 8), "-", time.substr(8), "-7000-8000-",
                                                 absl::Hex(number, absl::kZeroPad12)))};
  }

  const Submission& submission(uint64_t id) const { return submissions_[id]; }
  const std::vector<Submission>& submissions() const { return submissions_; }
  uint64_t runs(const ActionKey& key) const {
    const auto found = runs_.find(key);
    return found == runs_.end() ? 0 : found->second;
  }
  size_t nodeCount() const { return nodes_.size(); }
  bool up(size_t node) const { return nodes_[node].ledger != nullptr; }
  const ActionLedger& ledger(size_t node) const { return *nodes_[node].ledger; }
  // What went wrong first, or nothing.
  const std::string& violation() const { return violation_; }

  uint64_t messages() const { return messages_; }
  uint64_t messageBytes() const { return message_bytes_; }
  uint64_t tableWrites() const { return table_writes_; }
  size_t tableSize() const { return table_.size(); }
  uint64_t tableReads() const { return table_reads_; }

 private:
  struct Node {
    std::unique_ptr<ActionLedger> ledger;
    uint64_t life = 0;
    absl::Time paused_until = absl::InfinitePast();
    absl::Duration clock_offset;
  };
  struct Event {
    absl::Time at;
    uint64_t order = 0;
    std::function<void()> work;
    bool operator<(const Event& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  static NodeId idOf(size_t node) { return NodeId(absl::StrCat("node-", node)); }
  size_t zoneOf(size_t node) const { return node % options_.zones; }
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }

  void after(absl::Duration time, std::function<void()> work) {
    queue_.push(Event{now_ + time, next_order_++, std::move(work)});
  }

  void start(size_t node) {
    Node& one = nodes_[node];
    ++one.life;
    one.paused_until = now_;
    const Member self{idOf(node), Incarnation(one.life), ZoneName(absl::StrCat("zone-", zoneOf(node)))};
    one.ledger = std::make_unique<ActionLedger>(self, options_.ledger);
    membership(node, one.life);
    tick(node, one.life);
  }

  bool connected(size_t from, size_t to) const {
    const size_t from_zone = zoneOf(from);
    const size_t to_zone = zoneOf(to);
    return from_zone == to_zone ||
           (faults.cut_zones.count(from_zone) == 0 && faults.cut_zones.count(to_zone) == 0);
  }

  void tick(size_t node, uint64_t life) {
    if (nodes_[node].life != life || !nodes_[node].ledger) {
      return;
    }
    deliver(node, life, Tick{});
    const absl::Time next = std::max(now_ + absl::Milliseconds(50), nodes_[node].paused_until);
    after(next - now_, [this, node, life] { tick(node, life); });
  }

  // Membership as the node sees it: true, a little late.
  void membership(size_t node, uint64_t life) {
    if (nodes_[node].life != life || !nodes_[node].ledger) {
      return;
    }
    after(options_.membership_interval, [this, node, life] { membership(node, life); });
    if (chance() < faults.membership_stale) {
      return;
    }
    PeersChanged peers;
    for (size_t other = 0; other < nodes_.size(); ++other) {
      const bool reachable =
          nodes_[other].ledger != nullptr && connected(node, other) && nodes_[other].paused_until <= now_;
      // A life that is out of reach isn't known; its reachability may be guessed wrong.
      const uint64_t known = reachable ? nodes_[other].life : 0;
      const bool reported = chance() < faults.membership_wrong ? !reachable : reachable;
      peers.peers.push_back(PeerState{idOf(other), Incarnation(known),
                                      ZoneName(absl::StrCat("zone-", zoneOf(other))), reported, false,
                                      false});
    }
    deliver(node, life, std::move(peers));
  }

  void deliver(size_t node, uint64_t life, LedgerEvent event) {
    Node& one = nodes_[node];
    if (one.life != life || !one.ledger) {
      return;
    }
    if (one.paused_until > now_) {
      after(one.paused_until - now_, [this, node, life, event] { deliver(node, life, event); });
      return;
    }
    for (LedgerAction& action : one.ledger->handle(event, now_ + one.clock_offset, random_)) {
      std::visit([&](auto& done) { carryOut(node, life, done); }, action);
    }
  }

  void carryOut(size_t node, uint64_t /*life*/, const SendToPeer& send) {
    const std::string bytes = encode(send.message);
    ++messages_;
    message_bytes_ += bytes.size();
    for (size_t to = 0; to < nodes_.size(); ++to) {
      if (idOf(to) == send.to) {
        transmit(node, to, bytes);
        if (chance() < faults.repetition) {
          transmit(node, to, bytes);
        }
      }
    }
  }

  void transmit(size_t from, size_t to, const std::string& bytes) {
    if (chance() < faults.loss) {
      return;
    }
    absl::Duration latency = zoneOf(from) == zoneOf(to) ? options_.in_zone : options_.between_zones;
    latency *= 1 + 0.1 * chance();
    if (chance() < faults.delay) {
      latency += absl::Seconds(5) * chance();
    }
    after(latency, [this, from, to, bytes] {
      const Result<Message> message = decode(bytes);
      if (connected(from, to) && message) {
        deliver(to, nodes_[to].life, PeerMessage{idOf(from), message.value()});
      }
    });
  }

  void carryOut(size_t node, uint64_t life, const PlatformCall& call) {
    const absl::Duration half = options_.store_latency / 2 * (1 + 0.2 * chance());
    const bool lost = chance() < faults.table_loss;
    const bool answer_lost = chance() < faults.table_answer_loss;
    after(half, [this, node, life, call, half, lost, answer_lost] {
      if (faults.store_down || lost) {
        const Error error{lost ? ErrorCode::kOutcomeUnknown : ErrorCode::kUnavailable, "the store is down"};
        after(half, [this, node, life, call, error] { deliver(node, life, PlatformReply{call.id, error}); });
        return;
      }
      if (rateLimited()) {
        const Error error{ErrorCode::kResourceExhausted, "rate-limited"};
        after(half, [this, node, life, call, error] { deliver(node, life, PlatformReply{call.id, error}); });
        return;
      }
      const PlatformResult result =
          answer_lost
              ? (execute(call.request), PlatformResult(Error{ErrorCode::kOutcomeUnknown, "no answer"}))
              : execute(call.request);
      after(half, [this, node, life, call, result] { deliver(node, life, PlatformReply{call.id, result}); });
    });
  }

  // A token bucket that holds a tenth of a second's calls.
  bool rateLimited() {
    if (options_.store_calls_per_second == 0) {
      return false;
    }
    const double room = options_.store_calls_per_second / 10;
    store_tokens_ = std::min(
        room, store_tokens_ + absl::ToDoubleSeconds(now_ - last_refill_) * options_.store_calls_per_second);
    last_refill_ = now_;
    if (store_tokens_ < 1) {
      return true;
    }
    store_tokens_ -= 1;
    return false;
  }

  TableItem item(const std::string& key) const {
    const auto found = table_.find(key);
    return found == table_.end() ? TableItem{key, "", kAbsentItemVersion} : found->second;
  }

  PlatformResult execute(const PlatformRequest& request) {
    if (const auto* read = std::get_if<TableRead>(&request)) {
      ++table_reads_;
      TableItems items;
      for (const std::string& key : read->keys) {
        items.items.push_back(item(key));
      }
      return items;
    }
    if (const auto* scan = std::get_if<TableScan>(&request)) {
      ++table_reads_;
      TableItems items;
      for (auto next = table_.upper_bound(std::max(scan->after, scan->prefix));
           next != table_.end() && next->first.compare(0, scan->prefix.size(), scan->prefix) == 0 &&
           items.items.size() < scan->limit;
           ++next) {
        items.items.push_back(next->second);
      }
      return items;
    }
    const auto& transaction = std::get<TableTransaction>(request);
    TableConflict conflict;
    bool holds = true;
    for (const TableCondition& condition : transaction.conditions) {
      conflict.items.push_back(item(condition.key));
      holds = holds && conflict.items.back().version == condition.version;
    }
    if (!holds) {
      return conflict;
    }
    ++table_writes_;
    TableCommitted committed;
    for (const TableWrite& write : transaction.writes) {
      if (!write.value) {
        table_.erase(write.key);
        committed.versions.push_back(kAbsentItemVersion);
        continue;
      }
      const uint64_t version = ++last_version_;
      table_[write.key] = TableItem{write.key, *write.value, version};
      committed.versions.push_back(version);
    }
    return committed;
  }

  void carryOut(size_t node, uint64_t life, const DispatchAction& dispatch) {
    submissions_[dispatch.submission.value()].dispatched_at = now_;
    if (chance() < faults.dispatch_not_sent) {
      after(absl::Milliseconds(1), [this, node, life, dispatch] {
        deliver(node, life, DispatchFinished{dispatch.claim, DispatchResult::kNotSent, ""});
      });
      return;
    }
    // The sending thread may be held up, too; a node that is gone sends nothing any more.
    const absl::Duration sending =
        chance() < faults.delay ? absl::Seconds(5) * chance() : absl::ZeroDuration();
    const bool uncertain = chance() < faults.dispatch_uncertain;
    const bool reaches = !uncertain || chance() < 0.5;
    after(sending, [this, node, life, dispatch, uncertain, reaches] {
      if (nodes_[node].life != life || !nodes_[node].ledger) {
        return;
      }
      std::string outcome;
      if (reaches) {
        outcome = execute(dispatch);
      }
      after(options_.server_latency, [this, node, life, dispatch, uncertain, outcome] {
        const DispatchResult result = uncertain ? DispatchResult::kUncertain : DispatchResult::kDone;
        deliver(node, life, DispatchFinished{dispatch.claim, result, uncertain ? "" : outcome});
      });
    });
  }

  std::string execute(const DispatchAction& dispatch) {
    const uint64_t count = ++runs_[dispatch.key];
    if (count > 1) {
      violate(absl::StrCat("a second run of ", dispatch.key.key.value()));
    }
    const Submission& by = submissions_[dispatch.submission.value()];
    const auto promised = not_run_.find(dispatch.key);
    if (promised != not_run_.end() && by.at <= promised->second) {
      violate(absl::StrCat("a run after the answer that there was none: ", dispatch.key.key.value()));
    }
    outcomes_[dispatch.key] = absl::StrCat("outcome of ", dispatch.key.key.value());
    return outcomes_[dispatch.key];
  }

  void carryOut(size_t /*node*/, uint64_t /*life*/, const AnswerAction& action) {
    Submission& submission = submissions_[action.submission.value()];
    if (submission.answer) {
      violate("a second answer to one submission");
    }
    submission.answer = action.answer;
    submission.answered_at = now_;
    const ActionKey& key = submission.key;
    const bool ran = runs(key) > 0;
    if (action.answer.status == AnswerStatus::kDone) {
      if (!ran || action.answer.outcome != outcomes_[key]) {
        violate(absl::StrCat("a wrong outcome of ", key.key.value()));
      }
    }
    if (action.answer.execution == Execution::kNotRun && action.answer.status != AnswerStatus::kConflict) {
      if (ran) {
        violate(absl::StrCat("told as not run, but ran: ", key.key.value()));
      }
      not_run_[key] = now_;
    }
  }

  void violate(const std::string& what) {
    if (violation_.empty()) {
      violation_ =
          absl::StrCat(what, " at ", absl::ToDoubleSeconds(now_ - absl::FromUnixSeconds(1800000000)), " s");
    }
  }

  ClusterOptions options_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::FromUnixSeconds(1800000000);
  uint64_t next_order_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<Node> nodes_;
  std::map<std::string, TableItem> table_;
  uint64_t last_version_ = 0;
  double store_tokens_ = 0;
  absl::Time last_refill_ = absl::FromUnixSeconds(1800000000);
  std::vector<Submission> submissions_;
  std::map<ActionKey, uint64_t> runs_;
  std::map<ActionKey, std::string> outcomes_;
  std::map<ActionKey, absl::Time> not_run_;
  std::string violation_;
  uint64_t messages_ = 0;
  uint64_t message_bytes_ = 0;
  uint64_t table_writes_ = 0;
  uint64_t table_reads_ = 0;
};

}  // namespace quincewick::ledger
