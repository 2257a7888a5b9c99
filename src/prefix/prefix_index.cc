#include "prefix/prefix_index.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace quincewick::prefix {
namespace {

constexpr absl::Duration kTick = absl::Milliseconds(100);
// Entries that the clock hand examines to find a victim.
constexpr size_t kEvictionCandidates = 8;
// Doubtful beliefs older than this many gaps are void.
constexpr uint16_t kDoubtfulEpochs = 256;
// A gap of more events than this may hide any change: earlier beliefs are void.
constexpr uint64_t kWideGap = 256;
constexpr float kOneRequest = 1.0F;
constexpr float kNoRequest = 0.0F;

// Age in epochs. Epochs wrap around, ages don't.
uint16_t ageOf(uint16_t current, uint16_t epoch) {
  return static_cast<uint16_t>(current - epoch);
}

bool byEngine(const PrefixView::Holder& left, const PrefixView::Holder& right) {
  return left.engine < right.engine;
}

}  // namespace

PrefixIndex::PrefixIndex(const PrefixIndexSettings& settings)
    : settings_(settings), numbers_(0, NumberHash{&entries_}, NumberEqual{&entries_}) {
  settings_.maximum_blocks = std::max<size_t>(settings_.maximum_blocks, 1);
  settings_.sampling = std::max<uint32_t>(settings_.sampling, 1);
  entries_.reserve(settings_.maximum_blocks);
  numbers_.reserve(settings_.maximum_blocks);
}

PrefixIndex::EngineState& PrefixIndex::state(EngineNumber engine) {
  const auto position = static_cast<size_t>(engine);
  if (position >= engines_.size()) {
    engines_.resize(position + 1);
  }
  return engines_[position];
}

void PrefixIndex::reset(EngineNumber engine) {
  EngineState& known = state(engine);
  ++known.epoch;
  known.certain_since = known.epoch;
  known.valid_since = known.epoch;
  known.settled_since = known.epoch;
  known.next_sequence = 1;
  known.gap_begin.reset();
}

PrefixIndex::Confidence PrefixIndex::confidence(const Belief& belief) const {
  const auto position = static_cast<size_t>(belief.engine);
  if (position >= engines_.size()) {
    return Confidence::kVoid;
  }
  const EngineState& known = engines_[position];
  const uint16_t age = ageOf(known.epoch, belief.epoch);
  if (age <= ageOf(known.epoch, known.certain_since)) {
    return Confidence::kCertain;
  }
  if (age <= ageOf(known.epoch, known.valid_since)) {
    return Confidence::kDoubtful;
  }
  return Confidence::kVoid;
}

uint32_t PrefixIndex::tick(absl::Time now) const {
  return static_cast<uint32_t>(absl::ToUnixMillis(now) / absl::ToInt64Milliseconds(kTick));
}

float PrefixIndex::countAt(const DecayingCount& count, uint32_t tick) const {
  if (tick <= count.counted_at) {
    return count.value;
  }
  const auto half_lives = static_cast<float>(tick - count.counted_at) *
                          static_cast<float>(absl::FDivDuration(kTick, settings_.half_life));
  return count.value * std::exp2(-half_lives);
}

void PrefixIndex::addOne(DecayingCount& count, uint32_t tick) const {
  count.value = countAt(count, tick) + kOneRequest;
  count.counted_at = tick;
}

const PrefixIndex::Entry* PrefixIndex::find(const BlockKey& block) const {
  const auto number = numbers_.find(block.low);
  return number == numbers_.end() ? nullptr : &entries_[*number];
}

PrefixIndex::Entry* PrefixIndex::findOrInsert(const BlockKey& block, float requests, absl::Time now) {
  if (const auto number = numbers_.find(block.low); number != numbers_.end()) {
    return &entries_[*number];
  }
  if (entries_.size() >= settings_.maximum_blocks && !makeRoom(requests, now)) {
    ++counters_.refused_blocks;
    return nullptr;
  }
  Entry& entry = entries_.emplace_back();
  entry.key = block.low;
  numbers_.insert(static_cast<uint32_t>(entries_.size() - 1));
  return &entry;
}

bool PrefixIndex::makeRoom(float newcomer_requests, absl::Time now) {
  const uint32_t now_tick = tick(now);
  uint32_t victim = 0;
  float fewest = std::numeric_limits<float>::infinity();
  for (size_t step = 0; step < std::min(kEvictionCandidates, entries_.size()); ++step) {
    clock_hand_ = (clock_hand_ + 1) % static_cast<uint32_t>(entries_.size());
    const float requests = countAt(entries_[clock_hand_].requests, now_tick);
    if (requests < fewest) {
      fewest = requests;
      victim = clock_hand_;
    }
  }
  if (fewest > newcomer_requests) {
    return false;
  }
  removeEntry(victim);
  ++counters_.evicted_blocks;
  return true;
}

