#include "ablation/simulation.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <tuple>
#include <utility>
#include <variant>

#include "ablation/oracle_policy.h"
#include "emulator/engine_model.h"

namespace quincewick::ablation {
namespace {

constexpr uint64_t kEngineSeed = 11;
constexpr uint64_t kNodeSeed = 23;
constexpr size_t kCacheEventLimit = 1024;
constexpr uint32_t kAttempts = 3;

struct Arrive {
  size_t request;
};
struct Deliver {  // the request reaches its engine
  size_t request;
};
struct Exported {  // the blocks have left their source
  size_t request;
  std::vector<BlockKey> blocks;
};
struct Poll {
  size_t node;
};
struct Feedback {  // what an engine did reaches the node
  size_t request;
  emulator::EngineAction action;
};
using Event = std::variant<Arrive, Deliver, Exported, Poll, Feedback>;

struct Scheduled {
  absl::Time at;
  uint64_t order;
  Event event;
};

struct Later {
  bool operator()(const Scheduled& left, const Scheduled& right) const {
    return std::tie(left.at, left.order) > std::tie(right.at, right.order);
  }
};

// A request on its way.
struct Track {
  size_t engine = 0;
  uint32_t attempts = 0;
  std::vector<BackEndId> tried;
  absl::Time first_token = absl::InfiniteFuture();
  uint64_t cached_tokens = 0;
  bool refused = false;
};

Percentiles percentilesOf(std::vector<double> values) {
  Percentiles result;
  result.count = values.size();
  if (values.empty()) {
    return result;
  }
  std::sort(values.begin(), values.end());
  const auto at = [&values](double share) {
    return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
  };
  result.p50 = at(0.50);
  result.p95 = at(0.95);
  result.p99 = at(0.99);
  return result;
}

class Simulation {
 public:
  Simulation(const Mix& mix, const std::vector<Arrival>& trace, const Contender& contender,
             const SimulationSettings& settings)
      : mix_(mix),
        trace_(trace),
        contender_(contender),
        settings_(settings),
        engine_settings_(std::make_shared<const emulator::EngineSettings>(settings.engine)),
        tracks_(trace.size()),
        waiting_(mix.engines),
        sent_to_(mix.engines),
        random_(kNodeSeed) {
    makeEngines();
    makeNodes();
  }

  Report run() {
    for (size_t request = 0; request < trace_.size(); ++request) {
      schedule(trace_[request].request.arrival, Arrive{request});
    }
    const absl::Time end = trace_.back().request.arrival + settings_.drain_limit;
    while (left_ > 0) {
      const absl::Time next = std::min(nextEvent(), nextWakeup());
      if (next > end) {
        break;
      }
      now_ = next;
      wakeEngines();
      if (nextEvent() <= now_) {
        const Event event = queue_.top().event;
        queue_.pop();
        std::visit([this](const auto& one) { on(one); }, event);
      }
    }
    return report();
  }

 private:
  void makeEngines() {
    for (uint32_t number = 0; number < mix_.engines; ++number) {
      engines_.emplace_back(engine_settings_, Incarnation(1), kEngineSeed + number, absl::UnixEpoch());
      engines_.back().addModel(LoadedModel{ModelName("base"), WeightsVersion(1), {}});
    }
  }

  void makeNodes() {
    const uint32_t count = contender_.oracle ? 1 : mix_.nodes;
    for (uint32_t node = 0; node < count; ++node) {
      nodes_.push_back(makeRouter());
      for (uint32_t number = 0; number < mix_.engines; ++number) {
        BackEnd engine;
        engine.id = engineId(number);
        engine.state = BackEndState::kReady;
        engine.incarnation = Incarnation(1);
        engine.models = engines_[number].models();
        nodes_.back()->handle(routing::EngineUpserted{engine}, absl::UnixEpoch());
      }
      if (!contender_.oracle) {
        schedule(absl::UnixEpoch() + settings_.poll_period * (node + 1) / count, Poll{node});
      }
    }
  }

  std::unique_ptr<routing::Router> makeRouter() {
    if (!contender_.oracle) {
      return std::make_unique<routing::Router>(contender_.router);
    }
    const auto held = [this](routing::EngineNumber engine, const PrefixChain& prompt) {
      return heldBlocks(static_cast<size_t>(engine), prompt);
    };
    return std::make_unique<routing::Router>(
        contender_.router, [this, held](const routing::EngineDirectory& directory, prefix::PrefixIndex&) {
          return std::make_unique<OraclePolicy>(directory, held, contender_.router.affinity);
        });
  }

