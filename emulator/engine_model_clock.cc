// The part of EngineModel that computes: its clock, its batch and its cache.
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "emulator/engine_model.h"

namespace quincewick::emulator {
namespace {

constexpr uint64_t kUnitsPerStep = 65536;
constexpr uint64_t kNever = std::numeric_limits<uint64_t>::max();
// A step longer than this counts as standing still.
constexpr double kLongestStepNanoseconds = 1e12;

uint64_t divideUp(uint64_t value, uint64_t divisor) {
  return (value + divisor - 1) / divisor;
}

}  // namespace

void EngineModel::runUntil(absl::Time now, std::vector<EngineAction>& actions) {
  while (wakeup_ <= now) {
    const absl::Time due = wakeup_;
    takeReportSnapshot(due);
    moveClock(due);
    settle(actions);
  }
  moveClock(now);
}

uint64_t EngineModel::progressAt(absl::Time now) const {
  if (step_nanoseconds_ == kNever || now <= clock_) {
    return progress_;
  }
  const auto elapsed = static_cast<uint64_t>(absl::ToInt64Nanoseconds(now - clock_));
  return progress_ + elapsed / step_nanoseconds_ * kUnitsPerStep +
         elapsed % step_nanoseconds_ * kUnitsPerStep / step_nanoseconds_;
}

absl::Time EngineModel::timeOfProgress(uint64_t progress) const {
  if (progress == kNever || (step_nanoseconds_ == kNever && progress > progress_)) {
    return absl::InfiniteFuture();
  }
  if (progress <= progress_) {
    return clock_;
  }
  const uint64_t needed = progress - progress_;
  const uint64_t nanoseconds = needed / kUnitsPerStep * step_nanoseconds_ +
                               divideUp(needed % kUnitsPerStep * step_nanoseconds_, kUnitsPerStep);
  return clock_ + absl::Nanoseconds(static_cast<int64_t>(nanoseconds));
}

void EngineModel::moveClock(absl::Time now) {
  progress_ = progressAt(now);
  clock_ = now;
}

void EngineModel::settle(std::vector<EngineAction>& actions) {
  if (up_) {
    finishImports();
    finishDecoding(actions);
    finishPrefill(actions);
    admitWaiting();
    formPrefillGroup();
  }
  plan();
}

void EngineModel::finishImports() {
  for (size_t index = 0; index < imports_.size();) {
    if (imports_[index].usable_at > clock_) {
      ++index;
      continue;
    }
    const ImportBlocks import = std::move(imports_[index].import);
    imports_.erase(imports_.begin() + static_cast<std::ptrdiff_t>(index));
    storeBlocks(import.blocks, 0, BlockProvenance{import.salt, import.weights_version, incarnation_});
  }
}

void EngineModel::finishDecoding(std::vector<EngineAction>& actions) {
  const auto done = [&](HeldRequest& held) {
    if (tokensOf(held, progress_) < held.request.output_tokens) {
      return false;
    }
    ++counters_.finished;
    actions.push_back(RequestFinished{held.request.id, clock_, held.cached_tokens});
    release(held);
    return true;
  };
  decoding_.erase(std::remove_if(decoding_.begin(), decoding_.end(), done), decoding_.end());
}

void EngineModel::finishPrefill(std::vector<EngineAction>& actions) {
  if (group_size_ == 0 || progress_ < group_end_progress_) {
    return;
  }
  for (; group_size_ > 0; --group_size_) {
    HeldRequest held = std::move(prefilling_.back());
    prefilling_.pop_back();
    counters_.prompt_tokens += held.request.prompt.size();
    counters_.cached_tokens += held.cached_tokens;
    storeBlocks(held.request.prompt.blocks, held.pinned.size(), provenanceOf(held));
    CacheViolations ignored;  // counted when the prompt was looked up
    std::vector<BlockCache::Slot> pinned;
    cache_.pinPrefix(held.request.prompt.blocks, provenanceOf(held), pinned, ignored);
    release(held);
    held.pinned = std::move(pinned);
    held.request.prompt.blocks = {};
    held.tokens_before = 1;
    held.joined_progress = progress_;
    actions.push_back(FirstToken{held.request.id, clock_, held.cached_tokens});
    decoding_.push_back(std::move(held));
  }
  finishDecoding(actions);
}

bool EngineModel::servedLater(const HeldRequest& left, const HeldRequest& right) {
  if (left.request.priority != right.request.priority) {
    return left.request.priority > right.request.priority;
  }
  return left.arrival_order > right.arrival_order;
}

void EngineModel::insertInOrder(std::vector<HeldRequest>& queue, HeldRequest held) {
  const auto place = std::upper_bound(queue.begin(), queue.end(), held, servedLater);
  queue.insert(place, std::move(held));
}

void EngineModel::admitWaiting() {
  while (!waiting_.empty()) {
    const bool full = prefilling_.size() + decoding_.size() >= settings_->maximum_running;
    if (full && !makeRoomFor(waiting_.back().request.priority)) {
      return;
    }
    // A displaced request is less urgent than the one it made room for, which is still at the back.
    HeldRequest held = std::move(waiting_.back());
    waiting_.pop_back();
    join(std::move(held));
  }
}

void EngineModel::join(HeldRequest held) {
  if (held.tokens_before > 0) {
    held.joined_progress = progress_;
    decoding_.push_back(std::move(held));
    return;
  }
  if (group_size_ > 0 && servedLater(prefilling_[prefilling_.size() - group_size_], held)) {
    breakPrefillGroup();
  }
  insertInOrder(prefilling_, std::move(held));
}

// Moves the least urgent running request back to the waiting ones if it is less urgent than `priority`.
bool EngineModel::makeRoomFor(uint8_t priority) {
  if (prefilling_.empty() && decoding_.empty()) {
    return false;
  }
  const auto victim = std::min_element(decoding_.begin(), decoding_.end(), servedLater);
  const bool from_prefilling =
      !prefilling_.empty() && (victim == decoding_.end() || servedLater(prefilling_.front(), *victim));
  HeldRequest& least = from_prefilling ? prefilling_.front() : *victim;
  if (least.request.priority <= priority) {
    return false;
  }
  if (from_prefilling) {
    breakPrefillGroup();
    insertInOrder(waiting_, std::move(least));
    prefilling_.erase(prefilling_.begin());
    return true;
  }
  least.tokens_before = tokensOf(least, progress_);
  insertInOrder(waiting_, std::move(least));
  decoding_.erase(victim);
  return true;
}

// Gives the group's members their remaining work back, so that the next group can be another.
void EngineModel::breakPrefillGroup() {
  for (; group_size_ > 0; --group_size_) {
    HeldRequest& held = prefilling_[prefilling_.size() - group_size_];
    held.prefill_left = prefillLeft(held, progress_);
  }
}

// What is left of a member of the group at `progress`; at least one token.
uint64_t EngineModel::prefillLeft(const HeldRequest& held, uint64_t progress) const {
  const uint64_t units_left = group_end_progress_ > progress ? group_end_progress_ - progress : 0;
  return std::max<uint64_t>(1, divideUp(held.prefill_left * units_left, group_units_));
}

void EngineModel::formPrefillGroup() {
  if (group_size_ > 0) {
    return;
  }
  uint64_t total = 0;
  for (auto held = prefilling_.rbegin(); held != prefilling_.rend(); ++held) {
    lookUp(*held);
    if (group_size_ > 0 && total + held->prefill_left > settings_->prefill_chunk_tokens) {
      break;
    }
    total += held->prefill_left;
    ++group_size_;
  }
  if (group_size_ == 0) {
    return;
  }
  group_chunk_tokens_ = std::min<uint64_t>(total, settings_->prefill_chunk_tokens);
  group_units_ = divideUp(total * kUnitsPerStep, group_chunk_tokens_);
  group_end_progress_ = progress_ + group_units_;
}

void EngineModel::lookUp(HeldRequest& held) {
  if (held.looked_up) {
    return;
  }
  held.looked_up = true;
  const PrefixChain& prompt = held.request.prompt;
  cache_.pinPrefix(prompt.blocks, provenanceOf(held), held.pinned, counters_.violations);
  held.cached_tokens = uint64_t{prompt.block_size} * held.pinned.size();
  // The last token is always computed: the first one of the answer follows from it.
  held.prefill_left = std::max<uint64_t>(1, prompt.size() - held.cached_tokens);
}

void EngineModel::plan() {
  double nanoseconds = absl::ToDoubleNanoseconds(
      settings_->step_base + settings_->step_per_request * static_cast<int64_t>(decoding_.size()));
  if (group_size_ > 0) {
    nanoseconds +=
        absl::ToDoubleNanoseconds(settings_->prefill_per_token) * static_cast<double>(group_chunk_tokens_);
  }
  nanoseconds *= slowdown_;
  const bool stands_still = !up_ || !(nanoseconds < kLongestStepNanoseconds);
  step_nanoseconds_ = stands_still ? kNever : std::max<uint64_t>(1, std::llround(nanoseconds));

  uint64_t next = group_size_ > 0 ? group_end_progress_ : kNever;
  for (const HeldRequest& held : decoding_) {
    const uint64_t steps = held.request.output_tokens - held.tokens_before;
    next = std::min(next, held.joined_progress + steps * kUnitsPerStep);
  }
  wakeup_ = timeOfProgress(next);
  for (const PendingImport& import : imports_) {
    wakeup_ = std::min(wakeup_, import.usable_at);
  }
}

uint32_t EngineModel::tokensOf(const HeldRequest& held, uint64_t progress) const {
  if (held.tokens_before == 0) {
    return 0;
  }
  const uint64_t tokens = held.tokens_before + (progress - held.joined_progress) / kUnitsPerStep;
  return static_cast<uint32_t>(std::min<uint64_t>(tokens, held.request.output_tokens));
}

std::optional<StreamProgress> EngineModel::progress(EngineRequestId id, absl::Time now) const {
  for (const HeldRequest& held : decoding_) {
    if (held.request.id == id) {
      StreamProgress progress;
      progress.tokens = tokensOf(held, progressAt(now));
      progress.next_token = timeOfProgress(
          held.joined_progress + uint64_t{progress.tokens + 1 - held.tokens_before} * kUnitsPerStep);
      progress.cached_tokens = held.cached_tokens;
      return progress;
    }
  }
  for (const std::vector<HeldRequest>* queue : {&prefilling_, &waiting_}) {
    for (const HeldRequest& held : *queue) {
      if (held.request.id == id) {
        return StreamProgress{held.tokens_before, absl::InfiniteFuture(), held.cached_tokens};
      }
    }
  }
  return std::nullopt;
}

void EngineModel::release(HeldRequest& held) {
  cache_.unpin(held.pinned);
  held.pinned.clear();
}

BlockProvenance EngineModel::provenanceOf(const HeldRequest& held) const {
  return BlockProvenance{held.request.salt, held.weights_version, incarnation_};
}

void EngineModel::storeBlocks(const std::vector<BlockKey>& blocks, size_t first,
                              const BlockProvenance& provenance) {
  std::vector<BlockKey> stored;
  std::vector<BlockKey> evicted;
  cache_.store(blocks, first, provenance, stored, evicted);
  for (const BlockKey& block : evicted) {
    log_.append(CacheEventKind::kEvicted, block, clock_);
  }
  for (const BlockKey& block : stored) {
    log_.append(CacheEventKind::kStored, block, clock_);
  }
}

size_t EngineModel::heldPrefix(const std::vector<BlockKey>& blocks, uint64_t salt,
                               WeightsVersion weights_version) const {
  return up_ ? cache_.heldPrefix(blocks, BlockProvenance{salt, weights_version, incarnation_}) : 0;
}

EngineLoad EngineModel::loadAt(absl::Time now) const {
  EngineLoad load;
  load.incarnation = incarnation_;
  load.running = static_cast<uint32_t>(prefilling_.size() + decoding_.size());
  load.waiting = static_cast<uint32_t>(waiting_.size());
  for (const HeldRequest& held : waiting_) {
    load.queued_prefill += held.tokens_before > 0 ? 0 : held.request.prompt.size();
  }
  const size_t group_begin = prefilling_.size() - group_size_;
  for (size_t index = 0; index < prefilling_.size(); ++index) {
    const HeldRequest& held = prefilling_[index];
    const uint64_t whole = held.looked_up ? held.prefill_left : held.request.prompt.size();
    load.queued_prefill += index >= group_begin ? prefillLeft(held, progressAt(now)) : whole;
  }
  load.cached_blocks = static_cast<uint32_t>(cache_.size());
  load.cache_capacity_blocks = cache_.capacity();
  return load;
}

// Called before each change with its time: nothing has changed since the last multiple of the period.
void EngineModel::takeReportSnapshot(absl::Time now) {
  const absl::Duration period = settings_->load_report_period;
  const absl::Time boundary =
      period > absl::ZeroDuration() ? absl::UnixEpoch() + absl::Floor(now - absl::UnixEpoch(), period) : now;
  if (boundary > report_time_) {
    report_time_ = boundary;
    report_ = loadAt(boundary);
  }
}

EngineLoad EngineModel::reportedLoad(absl::Time now) {
  takeReportSnapshot(now);
  return report_;
}

}  // namespace quincewick::emulator
