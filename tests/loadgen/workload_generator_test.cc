#include "loadgen/workload_generator.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "prefix/block_chain.h"

namespace quincewick::loadgen {
namespace {

constexpr std::string_view kText = R"(
name: small
block_size: 64
hot_shift_seconds: 50
tenants:
  - { id: large, weight: 9, key: a }
  - { id: little, weight: 1, key: b }
trees:
  - name: book
    levels:
      - { branching: 1, blocks: 2 }
      - { branching: 20, blocks: 3, zipf: 1.2 }
kinds:
  - { name: read, type: inference, weight: 3, model: m, tree: book, unique_characters: [10, 200],
      output_tokens: [4, 9] }
  - { name: pay, type: action, weight: 1, repeat_share: 0.25 }
)";

Workload smallWorkload() {
  return parseWorkload(kText, "small.yaml").value();
}

std::vector<Arrival> arrivals(double rate, uint64_t seed, size_t count) {
  WorkloadGenerator generator(smallWorkload(), rate, seed);
  std::vector<Arrival> list;
  for (size_t index = 0; index < count; ++index) {
    list.push_back(generator.next());
  }
  return list;
}

std::string fingerprint(const Arrival& arrival) {
  return absl::FormatDuration(arrival.time) + " " + std::to_string(arrival.tenant) + " " +
         std::to_string(arrival.kind) + " " + arrival.idempotency_key + " " +
         (arrival.prompt.segments.empty() ? "" : renderPrompt(arrival.prompt));
}

TEST_CASE("a seed fixes the trace and another seed changes it") {
  const std::vector<Arrival> first = arrivals(10, 7, 200);
  const std::vector<Arrival> again = arrivals(10, 7, 200);
  const std::vector<Arrival> other = arrivals(10, 8, 200);
  for (size_t index = 0; index < first.size(); ++index) {
    REQUIRE(fingerprint(first[index]) == fingerprint(again[index]));
    REQUIRE(fingerprint(first[index]) != fingerprint(other[index]));
  }
}

TEST_CASE("rate, tenants, kinds and repeats have the shares the file asks for") {
  const std::vector<Arrival> list = arrivals(20, 1, 20000);
  CHECK(absl::ToDoubleSeconds(list.back().time) == Approx(1000.0).epsilon(0.03));
  size_t large = 0;
  size_t actions = 0;
  std::set<std::string> keys;
  for (const Arrival& arrival : list) {
    large += arrival.tenant == 0 ? 1 : 0;
    if (arrival.kind == 1) {
      ++actions;
      keys.insert(std::to_string(arrival.tenant) + arrival.idempotency_key);
    }
  }
  CHECK(static_cast<double>(large) == Approx(18000.0).epsilon(0.02));
  CHECK(static_cast<double>(actions) == Approx(5000.0).epsilon(0.05));
  CHECK(static_cast<double>(keys.size()) == Approx(0.75 * static_cast<double>(actions)).epsilon(0.05));
}

TEST_CASE("the hottest beginning takes its share and changes with the shift") {
  std::map<int64_t, std::map<uint64_t, int>> counts;  // by shift, then by segment
  for (const Arrival& arrival : arrivals(40, 3, 8000)) {
    if (arrival.kind == 0 && arrival.tenant == 0) {
      ++counts[absl::ToInt64Seconds(arrival.time) / 50][arrival.prompt.segments[1].id];
    }
  }
  std::set<uint64_t> hottest;
  for (const auto& [shift, by_segment] : counts) {
    int total = 0;
    std::pair<int, uint64_t> best;
    for (const auto& [segment, count] : by_segment) {
      total += count;
      best = std::max(best, {count, segment});
    }
    CHECK(static_cast<double>(best.first) > 0.25 * total);  // Zipf 1.2 over 20: the first takes 0.37
    hottest.insert(best.second);
  }
  REQUIRE(counts.size() >= 4);
  CHECK(hottest.size() >= 3);
}

TEST_CASE("block keys without text agree with those of the rendered text on what is shared") {
  const Workload workload = smallWorkload();
  std::map<BlockKey, BlockKey> text_of_key;
  std::map<BlockKey, BlockKey> key_of_text;
  for (const Arrival& arrival : arrivals(10, 5, 300)) {
    if (arrival.kind != 0) {
      continue;
    }
    const InferenceRequest request =
        makeInferenceRequest(workload, arrival, WeightsVersion(1), absl::UnixEpoch());
    const std::string text = renderPrompt(arrival.prompt);
    const PrefixChain rendered = prefix::chainPrompt(request.tenant.value(), text, workload.block_size);
    REQUIRE(text.size() == arrival.prompt.characters());
    REQUIRE(rendered.size() == request.prompt.size());
    REQUIRE(rendered.blocks.size() == request.prompt.blocks.size());
    for (size_t index = 0; index < rendered.blocks.size(); ++index) {
      const BlockKey key = request.prompt.blocks[index];
      const BlockKey text_key = rendered.blocks[index];
      REQUIRE(text_of_key.emplace(key, text_key).first->second == text_key);
      REQUIRE(key_of_text.emplace(text_key, key).first->second == key);
    }
  }
  CHECK(text_of_key.size() > 100);
}

TEST_CASE("the deployments' workload files are valid") {
  for (const char* name : {"budapest.yaml", "dakar.yaml"}) {
    const Result<Workload> workload = readWorkloadFile(std::string(QUINCEWICK_WORKLOADS "/") + name);
    REQUIRE(workload.has_value());
    CHECK(workload.value().tenants.size() == 8);
    CHECK(workload.value().kinds.size() == 4);
  }
}

TEST_CASE("wrong files are refused at the right place") {
  const auto refusal = [](std::string_view from, std::string_view to) {
    std::string text(kText);
    text.replace(text.find(from), from.size(), to);
    const Result<Workload> result = parseWorkload(text, "w.yaml");
    REQUIRE(result.has_error());
    CHECK(result.error().code == ErrorCode::kInvalidArgument);
    return result.error().message;
  };
  CHECK_THAT(refusal("block_size: 64", "block_size: -1"), Catch::StartsWith("w.yaml:3:13: expected"));
  CHECK_THAT(refusal("hot_shift_seconds", "hot_shfit_seconds"), Catch::StartsWith("w.yaml:4:1: expected"));
  CHECK_THAT(refusal("tree: book", "tree: brook"), Catch::Contains("'tree' to name one of the trees"));
  CHECK_THAT(refusal("repeat_share: 0.25", "repeat_share: no"), Catch::Contains("w.yaml:16:"));
  CHECK_THAT(refusal("[10, 200]", "[200, 10]"), Catch::Contains("least value"));
  CHECK_THAT(refusal("type: action", "type: deed"), Catch::Contains("inference, action or lookup"));
  CHECK_THAT(refusal("name: small", "name: [small"), Catch::StartsWith("w.yaml:"));
}

}  // namespace
}  // namespace quincewick::loadgen