  static BackEndId engineId(size_t number) { return BackEndId(absl::StrCat("engine-", number)); }

  // Slots and numbers agree: engines are told to each node in their order and stay.
  static size_t engineNumber(const routing::Router& node, const BackEndId& engine) {
    return static_cast<size_t>(*node.directory().find(engine));
  }

  uint32_t heldBlocks(size_t engine, const PrefixChain& prompt) const {
    size_t held = engines_[engine].heldPrefix(prompt.blocks, 0, WeightsVersion(1));
    for (const size_t other : waiting_[engine]) {
      const auto& blocks = trace_[other].request.prompt.blocks;
      const auto [mine, theirs] =
          std::mismatch(prompt.blocks.begin(), prompt.blocks.end(), blocks.begin(), blocks.end());
      held = std::max<size_t>(held, static_cast<size_t>(mine - prompt.blocks.begin()));
    }
    return static_cast<uint32_t>(held);
  }

  void schedule(absl::Time at, Event event) { queue_.push(Scheduled{at, next_order_++, std::move(event)}); }

  absl::Time nextEvent() const { return queue_.empty() ? absl::InfiniteFuture() : queue_.top().at; }

  absl::Time nextWakeup() const {
    absl::Time next = absl::InfiniteFuture();
    for (const emulator::EngineModel& engine : engines_) {
      next = std::min(next, engine.nextWakeup());
    }
    return next;
  }

  void wakeEngines() {
    for (size_t number = 0; number < engines_.size(); ++number) {
      if (engines_[number].nextWakeup() <= now_) {
        handleAt(number, emulator::Wakeup{});
      }
    }
  }

  std::vector<emulator::EngineAction> handleAt(size_t engine, emulator::EngineEvent event) {
    std::vector<emulator::EngineAction> actions;
    engines_[engine].handle(std::move(event), now_, actions);
    for (const emulator::EngineAction& action : actions) {
      if (const auto* first = std::get_if<emulator::FirstToken>(&action)) {
        noteFirstToken(engine, first->id.value(), *first);
        schedule(first->at + settings_.trip, Feedback{first->id.value(), action});
      } else if (const auto* finished = std::get_if<emulator::RequestFinished>(&action)) {
        schedule(finished->at + settings_.trip, Feedback{finished->id.value(), action});
      } else if (const auto* refused = std::get_if<emulator::RequestRefused>(&action)) {
        schedule(now_ + settings_.trip, Feedback{refused->id.value(), action});
      }
    }
    return actions;
  }

  bool measured(size_t request) const {
    return trace_[request].request.arrival >= absl::UnixEpoch() + settings_.warm_up;
  }

  void noteFirstToken(size_t engine, size_t request, const emulator::FirstToken& token) {
    Track& track = tracks_[request];
    track.first_token = token.at;
    track.cached_tokens = token.cached_tokens;
    auto& waiting = waiting_[engine];
    waiting.erase(std::remove(waiting.begin(), waiting.end(), request), waiting.end());
    const PrefixChain& prompt = trace_[request].request.prompt;
    for (size_t block = token.cached_tokens / prompt.block_size; block < prompt.blocks.size(); ++block) {
      const bool computed_before = !computed_.insert(prompt.blocks[block]).second;
      if (computed_before && measured(request)) {
        recomputed_tokens_ += prompt.block_size;
      }
    }
  }

  routing::Router& nodeOf(size_t request) { return *nodes_[trace_[request].node % nodes_.size()]; }

  void on(const Arrive& event) { place(event.request); }

  void place(size_t number) {
    const InferenceRequest& request = trace_[number].request;
    Track& track = tracks_[number];
    routing::Router& node = nodeOf(number);
    ++track.attempts;
    const auto placed = node.choose(request, node.route(request).value(), {track.tried}, now_, random_);
    if (placed.has_error()) {
      track.refused = true;
      --left_;
      return;
    }
    const routing::Placement& placement = placed.value();
    track.engine = engineNumber(node, placement.engine);
    track.tried.push_back(placement.engine);
    // Without the count of own work: sent as if nothing of it had to be computed.
    const uint64_t cached = contender_.in_flight ? placement.expected_cached_tokens : request.prompt.size();
    node.handle(routing::RequestSent{request, placement.engine, cached}, now_);
    waiting_[track.engine].push_back(number);
    if (placement.import.has_value()) {
      sendWithImport(number, *placement.import);
    } else {
      schedule(now_ + settings_.trip, Deliver{number});
    }
  }