void PrefixIndex::removeEntry(uint32_t number) {
  const auto last = static_cast<uint32_t>(entries_.size() - 1);
  numbers_.erase(numbers_.find(entries_[number].key));
  if (number != last) {
    numbers_.erase(numbers_.find(entries_[last].key));
    entries_[number] = std::move(entries_[last]);
    numbers_.insert(number);
  }
  entries_.pop_back();
}

void PrefixIndex::addBelief(EngineNumber engine, const BlockKey& block, absl::Time now) {
  if (!isSampled(block)) {
    return;
  }
  Entry* entry = findOrInsert(block, kNoRequest, now);
  if (entry == nullptr) {
    return;
  }
  const Belief belief{engine, state(engine).epoch};
  for (Belief& known : entry->beliefs) {
    if (known.engine == engine) {
      known = belief;
      return;
    }
  }
  const auto is_void = [this](const Belief& known) { return confidence(known) == Confidence::kVoid; };
  entry->beliefs.erase(std::remove_if(entry->beliefs.begin(), entry->beliefs.end(), is_void),
                       entry->beliefs.end());
  entry->beliefs.push_back(belief);
}

void PrefixIndex::removeBelief(EngineNumber engine, const BlockKey& block) {
  const auto number = numbers_.find(block.low);
  if (number == numbers_.end()) {
    return;
  }
  auto& beliefs = entries_[*number].beliefs;
  const auto known = std::find_if(beliefs.begin(), beliefs.end(),
                                  [engine](const Belief& belief) { return belief.engine == engine; });
  if (known != beliefs.end()) {
    beliefs.erase(known);
  }
}

void PrefixIndex::noteGap(EngineState& engine, uint64_t sequence) {
  ++counters_.gaps;
  ++engine.epoch;
  engine.certain_since = engine.epoch;
  if (sequence - engine.next_sequence > kWideGap) {
    engine.valid_since = engine.epoch;
  } else if (ageOf(engine.epoch, engine.valid_since) > kDoubtfulEpochs) {
    engine.valid_since = static_cast<uint16_t>(engine.epoch - kDoubtfulEpochs);
  }
  engine.gap_begin = engine.gap_begin.value_or(engine.next_sequence);
  engine.gap_end = sequence;
}

// Called when all events up to the gap's end have been applied in order.
void PrefixIndex::fillGap(EngineState& engine) {
  engine.gap_begin.reset();
  const bool settled_is_older =
      ageOf(engine.epoch, engine.settled_since) > ageOf(engine.epoch, engine.valid_since);
  engine.certain_since = settled_is_older ? engine.valid_since : engine.settled_since;
}

// The missing events won't arrive: earlier beliefs stay doubtful.
void PrefixIndex::abandonGap(EngineState& engine) {
  engine.gap_begin.reset();
  engine.settled_since = engine.certain_since;
}

bool PrefixIndex::apply(EngineNumber engine, absl::Span<const CacheEvent> events, absl::Time now) {
  if (events.empty()) {
    return false;
  }
  EngineState& known = state(engine);
  if (known.gap_begin.has_value()) {
    if (events.front().sequence.value() <= *known.gap_begin) {
      known.next_sequence = *known.gap_begin;  // read again: apply all since the gap anew, in order
    } else {
      abandonGap(known);
    }
  }
  bool missing = false;
  for (const CacheEvent& event : events) {
    missing |= applyOne(engine, event, now);
  }
  return missing;
}

bool PrefixIndex::applyOne(EngineNumber engine, const CacheEvent& event, absl::Time now) {
  EngineState& known = state(engine);
  const uint64_t sequence = event.sequence.value();
  if (sequence < known.next_sequence) {
    ++counters_.duplicate_events;
    return false;
  }
  bool missing = false;
  if (sequence > known.next_sequence) {
    if (known.gap_begin == known.next_sequence) {
      abandonGap(known);  // read again, and still missing
    } else {
      noteGap(known, sequence);
      missing = true;
    }
  }
  known.next_sequence = sequence + 1;
  ++counters_.events;
  if (event.kind == CacheEventKind::kStored) {
    addBelief(engine, event.block, now);
  } else {
    removeBelief(engine, event.block);
  }
  if (known.gap_begin.has_value() && !missing && sequence + 1 == known.gap_end) {
    fillGap(known);
  }
  return missing;
}

