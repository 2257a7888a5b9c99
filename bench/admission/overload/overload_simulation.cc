#include "bench/admission/overload/overload_simulation.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>
#include <random>
#include <string>

#include "emulator/engine_model.h"

namespace quincewick::admission {
namespace {

constexpr uint32_t kTenants = 8;
constexpr uint32_t kTrunksPerTenant = 4;
constexpr uint32_t kTrunkBlocks = 10;
constexpr size_t kReplicas = 6;
constexpr double kGreedyShare = 0.5;

// A sort of request: barrier answers, quotes and story checks.
struct Kind {
  Urgency urgency;
  double share;
  double least_unique;
  double most_unique;
  double least_output;
  double most_output;
  absl::Duration deadline;
};

constexpr double kNoDeadlineSeconds = 600;

const std::array<Kind, 3>& kinds() {
  static const std::array<Kind, 3> kinds = {
      Kind{Urgency::kUrgent, 0.45, 60, 400, 10, 40, absl::Seconds(5)},
      Kind{Urgency::kStandard, 0.35, 200, 1200, 40, 120, absl::Seconds(10)},
      Kind{Urgency::kDeferrable, 0.20, 2000, 10000, 20, 80, absl::Seconds(kNoDeadlineSeconds)},
  };
  return kinds;
}

class OverloadSimulation {
 public:
  explicit OverloadSimulation(const OverloadSettings& settings)
      : settings_(settings),
        controller_(settings.admission),
        random_(settings.seed),
        engine_settings_(std::make_shared<const emulator::EngineSettings>()) {
    for (size_t index = 0; index < settings.engines; ++index) {
      engines_.push_back(
          std::make_unique<emulator::EngineModel>(engine_settings_, Incarnation(1), index, now_));
      engines_.back()->addModel(LoadedModel{ModelName("model"), WeightsVersion(1), {}});
      engine_load_.push_back(0);
    }
  }

  OverloadResult run() {
    warmCaches();
    const absl::Time start = now_;
    measure_from_ = start + settings_.warm_up;
    measure_to_ = measure_from_ + settings_.measured;
    absl::Time next_arrival = start;
    while (next_arrival < measure_to_) {
      advanceTo(next_arrival);
      arrive();
      next_arrival += absl::Seconds(-std::log(1 - unit()) / settings_.requests_per_second);
    }
    constexpr absl::Duration kDrain = absl::Seconds(30);
    advanceTo(measure_to_ + kDrain);
    for (ClassResult& result : result_.classes) {
      std::sort(result.first_token_seconds.begin(), result.first_token_seconds.end());
    }
    result_.goodput /= absl::ToDoubleSeconds(settings_.measured);
    result_.mean_window = window_sum_ / std::max<double>(1, static_cast<double>(window_samples_));
    return result_;
  }

 private:
  struct Job {
    Urgency urgency = Urgency::kStandard;
    TenantId tenant;
    double work = 0;
    absl::Time arrival;
    absl::Time deadline;
    uint32_t output_tokens = 0;
    size_t engine = 0;
    bool in_time = false;
  };

  double unit() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double between(double least, double most) { return least + unit() * (most - least); }
  bool measured(const Job& job) const { return job.arrival >= measure_from_ && job.arrival < measure_to_; }
  ClassResult& resultOf(Urgency urgency) { return result_.classes[static_cast<size_t>(urgency)]; }

  // Runs the engines and the controller's own timer up to `time`, in order of time.
  void advanceTo(absl::Time time) {
    for (;;) {
      absl::Time next = controller_.nextWakeup() + absl::Nanoseconds(1);
      size_t due = engines_.size();
      for (size_t index = 0; index < engines_.size(); ++index) {
        if (engines_[index]->nextWakeup() < next) {
          next = engines_[index]->nextWakeup();
          due = index;
        }
      }
      if (next > time) {
        break;
      }
      now_ = std::max(now_, next);
      if (due == engines_.size()) {
        control(Tick{});
      } else {
        engineEvent(due, emulator::Wakeup{});
      }
    }
    now_ = time;
  }

