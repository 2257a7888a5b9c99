#include "emulator/engine_host.h"

#include <absl/time/clock.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "emulator/answer.h"
#include "prefix/block_chain.h"

namespace quincewick::emulator {
namespace {

constexpr absl::Duration kLoadPoll = absl::Milliseconds(10);
constexpr absl::Duration kRecordPoll = absl::Seconds(1);
constexpr absl::Duration kLongestWait = absl::Milliseconds(50);
constexpr uint32_t kDefaultMaximumTokens = 256;

uint64_t hashOf(const std::string& text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

template <class Action>
const Action* firstOf(const std::vector<EngineAction>& actions) {
  for (const EngineAction& action : actions) {
    if (const auto* found = std::get_if<Action>(&action)) {
      return found;
    }
  }
  return nullptr;
}

}  // namespace

uint64_t saltFingerprint(const std::string& cache_salt, const ModelName& model, const AdapterName& adapter) {
  return hashOf(cache_salt, hashOf(model.value(), hashOf(adapter.value(), 0)));
}

EngineHost::EngineHost(Settings settings, std::function<void()> on_change)
    : settings_(std::move(settings)),
      on_change_(std::move(on_change)),
      model_(settings_.engine, settings_.incarnation, settings_.seed, absl::Now()) {
  for (const LoadedModel& model : settings_.models) {
    model_.addModel(model);
  }
}

std::vector<EngineAction> EngineHost::apply(EngineEvent event) {
  const absl::Time now = absl::Now();
  std::vector<EngineAction> actions;
  model_.handle(std::move(event), now, actions);
  for (const EngineAction& action : actions) {
    follow(action, now);
  }
  on_change_();
  return actions;
}

void EngineHost::follow(const EngineAction& action, absl::Time now) {
  if (const auto* first = std::get_if<FirstToken>(&action)) {
    const auto name = names_.find(first->id);
    if (name != names_.end()) {
      records_.at(name->second)->cached_tokens = first->cached_tokens;
      records_.at(name->second)->changed.SignalAll();
    }
  } else if (const auto* finished = std::get_if<RequestFinished>(&action)) {
    end(finished->id, CompletionState::kFinished, now);
  } else if (const auto* aborted = std::get_if<RequestAborted>(&action)) {
    end(aborted->id, aborted_state_, now);
  } else if (const auto* load = std::get_if<StartWeightLoad>(&action)) {
    loads_.push_back(PendingLoad{settings_.weights->begin(now),
                                 WeightsLoaded{load->incarnation, load->model, load->weights_version}});
  }
}

void EngineHost::end(EngineRequestId id, CompletionState state, absl::Time now) {
  const auto name = names_.find(id);
  if (name == names_.end()) {
    return;
  }
  Record& record = *records_.at(name->second);
  record.state = state;
  record.since = now;
  record.changed.SignalAll();
  names_.erase(name);
}

EngineRequest EngineHost::modelRequest(const CompletionCall& call, const Completion& completion) const {
  EngineRequest request;
  request.id = completion.id;
  request.model = call.model;
  request.adapter = call.adapter;
  request.priority = call.priority;
  request.salt = saltFingerprint(call.cache_salt, call.model, call.adapter);
  request.prompt =
      prefix::chainPrompt(call.cache_salt, call.prompt + call.generated_prefix, settings_.engine->block_size);
  request.output_tokens = static_cast<uint32_t>(completion.end_offset - completion.first_offset);
  request.wanted_weights = call.wanted_weights;
  request.wanted_incarnation = call.wanted_incarnation;
  return request;
}

std::variant<EngineHost::CompletionPointer, RefusalReason> EngineHost::submit(const CompletionCall& call) {
  auto completion = std::make_shared<Completion>();
  completion->request_id = call.request_id;
  completion->answer_seed = answerSeed(call.model.value(), call.prompt);
  const uint32_t wanted = call.maximum_tokens > 0 ? call.maximum_tokens : kDefaultMaximumTokens;
  const uint32_t natural = answerLength(completion->answer_seed);
  completion->first_offset = call.resume_from;
  completion->end_offset = std::min(wanted, natural);
  completion->finish_reason = natural <= wanted ? FinishReason::kStop : FinishReason::kLength;
  completion->prompt_tokens = call.prompt.size();
  if (call.resume_from > completion->end_offset) {
    return RefusalReason::kInvalid;
  }
  EngineRequest request = modelRequest(call, *completion);

  const absl::MutexLock lock(&mutex_);
  const auto known = records_.find(call.request_id);
  if (known != records_.end() && known->second->state == CompletionState::kRunning) {
    return RefusalReason::kDuplicate;
  }
  completion->id = EngineRequestId(++last_id_);
  request.id = completion->id;
  completion->incarnation = model_.incarnation();
  auto record = std::make_shared<Record>();
  record->completion = completion;
  if (call.resume_from == completion->end_offset) {
    // Nothing is left to generate: the caller only lacks the end.
    record->state = CompletionState::kFinished;
    record->since = absl::Now();
    records_[call.request_id] = record;
    return completion;
  }
  records_[call.request_id] = record;
  names_[completion->id] = call.request_id;
  const std::vector<EngineAction> actions = apply(SubmitRequest{std::move(request)});
  if (const auto* refused = firstOf<RequestRefused>(actions)) {
    records_.erase(call.request_id);
    names_.erase(completion->id);
    return refused->reason;
  }
  completion->weights_version = firstOf<RequestAccepted>(actions)->weights_version;
  return completion;
}

EngineHost::CompletionPointer EngineHost::attach(const RequestId& request) {
  const absl::MutexLock lock(&mutex_);
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return nullptr;
  }
  ++found->second->readers;
  return found->second->completion;
}

void EngineHost::detach(const Completion& completion) {
  const absl::MutexLock lock(&mutex_);
  const auto found = records_.find(completion.request_id);
  if (found == records_.end() || found->second->completion.get() != &completion) {
    return;
  }
  --found->second->readers;
  found->second->since = absl::Now();
}

bool EngineHost::cancel(const RequestId& request) {
  const absl::MutexLock lock(&mutex_);
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return false;
  }
  apply(CancelRequest{found->second->completion->id});
  return true;
}

