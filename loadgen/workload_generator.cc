#include "loadgen/workload_generator.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>

namespace quincewick::loadgen {
namespace {

constexpr size_t kRecentKeys = 16;  // a repeat names one of this many last actions of its tenant and kind
constexpr double kPi = 3.14159265358979323846;

std::vector<double> cumulativeShares(const std::vector<double>& weights) {
  std::vector<double> shares;
  shares.reserve(weights.size());
  double sum = 0.0;
  for (const double weight : weights) {
    sum += weight;
    shares.push_back(sum);
  }
  for (double& share : shares) {
    share /= sum;
  }
  shares.back() = 1.0;
  return shares;
}

std::vector<double> zipfShares(const TreeLevel& level) {
  std::vector<double> weights;
  weights.reserve(level.branching);
  for (uint32_t rank = 1; rank <= level.branching; ++rank) {
    weights.push_back(std::pow(static_cast<double>(rank), -level.zipf_exponent));
  }
  return cumulativeShares(weights);
}

size_t pick(const std::vector<double>& shares, double uniform) {
  const auto found = std::upper_bound(shares.begin(), shares.end(), uniform);
  return found == shares.end() ? shares.size() - 1 : static_cast<size_t>(found - shares.begin());
}

uint64_t mix(uint64_t first, uint64_t second) {
  const std::array<uint64_t, 2> pair = {first, second};
  return XXH3_64bits(pair.data(), sizeof(pair));
}

uint64_t hashText(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

BlockKey chain(const BlockKey& parent, uint64_t segment, uint64_t index) {
  const std::array<uint64_t, 4> linked = {parent.high, parent.low, segment, index};
  const XXH128_hash_t hash = XXH3_128bits(linked.data(), sizeof(linked));
  return BlockKey{hash.high64, hash.low64};
}

// Appends `count` characters of words that depend on `id` only.
void appendWords(uint64_t id, uint64_t count, std::string& text) {
  constexpr std::array<std::string_view, 16> words = {
      "tariff ", "gate ",  "stay ", "hour ",  "zone ", "hall ", "plate ",  "clock ",
      "puzzle ", "river ", "key ",  "tower ", "lamp ", "door ", "bridge ", "stone "};
  constexpr uint64_t words_a_hash = 16;  // 4 bits of the hash choose a word
  const size_t end = text.size() + count;
  for (uint64_t counter = 0; text.size() < end; ++counter) {
    uint64_t bits = mix(id, counter);
    for (uint64_t word = 0; word < words_a_hash; ++word) {
      text.append(words[bits % words.size()]);
      bits /= words.size();
    }
  }
  text.resize(end);
}

}  // namespace

uint64_t PromptStructure::characters() const {
  uint64_t blocks = 0;
  for (const PromptSegment& segment : segments) {
    blocks += segment.blocks;
  }
  return blocks * block_size + unique_characters;
}

WorkloadGenerator::WorkloadGenerator(Workload workload, double rate, uint64_t seed)
    : workload_(std::move(workload)), rate_(rate), seed_(seed), engine_(seed) {
  std::vector<double> weights;
  for (const TenantSpecification& tenant : workload_.tenants) {
    weights.push_back(tenant.weight);
  }
  tenant_shares_ = cumulativeShares(weights);
  weights.clear();
  for (const KindSpecification& kind : workload_.kinds) {
    weights.push_back(kind.weight);
  }
  kind_shares_ = cumulativeShares(weights);
  for (const PrefixTree& tree : workload_.trees) {
    std::vector<std::vector<double>>& levels = popular_.emplace_back();
    for (const TreeLevel& level : tree.levels) {
      levels.push_back(zipfShares(level));
    }
  }
}

Arrival WorkloadGenerator::next() {
  time_ += nextGap();
  Arrival arrival;
  arrival.number = next_number_++;
  arrival.time = time_;
  arrival.tenant = pick(tenant_shares_, uniform());
  arrival.kind = pick(kind_shares_, uniform());
  const KindSpecification& kind = workload_.kinds[arrival.kind];
  switch (kind.type) {
    case KindType::kInference:
      arrival.prompt = choosePrompt(kind, arrival.tenant);
      arrival.output_tokens = uniformIn(kind.output_tokens);
      break;
    case KindType::kAction:
      arrival.idempotency_key = chooseKey(kind, arrival);
      break;
    case KindType::kLookup:
      break;
  }
  return arrival;
}

// 53 random bits in [0, 1): not std::uniform_real_distribution, whose values differ between libraries.
double WorkloadGenerator::uniform() {
  constexpr uint64_t discarded_bits = 11;
  constexpr double scale = 0x1.0p-53;
  return static_cast<double>(engine_() >> discarded_bits) * scale;
}

uint32_t WorkloadGenerator::uniformIn(const Range& range) {
  const double width = static_cast<double>(range.maximum - range.minimum) + 1.0;
  return range.minimum + static_cast<uint32_t>(uniform() * width);
}

absl::Duration WorkloadGenerator::nextGap() {
  const double phase = absl::FDivDuration(time_, workload_.wave.period);
  const double rate = rate_ * (1.0 + workload_.wave.amplitude * std::sin(2.0 * kPi * phase));
  return absl::Seconds(-std::log(1.0 - uniform()) / rate);
}

PromptStructure WorkloadGenerator::choosePrompt(const KindSpecification& kind, size_t tenant) {
  const PrefixTree& tree = workload_.trees[kind.tree];
  const auto shift = static_cast<uint64_t>(absl::FDivDuration(time_, workload_.hot_shift));
  PromptStructure prompt;
  prompt.block_size = workload_.block_size;
  prompt.segments.reserve(kind.depth);
  uint64_t path = mix(hashText(workload_.tenants[tenant].id.value()), hashText(tree.name));
  for (uint32_t depth = 0; depth < kind.depth; ++depth) {
    const TreeLevel& level = tree.levels[depth];
    const uint64_t rank = pick(popular_[kind.tree][depth], uniform());
    // Which child holds which rank of popularity turns with each shift, differently at each node.
    const uint64_t turn = shift == 0 ? 0 : mix(path, shift);
    path = mix(path, (rank + turn) % level.branching);
    prompt.segments.push_back(PromptSegment{path, level.blocks});
  }
  prompt.unique_id = mix(seed_, next_number_);
  prompt.unique_characters = uniformIn(kind.unique_characters);
  return prompt;
}

std::string WorkloadGenerator::chooseKey(const KindSpecification& kind, const Arrival& arrival) {
  std::vector<std::string>& recent = recent_keys_[{arrival.tenant, arrival.kind}];
  if (uniform() < kind.repeat_share && !recent.empty()) {
    return recent[static_cast<size_t>(uniform() * static_cast<double>(recent.size()))];
  }
  std::string key = absl::StrCat(kind.name.value(), "-", seed_, "-", arrival.number);
  if (recent.size() == kRecentKeys) {
    recent.erase(recent.begin());
  }
  recent.push_back(key);
  return key;
}

std::string renderPrompt(const PromptStructure& prompt) {
  std::string text;
  text.reserve(prompt.characters());
  for (const PromptSegment& segment : prompt.segments) {
    appendWords(segment.id, uint64_t{segment.blocks} * prompt.block_size, text);
  }
  appendWords(prompt.unique_id, prompt.unique_characters, text);
  return text;
}

InferenceRequest makeInferenceRequest(const Workload& workload, const Arrival& arrival,
                                      WeightsVersion weights_version, absl::Time start) {
  const KindSpecification& kind = workload.kinds[arrival.kind];
  InferenceRequest request;
  request.id = RequestId(absl::StrCat("r", arrival.number));
  request.tenant = workload.tenants[arrival.tenant].id;
  request.kind = kind.name;
  request.model = kind.model;
  request.adapter = kind.adapter;
  request.urgency = kind.urgency;
  request.arrival = start + arrival.time;
  request.deadline = request.arrival + kind.deadline;
  request.root = PrefixRoot{request.tenant, kind.model, kind.adapter, weights_version};
  request.maximum_output_tokens = arrival.output_tokens;
  const uint32_t block_size = arrival.prompt.block_size;
  request.prompt.block_size = block_size;
  BlockKey key = chain(BlockKey{hashText(request.tenant.value()), hashText(kind.model.value())},
                       hashText(kind.adapter.value()), weights_version.value());
  for (const PromptSegment& segment : arrival.prompt.segments) {
    for (uint32_t index = 0; index < segment.blocks; ++index) {
      key = chain(key, segment.id, index);
      request.prompt.blocks.push_back(key);
    }
  }
  const uint32_t unique_blocks = arrival.prompt.unique_characters / block_size;
  for (uint32_t index = 0; index < unique_blocks; ++index) {
    key = chain(key, arrival.prompt.unique_id, index);
    request.prompt.blocks.push_back(key);
  }
  request.prompt.tail_size = arrival.prompt.unique_characters % block_size;
  return request;
}

}  // namespace quincewick::loadgen