  void arrive() {
    double pick = unit();
    const Kind* kind = &kinds().back();
    for (const Kind& candidate : kinds()) {
      if (pick < candidate.share) {
        kind = &candidate;
        break;
      }
      pick -= candidate.share;
    }
    const bool greedy = settings_.greedy_tenant && unit() < kGreedyShare;
    const auto tenant_number = greedy ? 0 : static_cast<uint32_t>(unit() * kTenants);
    RequestOffered offered;
    InferenceRequest& request = offered.request;
    const uint64_t number = next_number_++;
    request.id = RequestId(std::to_string(number));
    request.tenant = TenantId("tenant-" + std::to_string(tenant_number));
    request.urgency = kind->urgency;
    request.arrival = now_;
    request.deadline = now_ + kind->deadline;
    request.prompt = prompt(tenant_number, static_cast<uint32_t>(unit() * unit() * kTrunksPerTenant),
                            between(kind->least_unique, kind->most_unique));
    request.maximum_output_tokens = static_cast<uint32_t>(between(kind->least_output, kind->most_output));
    const absl::Duration prefill =
        engine_settings_->prefill_per_token * static_cast<int64_t>(request.prompt.tail_size);
    offered.expected_first_token = prefill + 2 * engine_settings_->step_base;
    const double batch = engine_settings_->maximum_running;
    const absl::Duration token_work =
        engine_settings_->step_base / batch + engine_settings_->step_per_request;
    offered.cost = absl::ToDoubleSeconds(prefill + token_work * request.maximum_output_tokens);
    const Job job{
        kind->urgency, request.tenant, offered.cost, now_, request.deadline, request.maximum_output_tokens, 0,
        false};
    jobs_[number] = job;
    if (measured(job)) {
      ++resultOf(job.urgency).offered;
      resultOf(job.urgency).offered_work[job.tenant] += job.work;
    }
    control(std::move(offered));
  }

  // Each trunk is computed once at each of the engines that serve it.
  void warmCaches() {
    constexpr uint64_t kFirstWarmUpNumber = uint64_t{1} << 60;
    uint64_t number = kFirstWarmUpNumber;
    std::vector<emulator::EngineAction> ignored;
    for (uint32_t trunk = 0; trunk < kTenants * kTrunksPerTenant; ++trunk) {
      for (size_t replica = 0; replica < kReplicas; ++replica) {
        emulator::EngineRequest request;
        request.id = emulator::EngineRequestId(number++);
        request.model = ModelName("model");
        request.salt = 1;
        request.prompt = prompt(trunk / kTrunksPerTenant, trunk % kTrunksPerTenant, 1);
        request.output_tokens = 1;
        engines_[engineOf(trunk, replica)]->handle(emulator::SubmitRequest{std::move(request)}, now_,
                                                   ignored);
      }
    }
    now_ += absl::Minutes(1);
    for (const auto& engine : engines_) {
      engine->handle(emulator::Wakeup{}, now_, ignored);
    }
  }

  size_t engineOf(uint32_t trunk, size_t replica) const {
    constexpr size_t kTrunkStride = 7;
    constexpr size_t kReplicaStride = 5;
    return (trunk * kTrunkStride + replica * kReplicaStride) % engines_.size();
  }

  // The least loaded of the engines that have the prompt's trunk.
  size_t chooseEngine(const PrefixChain& prompt) const {
    const auto trunk = static_cast<uint32_t>(prompt.blocks.front().high - 1);
    size_t best = engineOf(trunk, 0);
    for (size_t replica = 1; replica < kReplicas; ++replica) {
      const size_t candidate = engineOf(trunk, replica);
      best = engine_load_[candidate] < engine_load_[best] ? candidate : best;
    }
    return best;
  }

  // Shared blocks of one of the tenant's trunks, then an unshared tail.
  PrefixChain prompt(uint32_t tenant, uint32_t trunk, double unique_size) const {
    PrefixChain chain;
    chain.block_size = engine_settings_->block_size;
    for (uint32_t block = 0; block < kTrunkBlocks; ++block) {
      chain.blocks.push_back(BlockKey{uint64_t{tenant} * kTrunksPerTenant + trunk + 1, block + 1});
    }
    chain.tail_size = static_cast<uint32_t>(unique_size);
    return chain;
  }

  void control(AdmissionEvent event) {
    for (AdmissionAction& action : controller_.handle(std::move(event), now_, random_)) {
      if (Start* start = std::get_if<Start>(&action)) {
        submit(start->request);
      } else {
        const uint64_t number = std::stoull(std::get<Refuse>(action).id.value());
        const Job& job = jobs_.at(number);
        resultOf(job.urgency).refused += measured(job) ? 1 : 0;
        jobs_.erase(number);
      }
    }
    result_.most_waiting = std::max(result_.most_waiting, controller_.waiting());
    result_.most_in_flight = std::max(result_.most_in_flight, controller_.inFlight());
    if (now_ >= measure_from_ && now_ < measure_to_) {
      window_sum_ += controller_.windowLimit();
      ++window_samples_;
    }
  }

