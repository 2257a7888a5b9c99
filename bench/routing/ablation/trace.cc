#include "ablation/trace.h"

#include <absl/random/distributions.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>

namespace quincewick::ablation {
namespace {

constexpr uint32_t kBlockSize = 4096;
const std::vector<double> kEightTenants = {0.30, 0.22, 0.16, 0.10, 0.08, 0.06, 0.05, 0.03};

using Generator = std::mt19937_64;

// One tenant's tree: a root, sections below it and chapters below these, each with its run of blocks.
struct TenantTree {
  std::vector<BlockKey> root;
  std::vector<std::vector<BlockKey>> sections;
  std::vector<std::vector<std::vector<BlockKey>>> chapters;  // by section
};

BlockKey freshKey(Generator& random) {
  return BlockKey{random(), random()};
}

std::vector<BlockKey> freshBlocks(const BlockRange& range, Generator& random) {
  const auto count = absl::Uniform<uint32_t>(absl::IntervalClosed, random, range.minimum, range.maximum);
  std::vector<BlockKey> blocks(count);
  std::generate(blocks.begin(), blocks.end(), [&] { return freshKey(random); });
  return blocks;
}

TenantTree makeTree(const Mix& mix, Generator& random) {
  TenantTree tree;
  tree.root = freshBlocks(mix.root_blocks, random);
  for (uint32_t section = 0; section < mix.sections; ++section) {
    tree.sections.push_back(freshBlocks(mix.section_blocks, random));
    auto& chapters = tree.chapters.emplace_back();
    for (uint32_t chapter = 0; chapter < mix.chapters; ++chapter) {
      chapters.push_back(freshBlocks(mix.chapter_blocks, random));
    }
  }
  return tree;
}

size_t draw(const std::vector<double>& weights, Generator& random) {
  const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
  double left = absl::Uniform<double>(random, 0, total);
  for (size_t choice = 0; choice + 1 < weights.size(); ++choice) {
    left -= weights[choice];
    if (left < 0) {
      return choice;
    }
  }
  return weights.size() - 1;
}

// Zipf weights in a random order: which one is hot changes with each deal.
std::vector<double> dealPopularity(uint32_t count, double exponent, Generator& random) {
  std::vector<double> weights(count);
  for (uint32_t rank = 0; rank < count; ++rank) {
    weights[rank] = 1.0 / std::pow(rank + 1.0, exponent);
  }
  std::shuffle(weights.begin(), weights.end(), random);
  return weights;
}

struct Popularity {
  std::vector<double> sections;
  std::vector<std::vector<double>> chapters;
};

Popularity dealAll(const Mix& mix, Generator& random) {
  Popularity popularity;
  popularity.sections = dealPopularity(mix.sections, mix.popularity_exponent, random);
  for (uint32_t section = 0; section < mix.sections; ++section) {
    popularity.chapters.push_back(dealPopularity(mix.chapters, mix.popularity_exponent, random));
  }
  return popularity;
}

void append(std::vector<BlockKey>& blocks, const std::vector<BlockKey>& more) {
  blocks.insert(blocks.end(), more.begin(), more.end());
}

PrefixChain makePrompt(const KindProfile& kind, const TenantTree& tree, const Popularity& popularity,
                       Generator& random) {
  PrefixChain prompt;
  prompt.block_size = kBlockSize;
  append(prompt.blocks, tree.root);
  const size_t section = draw(popularity.sections, random);
  if (kind.levels >= 2) {
    append(prompt.blocks, tree.sections[section]);
  }
  if (kind.levels >= 3) {
    append(prompt.blocks, tree.chapters[section][draw(popularity.chapters[section], random)]);
  }
  const auto tail =
      absl::Uniform<uint32_t>(absl::IntervalClosed, random, kind.minimum_tail, kind.maximum_tail);
  for (uint32_t block = 0; block < tail / kBlockSize; ++block) {
    prompt.blocks.push_back(freshKey(random));
  }
  prompt.tail_size = tail % kBlockSize;
  return prompt;
}

}  // namespace

Mix budapestMix() {
  Mix mix;
  mix.name = "budapest";
  mix.engines = 12;
  mix.nodes = 3;
  mix.tenant_weights = kEightTenants;
  mix.root_blocks = {4, 4};
  mix.sections = 6;
  mix.section_blocks = {4, 12};
  mix.chapters = 4;
  mix.chapter_blocks = {4, 24};
  mix.shift_period = absl::Seconds(60);
  mix.kinds = {{"quote", Urgency::kUrgent, 0.40, 3, 300, 3000, 80, 160},
               {"barrier", Urgency::kUrgent, 0.45, 2, 50, 400, 15, 40},
               {"statement", Urgency::kDeferrable, 0.15, 3, 1000, 12000, 100, 300}};
  return mix;
}

Mix dakarMix() {
  Mix mix;
  mix.name = "dakar";
  mix.engines = 18;
  mix.nodes = 4;
  mix.tenant_weights = kEightTenants;
  mix.root_blocks = {6, 6};
  mix.sections = 8;
  mix.section_blocks = {6, 14};
  mix.chapters = 6;
  mix.chapter_blocks = {8, 20};
  mix.shift_period = absl::Seconds(60);
  mix.kinds = {{"hint", Urgency::kUrgent, 0.65, 2, 100, 1500, 30, 80},
               {"story_check", Urgency::kDeferrable, 0.35, 3, 2000, 16000, 5, 20}};
  return mix;
}

std::vector<Arrival> makeTrace(const Mix& mix, double rate, absl::Duration length, uint64_t seed) {
  Generator random(seed);
  std::vector<TenantTree> trees;
  for (size_t tenant = 0; tenant < mix.tenant_weights.size(); ++tenant) {
    trees.push_back(makeTree(mix, random));
  }
  std::vector<double> kind_shares;
  for (const KindProfile& kind : mix.kinds) {
    kind_shares.push_back(kind.share);
  }
  std::vector<Popularity> popularity(trees.size());
  std::vector<Arrival> trace;
  absl::Time next_shift = absl::UnixEpoch();
  absl::Time now = absl::UnixEpoch();
  while (now < absl::UnixEpoch() + length) {
    if (now >= next_shift) {
      std::generate(popularity.begin(), popularity.end(), [&] { return dealAll(mix, random); });
      next_shift += mix.shift_period;
    }
    Arrival arrival;
    const size_t tenant = draw(mix.tenant_weights, random);
    arrival.kind = static_cast<uint32_t>(draw(kind_shares, random));
    arrival.node = absl::Uniform<uint32_t>(random, 0, mix.nodes);
    const KindProfile& kind = mix.kinds[arrival.kind];
    arrival.output_tokens =
        absl::Uniform<uint32_t>(absl::IntervalClosed, random, kind.minimum_output, kind.maximum_output);
    InferenceRequest& request = arrival.request;
    request.id = RequestId(absl::StrCat("r", trace.size()));
    request.tenant = TenantId(absl::StrCat("tenant-", tenant));
    request.kind = RequestKind(kind.name);
    request.model = ModelName("base");
    request.urgency = kind.urgency;
    request.arrival = now;
    request.root = {request.tenant, request.model, AdapterName(), WeightsVersion(1)};
    request.prompt = makePrompt(kind, trees[tenant], popularity[tenant], random);
    request.maximum_output_tokens = arrival.output_tokens;
    trace.push_back(std::move(arrival));
    now += absl::Seconds(absl::Exponential<double>(random, rate));
  }
  return trace;
}

}  // namespace quincewick::ablation
