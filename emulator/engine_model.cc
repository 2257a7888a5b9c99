#include "emulator/engine_model.h"

#include <algorithm>
#include <utility>

namespace quincewick::emulator {
namespace {

template <class Held>
auto findRequest(Held& queue, EngineRequestId id) {
  return std::find_if(queue.begin(), queue.end(), [&](const auto& held) { return held.request.id == id; });
}

}  // namespace

EngineModel::EngineModel(std::shared_ptr<const EngineSettings> settings, Incarnation incarnation,
                         uint64_t seed, absl::Time now)
    : settings_(std::move(settings)),
      incarnation_(incarnation),
      clock_(now),
      cache_(settings_->cache_capacity_blocks),
      log_(settings_->cache_event_log, settings_->cache_event_delay, settings_->cache_event_loss, seed) {
  takeReportSnapshot(now);
}

void EngineModel::addModel(LoadedModel model) {
  models_.push_back(std::move(model));
}

void EngineModel::handle(EngineEvent event, absl::Time now, std::vector<EngineAction>& actions) {
  now = std::max(now, clock_);
  runUntil(now, actions);
  takeReportSnapshot(now);
  std::visit([&](auto& alternative) { on(std::move(alternative), actions); }, event);
  settle(actions);
}

void EngineModel::on(SubmitRequest event, std::vector<EngineAction>& actions) {
  EngineRequest& request = event.request;
  const LoadedModel* model = findModel(request.model);
  if (const std::optional<RefusalReason> reason = refusal(request, model)) {
    ++counters_.refused;
    actions.push_back(RequestRefused{request.id, *reason});
    return;
  }
  ++counters_.accepted;
  actions.push_back(RequestAccepted{request.id, model->weights_version});
  HeldRequest held;
  held.weights_version = model->weights_version;
  held.arrival_order = next_arrival_order_++;
  held.request = std::move(request);
  insertInOrder(waiting_, std::move(held));
}

std::optional<RefusalReason> EngineModel::refusal(const EngineRequest& request,
                                                  const LoadedModel* model) const {
  if (!up_) {
    return RefusalReason::kDown;
  }
  if (request.output_tokens == 0) {
    return RefusalReason::kInvalid;
  }
  if (holds(request.id)) {
    return RefusalReason::kDuplicate;
  }
  if (request.wanted_incarnation && *request.wanted_incarnation != incarnation_) {
    return RefusalReason::kWrongIncarnation;
  }
  if (draining_) {
    return RefusalReason::kDraining;
  }
  if (std::find(loading_.begin(), loading_.end(), request.model) != loading_.end()) {
    return RefusalReason::kLoadingWeights;
  }
  if (model == nullptr) {
    return RefusalReason::kUnknownModel;
  }
  if (request.wanted_weights && *request.wanted_weights != model->weights_version) {
    return RefusalReason::kWrongWeights;
  }
  const auto& adapters = model->adapters;
  if (!request.adapter.empty() &&
      std::find(adapters.begin(), adapters.end(), request.adapter) == adapters.end()) {
    return RefusalReason::kUnknownAdapter;
  }
  if (waiting_.size() >= settings_->maximum_waiting) {
    return RefusalReason::kQueueFull;
  }
  return std::nullopt;
}

void EngineModel::on(const CancelRequest& event, std::vector<EngineAction>& actions) {
  for (std::vector<HeldRequest>* queue : {&waiting_, &prefilling_, &decoding_}) {
    const auto found = findRequest(*queue, event.id);
    if (found == queue->end()) {
      continue;
    }
    if (queue == &prefilling_) {
      breakPrefillGroup();
    }
    ++counters_.aborted;
    actions.push_back(
        RequestAborted{event.id, queue == &decoding_ ? tokensOf(*found, progress_) : found->tokens_before});
    release(*found);
    queue->erase(found);
    return;
  }
}

void EngineModel::on(const Wakeup& /*event*/, std::vector<EngineAction>& /*actions*/) {}

void EngineModel::on(const EngineOrder& order, std::vector<EngineAction>& actions) {
  if (!up_) {
    actions.push_back(OrderAnswered{OrderOutcome::kInvalid});
    return;
  }
  const auto place = std::pair(order.epoch, order.sequence);
  const auto last = std::pair(last_epoch_, last_sequence_);
  if (place == last) {
    actions.push_back(OrderAnswered{last_outcome_});
    return;
  }
  if (place < last) {
    ++counters_.fenced_orders;
    actions.push_back(OrderAnswered{OrderOutcome::kFenced});
    return;
  }
  last_epoch_ = order.epoch;
  last_sequence_ = order.sequence;
  last_outcome_ = carryOut(order, actions);
  actions.push_back(OrderAnswered{last_outcome_});
}

OrderOutcome EngineModel::carryOut(const EngineOrder& order, std::vector<EngineAction>& actions) {
  switch (order.kind) {
    case OrderKind::kLoadWeights:
      return beginWeightLoad(order, actions);
    case OrderKind::kLoadAdapter: {
      LoadedModel* model = findModel(order.model);
      if (model == nullptr || order.adapter.empty()) {
        return OrderOutcome::kInvalid;
      }
      auto& adapters = model->adapters;
      if (std::find(adapters.begin(), adapters.end(), order.adapter) == adapters.end()) {
        adapters.push_back(order.adapter);
      }
      return OrderOutcome::kDone;
    }
    case OrderKind::kSetRole:
      role_ = order.role;
      return OrderOutcome::kDone;
    case OrderKind::kDrain:
      draining_ = true;
      return OrderOutcome::kDone;
    case OrderKind::kResume:
      draining_ = false;
      return OrderOutcome::kDone;
  }
  return OrderOutcome::kInvalid;
}

OrderOutcome EngineModel::beginWeightLoad(const EngineOrder& order, std::vector<EngineAction>& actions) {
  const bool busy = std::find(loading_.begin(), loading_.end(), order.model) != loading_.end();
  const bool full = findModel(order.model) == nullptr && models_.size() >= settings_->maximum_models;
  if (order.model.empty() || busy || full) {
    return OrderOutcome::kInvalid;
  }
  loading_.push_back(order.model);
  actions.push_back(StartWeightLoad{incarnation_, order.model, order.weights_version});
  return OrderOutcome::kLoading;
}

void EngineModel::on(const WeightsLoaded& event, std::vector<EngineAction>& /*actions*/) {
  const auto entry = std::find(loading_.begin(), loading_.end(), event.model);
  if (!up_ || event.incarnation != incarnation_ || entry == loading_.end()) {
    return;
  }
  loading_.erase(entry);
  if (LoadedModel* model = findModel(event.model)) {
    model->weights_version = event.weights_version;
    return;
  }
  models_.push_back(LoadedModel{event.model, event.weights_version, {}});
}

void EngineModel::on(ImportBlocks event, std::vector<EngineAction>& actions) {
  const LoadedModel* model = findModel(event.model);
  const bool stale = model == nullptr || model->weights_version != event.weights_version;
  if (!up_ || (stale && !event.unchecked)) {
    actions.push_back(ImportAnswered{});
    return;
  }
  const absl::Time usable_at =
      clock_ + settings_->transfer_per_block * static_cast<int64_t>(event.blocks.size());
  imports_.push_back(PendingImport{usable_at, std::move(event)});
  actions.push_back(ImportAnswered{usable_at});
}

void EngineModel::on(const Crash& /*event*/, std::vector<EngineAction>& actions) {
  abortAll(actions);
  up_ = false;
  draining_ = false;
  loading_.clear();
  imports_.clear();
}

void EngineModel::on(const Restart& event, std::vector<EngineAction>& actions) {
  abortAll(actions);
  up_ = true;
  draining_ = false;
  incarnation_ = event.incarnation;
  loading_.clear();
  imports_.clear();
  log_.restart();
  if (!event.keep_cache) {
    cache_.clear();
  }
  report_ = loadAt(clock_);
}

void EngineModel::on(const SetPace& event, std::vector<EngineAction>& /*actions*/) {
  slowdown_ = std::max(event.slowdown, 0.0);
}

void EngineModel::on(const DropCacheEvents& event, std::vector<EngineAction>& /*actions*/) {
  log_.dropUntil(event.until);
}

void EngineModel::abortAll(std::vector<EngineAction>& actions) {
  breakPrefillGroup();
  for (std::vector<HeldRequest>* queue : {&waiting_, &prefilling_, &decoding_}) {
    for (HeldRequest& held : *queue) {
      ++counters_.aborted;
      actions.push_back(RequestAborted{held.request.id,
                                       queue == &decoding_ ? tokensOf(held, progress_) : held.tokens_before});
      release(held);
    }
    queue->clear();
  }
}

LoadedModel* EngineModel::findModel(const ModelName& name) {
  const auto found = std::find_if(models_.begin(), models_.end(),
                                  [&](const LoadedModel& model) { return model.model == name; });
  return found == models_.end() ? nullptr : &*found;
}

bool EngineModel::holds(EngineRequestId id) const {
  return findRequest(waiting_, id) != waiting_.end() || findRequest(prefilling_, id) != prefilling_.end() ||
         findRequest(decoding_, id) != decoding_.end();
}

}  // namespace quincewick::emulator