  // Only blocks that the source really holds can be exported; the rest is computed.
  void sendWithImport(size_t number, const routing::ImportSource& source) {
    const auto& blocks = trace_[number].request.prompt.blocks;
    const size_t held =
        engines_[engineNumber(nodeOf(number), source.engine)].heldPrefix(blocks, 0, WeightsVersion(1));
    const auto first = std::find(blocks.begin(), blocks.end(), source.blocks.front()) - blocks.begin();
    const auto count = std::clamp<std::ptrdiff_t>(static_cast<std::ptrdiff_t>(held) - first, 0,
                                                  static_cast<std::ptrdiff_t>(source.blocks.size()));
    const absl::Duration transfer = settings_.engine.transfer_per_block * count;
    schedule(now_ + 2 * settings_.trip + transfer,
             Exported{number, {source.blocks.begin(), source.blocks.begin() + count}});
    imported_blocks_ += static_cast<uint64_t>(count);
  }

  void on(const Exported& event) {
    const size_t engine = tracks_[event.request].engine;
    const auto actions =
        handleAt(engine, emulator::ImportBlocks{event.blocks, ModelName("base"), 0, WeightsVersion(1)});
    absl::Time usable = now_;
    for (const emulator::EngineAction& action : actions) {
      if (const auto* answer = std::get_if<emulator::ImportAnswered>(&action)) {
        usable = answer->usable_at.value_or(now_);
      }
    }
    schedule(usable, Deliver{event.request});
  }

  void on(const Deliver& event) {
    const Arrival& arrival = trace_[event.request];
    emulator::EngineRequest request;
    request.id = emulator::EngineRequestId(event.request);
    request.model = arrival.request.model;
    request.priority = settings_.equal_priorities ? 1 : static_cast<uint8_t>(arrival.request.urgency);
    request.prompt = arrival.request.prompt;
    request.output_tokens = arrival.output_tokens;
    ++sent_to_[tracks_[event.request].engine];
    handleAt(tracks_[event.request].engine, emulator::SubmitRequest{std::move(request)});
  }

  void on(const Poll& event) {
    routing::Router& node = *nodes_[event.node];
    for (size_t number = 0; number < engines_.size(); ++number) {
      pollEngine(node, number);
    }
    schedule(now_ + settings_.poll_period, event);
  }

  void pollEngine(routing::Router& node, size_t number) {
    if (contender_.load_reports) {
      // A node only knows that a report is up to a period old.
      const absl::Time measured_at = now_ - settings_.engine.load_report_period / 2;
      node.handle(routing::LoadReported{engineId(number), engines_[number].reportedLoad(now_), measured_at},
                  now_);
    }
    bool again = contender_.cache_events;
    while (again) {
      again = !node.handle(readCacheEvents(node, number), now_).empty();
    }
  }

  routing::CacheEventsRead readCacheEvents(const routing::Router& node, size_t number) const {
    routing::CacheEventsRead read{engineId(number), Incarnation(1), {}};
    const Sequence after = node.resumeCacheEventsAfter(read.engine);
    for (const emulator::CacheEvent& event : engines_[number].cacheEvents(after, kCacheEventLimit, now_)) {
      const bool stored = event.kind == emulator::CacheEventKind::kStored;
      read.events.push_back({event.sequence,
                             stored ? prefix::CacheEventKind::kStored : prefix::CacheEventKind::kEvicted,
                             event.block});
    }
    return read;
  }

  void on(const Feedback& event) {
    std::visit([&](const auto& action) { feedBack(event.request, action); }, event.action);
  }

  void feedBack(size_t request, const emulator::FirstToken& /*token*/) {
    nodeOf(request).handle(routing::FirstTokenSeen{trace_[request].request.id,
                                                   engineId(tracks_[request].engine), Incarnation(1)},
                           now_);
  }