  void submit(const InferenceRequest& request) {
    const uint64_t number = std::stoull(request.id.value());
    Job& job = jobs_.at(number);
    job.engine = chooseEngine(request.prompt);
    ++engine_load_[job.engine];
    emulator::EngineRequest submitted;
    submitted.id = emulator::EngineRequestId(number);
    submitted.model = ModelName("model");
    submitted.priority = static_cast<uint8_t>(request.urgency);
    submitted.salt = 1;
    submitted.prompt = request.prompt;
    submitted.output_tokens = std::max<uint32_t>(1, job.output_tokens);
    engineEvent(job.engine, emulator::SubmitRequest{std::move(submitted)});
  }

  void engineEvent(size_t engine, emulator::EngineEvent event) {
    std::vector<emulator::EngineAction> actions;
    engines_[engine]->handle(std::move(event), now_, actions);
    for (const emulator::EngineAction& action : actions) {
      if (const auto* first = std::get_if<emulator::FirstToken>(&action)) {
        firstToken(first->id.value());
      } else if (const auto* finished = std::get_if<emulator::RequestFinished>(&action)) {
        finish(finished->id.value(), FinishKind::kCompleted);
      } else if (const auto* refused = std::get_if<emulator::RequestRefused>(&action)) {
        resultOf(jobs_.at(refused->id.value()).urgency).refused += 1;
        finish(refused->id.value(), FinishKind::kOverloaded);
      }
    }
  }

  void firstToken(uint64_t number) {
    Job& job = jobs_.at(number);
    job.in_time = now_ <= job.deadline;
    if (measured(job)) {
      resultOf(job.urgency).first_token_seconds.push_back(absl::ToDoubleSeconds(now_ - job.arrival));
      resultOf(job.urgency).in_time += job.in_time ? 1 : 0;
    }
    control(FirstTokenArrived{RequestId(std::to_string(number))});
  }

  void finish(uint64_t number, FinishKind kind) {
    const Job job = jobs_.at(number);
    jobs_.erase(number);
    --engine_load_[job.engine];
    // Work is counted when it ends, so that a queue built up in the warm-up doesn't count twice.
    if (kind == FinishKind::kCompleted && now_ >= measure_from_ && now_ < measure_to_) {
      result_.goodput += job.in_time ? job.work : 0;
      resultOf(job.urgency).done_work[job.tenant] += job.work;
    }
    control(RequestFinished{RequestId(std::to_string(number)), kind});
  }

  OverloadSettings settings_;
  AdmissionController controller_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::UnixEpoch();
  absl::Time measure_from_;
  absl::Time measure_to_;
  std::shared_ptr<const emulator::EngineSettings> engine_settings_;
  std::vector<std::unique_ptr<emulator::EngineModel>> engines_;
  std::vector<size_t> engine_load_;
  absl::flat_hash_map<uint64_t, Job> jobs_;
  uint64_t next_number_ = 1;
  double window_sum_ = 0;
  uint64_t window_samples_ = 0;
  OverloadResult result_;
};

// Divides `work` evenly among the tenants, none getting more than it offered.
std::map<TenantId, double> fairShares(const std::map<TenantId, double>& offered, double work) {
  std::vector<std::pair<double, TenantId>> by_size;
  by_size.reserve(offered.size());
  for (const auto& [tenant, size] : offered) {
    by_size.emplace_back(size, tenant);
  }
  std::sort(by_size.begin(), by_size.end());
  std::map<TenantId, double> shares;
  for (size_t index = 0; index < by_size.size(); ++index) {
    const double even = work / static_cast<double>(by_size.size() - index);
    const double share = std::min(even, by_size[index].first);
    shares[by_size[index].second] = share;
    work -= share;
  }
  return shares;
}

}  // namespace

double OverloadResult::smallestFairRatio() const {
  double smallest = 1;
  for (const ClassResult& result : classes) {
    double work = 0;
    std::map<TenantId, double> wanted = result.offered_work;
    for (const auto& [tenant, done] : result.done_work) {
      work += done;
      wanted[tenant] = std::max(wanted[tenant], done);  // some waited since before the measured time
    }
    for (const auto& [tenant, share] : fairShares(wanted, work)) {
      const auto done = result.done_work.find(tenant);
      smallest = std::min(smallest, (done == result.done_work.end() ? 0 : done->second) / share);
    }
  }
  return smallest;
}

OverloadResult simulateOverload(const OverloadSettings& settings) {
  return OverloadSimulation(settings).run();
}

double quantileOf(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index = static_cast<size_t>(share * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace quincewick::admission