Sequence PrefixIndex::resumeAfter(EngineNumber engine) const {
  const auto position = static_cast<size_t>(engine);
  if (position >= engines_.size()) {
    return Sequence(0);
  }
  const EngineState& known = engines_[position];
  return Sequence(known.gap_begin.value_or(known.next_sequence) - 1);
}

void PrefixIndex::recordHeld(EngineNumber engine, const PrefixChain& chain, absl::Time now) {
  for (const BlockKey& block : chain.blocks) {
    addBelief(engine, block, now);
  }
}

void PrefixIndex::recordLost(EngineNumber engine, const PrefixChain& chain, size_t first_block) {
  for (size_t block = first_block; block < chain.blocks.size(); ++block) {
    removeBelief(engine, chain.blocks[block]);
  }
}

// `known_blocks`: length of the run that a holder must have so far to be extended; 0 at the first known
// block.
void PrefixIndex::mergeBeliefs(const Entry& entry, uint32_t known_blocks, uint32_t depth,
                               PrefixView& result) const {
  for (const Belief& belief : entry.beliefs) {
    const Confidence confidence_now = confidence(belief);
    if (confidence_now == Confidence::kVoid) {
      continue;
    }
    if (known_blocks == 0) {
      result.holders.push_back({belief.engine, 0, 0});
    }
    const auto holder = std::find_if(result.holders.begin(), result.holders.end(),
                                     [&](const auto& known) { return known.engine == belief.engine; });
    if (holder == result.holders.end() || holder->possible_blocks != known_blocks) {
      continue;
    }
    if (confidence_now == Confidence::kCertain && holder->certain_blocks == known_blocks) {
      holder->certain_blocks = depth + 1;
    }
    holder->possible_blocks = depth + 1;
  }
}

PrefixView PrefixIndex::emptyView(const PrefixChain& chain, uint32_t now_tick) const {
  PrefixView result;
  result.requests.reserve(chain.blocks.size());
  result.all_requests = countAt(all_requests_, now_tick);
  return result;
}

// Adds the block at `depth` to the result; `entry` is null if the block is unknown. Returns the length of the
// known run.
uint32_t PrefixIndex::addBlock(const Entry* entry, uint32_t depth, uint32_t known_blocks, uint32_t now_tick,
                               PrefixView& result) const {
  if (entry == nullptr) {
    result.requests.push_back(kNoRequest);
    return known_blocks;
  }
  result.requests.push_back(countAt(entry->requests, now_tick));
  mergeBeliefs(*entry, known_blocks, depth, result);
  return depth + 1;
}

PrefixView PrefixIndex::view(const PrefixChain& chain, absl::Time now) const {
  const uint32_t now_tick = tick(now);
  PrefixView result = emptyView(chain, now_tick);
  uint32_t known_blocks = 0;
  for (uint32_t depth = 0; depth < chain.blocks.size(); ++depth) {
    const BlockKey& block = chain.blocks[depth];
    if (isSampled(block)) {
      known_blocks = addBlock(find(block), depth, known_blocks, now_tick, result);
    } else {
      result.requests.push_back(result.requests.empty() ? kNoRequest : result.requests.back());
    }
  }
  std::sort(result.holders.begin(), result.holders.end(), byEngine);
  return result;
}

PrefixView PrefixIndex::observe(const PrefixChain& chain, absl::Time now) {
  const uint32_t now_tick = tick(now);
  PrefixView result = emptyView(chain, now_tick);
  addOne(all_requests_, now_tick);
  uint32_t known_blocks = 0;
  for (uint32_t depth = 0; depth < chain.blocks.size(); ++depth) {
    const BlockKey& block = chain.blocks[depth];
    if (!isSampled(block)) {
      result.requests.push_back(result.requests.empty() ? kNoRequest : result.requests.back());
      continue;
    }
    known_blocks = addBlock(find(block), depth, known_blocks, now_tick, result);
    if (Entry* entry = findOrInsert(block, kOneRequest, now)) {
      addOne(entry->requests, now_tick);
    }
  }
  std::sort(result.holders.begin(), result.holders.end(), byEngine);
  return result;
}

size_t PrefixIndex::memoryBytes() const {
  size_t bytes = entries_.capacity() * sizeof(Entry) + numbers_.capacity() * (sizeof(uint32_t) + 1) +
                 engines_.capacity() * sizeof(EngineState);
  for (const Entry& entry : entries_) {
    if (entry.beliefs.capacity() > kInlineBeliefs) {
      bytes += entry.beliefs.capacity() * sizeof(Belief);
    }
  }
  return bytes;
}

}  // namespace quincewick::prefix