  void feedBack(size_t request, const emulator::RequestFinished& finished) {
    const PrefixChain& prompt = trace_[request].request.prompt;
    const Usage usage{prompt.size(), finished.cached_tokens, trace_[request].output_tokens};
    end(request, usage);
    --left_;
    const bool in_window =
        finished.at >= absl::UnixEpoch() + settings_.warm_up && finished.at <= trace_.back().request.arrival;
    finished_ += in_window ? 1 : 0;
  }

  void feedBack(size_t request, const emulator::RequestRefused& /*refused*/) {
    Track& track = tracks_[request];
    auto& waiting = waiting_[track.engine];
    waiting.erase(std::remove(waiting.begin(), waiting.end(), request), waiting.end());
    end(request, std::nullopt);
    if (track.attempts < kAttempts) {
      place(request);
      return;
    }
    track.refused = true;
    --left_;
  }

  template <class Other>
  void feedBack(size_t /*request*/, const Other& /*action*/) {}

  void end(size_t request, std::optional<Usage> usage) {
    nodeOf(request).handle(routing::RequestEnded{trace_[request].request.id,
                                                 engineId(tracks_[request].engine), Incarnation(1), usage},
                           now_);
  }

  Report report() const {
    Report result;
    result.contender = contender_.name;
    std::vector<std::vector<double>> by_kind(mix_.kinds.size());
    std::vector<double> urgent;
    uint64_t prompt_tokens = 0;
    uint64_t cached_tokens = 0;
    for (size_t request = 0; request < trace_.size(); ++request) {
      const Track& track = tracks_[request];
      if (!measured(request)) {
        continue;
      }
      if (track.refused) {
        ++result.refused;
        continue;
      }
      const bool answered = track.first_token < absl::InfiniteFuture();
      result.unanswered += answered ? 0 : 1;
      const absl::Time seen = answered ? track.first_token + settings_.trip : now_;
      const double wait = absl::ToDoubleSeconds(seen - trace_[request].request.arrival);
      by_kind[trace_[request].kind].push_back(wait);
      if (mix_.kinds[trace_[request].kind].urgency == Urgency::kUrgent) {
        urgent.push_back(wait);
      }
      prompt_tokens += answered ? trace_[request].request.prompt.size() : 0;
      cached_tokens += track.cached_tokens;
    }
    result.urgent_first_token_seconds = percentilesOf(std::move(urgent));
    for (size_t kind = 0; kind < mix_.kinds.size(); ++kind) {
      result.kinds.push_back({mix_.kinds[kind].name, mix_.kinds[kind].urgency == Urgency::kUrgent,
                              percentilesOf(std::move(by_kind[kind]))});
    }
    result.hit_rate =
        static_cast<double>(cached_tokens) / static_cast<double>(std::max<uint64_t>(1, prompt_tokens));
    result.recomputed_tokens = recomputed_tokens_;
    result.finished = finished_;
    result.imported_blocks = imported_blocks_;
    const uint64_t total = std::accumulate(sent_to_.begin(), sent_to_.end(), uint64_t{0});
    const uint64_t most = *std::max_element(sent_to_.begin(), sent_to_.end());
    result.most_over_mean_load = static_cast<double>(most * sent_to_.size()) / static_cast<double>(total);
    return result;
  }

  const Mix& mix_;
  const std::vector<Arrival>& trace_;
  const Contender& contender_;
  const SimulationSettings& settings_;
  std::shared_ptr<const emulator::EngineSettings> engine_settings_;
  std::vector<emulator::EngineModel> engines_;
  std::vector<std::unique_ptr<routing::Router>> nodes_;
  std::vector<Track> tracks_;
  std::vector<std::vector<size_t>> waiting_;  // by engine: placed there, without a first token
  std::vector<uint64_t> sent_to_;             // by engine
  std::priority_queue<Scheduled, std::vector<Scheduled>, Later> queue_;
  uint64_t next_order_ = 0;
  absl::Time now_ = absl::UnixEpoch();
  std::mt19937_64 random_;
  absl::flat_hash_set<BlockKey> computed_;
  uint64_t recomputed_tokens_ = 0;
  uint64_t finished_ = 0;
  uint64_t imported_blocks_ = 0;
  size_t left_ = trace_.size();
};

}  // namespace

Report simulate(const Mix& mix, const std::vector<Arrival>& trace, const Contender& contender,
                const SimulationSettings& settings) {
  return Simulation(mix, trace, contender, settings).run();
}

}  // namespace quincewick::ablation