CompletionView EngineHost::viewOf(const Record& record, absl::Time now) const {
  const Completion& completion = *record.completion;
  CompletionView view;
  view.state = record.state;
  view.cached_tokens = record.cached_tokens;
  view.until = completion.first_offset;
  if (record.state == CompletionState::kFinished) {
    view.until = completion.end_offset;
  } else if (const auto progress = model_.progress(completion.id, now)) {
    view.until = completion.first_offset + progress->tokens;
  }
  return view;
}

CompletionView EngineHost::waitBeyond(const Completion& completion, uint64_t offset, absl::Time deadline) {
  const absl::MutexLock lock(&mutex_);
  const auto found = records_.find(completion.request_id);
  if (found == records_.end() || found->second->completion.get() != &completion) {
    return CompletionView{completion.first_offset, CompletionState::kLost, 0};
  }
  const std::shared_ptr<Record> record = found->second;
  while (true) {
    const absl::Time now = absl::Now();
    const CompletionView view = viewOf(*record, now);
    if (view.until > offset || view.state != CompletionState::kRunning || now >= deadline) {
      return view;
    }
    const auto progress = model_.progress(completion.id, now);
    const absl::Time next = progress ? progress->next_token : deadline;
    // The rate may change without a signal, so no wait is long.
    record->changed.WaitWithDeadline(&mutex_, std::min({next, deadline, now + kLongestWait}));
  }
}

absl::Time EngineHost::tick(absl::Time now) {
  const absl::MutexLock lock(&mutex_);
  std::vector<EngineAction> actions;
  model_.handle(Wakeup{}, now, actions);
  for (const EngineAction& action : actions) {
    follow(action, now);
  }
  finishLoads(now);
  dropOldRecords(now);
  const absl::Time poll = now + (loads_.empty() ? kRecordPoll : kLoadPoll);
  return std::min(model_.nextWakeup(), poll);
}

void EngineHost::finishLoads(absl::Time now) {
  for (size_t index = 0; index < loads_.size();) {
    if (!settings_.weights->takeFinished(loads_[index].load, now)) {
      ++index;
      continue;
    }
    const WeightsLoaded event = std::move(loads_[index].event);
    loads_.erase(loads_.begin() + static_cast<std::ptrdiff_t>(index));
    apply(event);
  }
}

void EngineHost::dropOldRecords(absl::Time now) {
  std::vector<EngineRequestId> unread;
  for (auto entry = records_.begin(); entry != records_.end();) {
    const Record& record = *entry->second;
    const bool running = record.state == CompletionState::kRunning;
    if (running && record.readers == 0 && now - record.since > settings_.unread_timeout) {
      unread.push_back(record.completion->id);
    }
    if (!running && now - record.since > settings_.ended_retention) {
      entry = records_.erase(entry);
    } else {
      ++entry;
    }
  }
  for (const EngineRequestId id : unread) {
    apply(CancelRequest{id});
  }
}

OrderOutcome EngineHost::order(const EngineOrder& order) {
  const absl::MutexLock lock(&mutex_);
  return firstOf<OrderAnswered>(apply(order))->outcome;
}

std::optional<absl::Time> EngineHost::import(ImportBlocks blocks) {
  const absl::MutexLock lock(&mutex_);
  return firstOf<ImportAnswered>(apply(std::move(blocks)))->usable_at;
}

void EngineHost::crash() {
  const absl::MutexLock lock(&mutex_);
  aborted_state_ = CompletionState::kLost;
  apply(Crash{});
  aborted_state_ = CompletionState::kCancelled;
  for (auto& [request, record] : records_) {
    record->state = CompletionState::kLost;
    record->changed.SignalAll();
  }
  records_.clear();
  names_.clear();
  for (const PendingLoad& load : loads_) {
    settings_.weights->abandon(load.load, absl::Now());
  }
  loads_.clear();
}

void EngineHost::restart(bool keep_cache) {
  const absl::MutexLock lock(&mutex_);
  apply(Restart{model_.incarnation().next(), keep_cache});
}

void EngineHost::setPace(double slowdown) {
  const absl::MutexLock lock(&mutex_);
  apply(SetPace{slowdown});
}

void EngineHost::dropCacheEventsUntil(absl::Time until) {
  const absl::MutexLock lock(&mutex_);
  apply(DropCacheEvents{until});
}

}  // namespace quincewick::emulator
