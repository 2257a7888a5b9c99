#include "loadgen/workload.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <sstream>
#include <utility>

namespace quincewick::loadgen {
namespace {

constexpr uint32_t kMaximumDepth = 16;
constexpr uint32_t kMaximumBranching = 1'000'000;
constexpr uint32_t kMaximumBlocks = 1024;
constexpr uint32_t kMaximumBlockSize = 1U << 20U;
constexpr uint32_t kMaximumCharacters = 1U << 24U;
constexpr uint32_t kMaximumOutputTokens = 1U << 20U;
constexpr double kMaximumWeight = 1e9;
constexpr double kMaximumSeconds = 1e7;

// Collects the first error of a file; later reads after it return defaults.
class Checker {
 public:
  explicit Checker(std::string_view file_name) : file_name_(file_name) {}

  void reject(const YAML::Node& node, const std::string& expected) {
    if (error_) {
      return;
    }
    const YAML::Mark mark = node.Mark();
    error_ = absl::StrCat(std::string(file_name_), ":", mark.line + 1, ":", mark.column + 1, ": expected ",
                          expected);
  }

  // Checks that `node` is a map with no other keys than the given ones.
  bool map(const YAML::Node& node, const std::string& what, const std::vector<std::string>& known) {
    if (!node.IsMap()) {
      reject(node, absl::StrCat(what, " to be a map"));
      return false;
    }
    for (const auto& entry : node) {
      if (std::find(known.begin(), known.end(), entry.first.Scalar()) == known.end()) {
        reject(entry.first, absl::StrCat("one of ", absl::StrJoin(known, ", "), " in ", what, ", found '",
                                         entry.first.Scalar(), "'"));
        return false;
      }
    }
    return true;
  }

  std::string text(const YAML::Node& parent, const std::string& key) {
    const YAML::Node node = parent[key];
    if (!node) {
      reject(parent, absl::StrCat("key '", key, "'"));
      return "";
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
      reject(node, absl::StrCat("'", key, "' to be text"));
      return "";
    }
    return node.Scalar();
  }

  std::string textOr(const YAML::Node& parent, const std::string& key, const std::string& fallback) {
    return parent[key] ? text(parent, key) : fallback;
  }

  template <class Number>
  Number number(const YAML::Node& node, const std::string& name, Number minimum, Number maximum) {
    Number value{};
    if (!node.IsScalar() || !YAML::convert<Number>::decode(node, value) || !(value >= minimum) ||
        !(value <= maximum)) {
      reject(node, absl::StrCat("'", name, "' to be a number from ", minimum, " to ", maximum));
      return minimum;
    }
    return value;
  }

  template <class Number>
  Number numberOr(const YAML::Node& parent, const std::string& key, Number fallback, Number minimum,
                  Number maximum) {
    return parent[key] ? number<Number>(parent[key], key, minimum, maximum) : fallback;
  }

  absl::Duration secondsOr(const YAML::Node& parent, const std::string& key, absl::Duration fallback) {
    constexpr double shortest = 1e-3;
    return parent[key] ? absl::Seconds(number<double>(parent[key], key, shortest, kMaximumSeconds))
                       : fallback;
  }

  Range range(const YAML::Node& parent, const std::string& key, uint32_t minimum, uint32_t maximum) {
    const YAML::Node node = parent[key];
    if (!node || !node.IsSequence() || node.size() != 2) {
      reject(node ? node : parent, absl::StrCat("'", key, "' to be a list of its least and greatest value"));
      return {};
    }
    const Range range = {number<uint32_t>(node[0], key, minimum, maximum),
                         number<uint32_t>(node[1], key, minimum, maximum)};
    if (range.minimum > range.maximum) {
      reject(node, absl::StrCat("the least value of '", key, "' first"));
    }
    return range;
  }

  // The list under `key`, which must have an entry.
  std::vector<YAML::Node> list(const YAML::Node& parent, const std::string& key) {
    const YAML::Node node = parent[key];
    if (!node || !node.IsSequence() || node.size() == 0) {
      reject(node ? node : parent, absl::StrCat("'", key, "' to be a list of one entry or more"));
      return {};
    }
    return {node.begin(), node.end()};
  }

  const std::optional<std::string>& error() const { return error_; }

 private:
  std::string_view file_name_;
  std::optional<std::string> error_;
};

TreeLevel readLevel(const YAML::Node& node, Checker& check) {
  constexpr double maximum_exponent = 10.0;
  TreeLevel level;
  if (check.map(node, "a level", {"branching", "blocks", "zipf"})) {
    level.branching = check.numberOr<uint32_t>(node, "branching", 1, 1, kMaximumBranching);
    level.blocks = check.numberOr<uint32_t>(node, "blocks", 1, 1, kMaximumBlocks);
    level.zipf_exponent = check.numberOr<double>(node, "zipf", 0.0, 0.0, maximum_exponent);
  }
  return level;
}

PrefixTree readTree(const YAML::Node& node, Checker& check) {
  PrefixTree tree;
  if (!check.map(node, "a tree", {"name", "levels"})) {
    return tree;
  }
  tree.name = check.text(node, "name");
  for (const YAML::Node& level : check.list(node, "levels")) {
    tree.levels.push_back(readLevel(level, check));
  }
  if (tree.levels.size() > kMaximumDepth) {
    check.reject(node, absl::StrCat("at most ", kMaximumDepth, " levels"));
  }
  return tree;
}

TenantSpecification readTenant(const YAML::Node& node, Checker& check) {
  constexpr double smallest_weight = 1e-9;
  TenantSpecification tenant;
  if (check.map(node, "a tenant", {"id", "weight", "key"})) {
    tenant.id = TenantId(check.text(node, "id"));
    tenant.weight = check.numberOr<double>(node, "weight", 1.0, smallest_weight, kMaximumWeight);
    tenant.key = check.text(node, "key");
  }
  return tenant;
}

void readInference(const YAML::Node& node, const Workload& workload, KindSpecification& kind,
                   Checker& check) {
  kind.model = ModelName(check.text(node, "model"));
  kind.adapter = AdapterName(check.textOr(node, "adapter", ""));
  const std::string endpoint = check.textOr(node, "endpoint", "completions");
  if (endpoint != "completions" && endpoint != "chat") {
    check.reject(node["endpoint"], "'endpoint' to be completions or chat");
  }
  kind.endpoint = endpoint == "chat" ? Endpoint::kChat : Endpoint::kCompletions;
  const std::optional<Urgency> urgency = urgencyFromName(check.textOr(node, "urgency", "standard"));
  if (!urgency) {
    check.reject(node["urgency"], "'urgency' to be urgent, standard or deferrable");
  }
  kind.urgency = urgency.value_or(Urgency::kStandard);
  const std::string tree_name = check.text(node, "tree");
  const auto tree = std::find_if(workload.trees.begin(), workload.trees.end(),
                                 [&](const PrefixTree& candidate) { return candidate.name == tree_name; });
  if (tree == workload.trees.end()) {
    check.reject(node["tree"] ? node["tree"] : node, "'tree' to name one of the trees");
    return;
  }
  kind.tree = static_cast<size_t>(tree - workload.trees.begin());
  const auto levels = static_cast<uint32_t>(tree->levels.size());
  kind.depth = check.numberOr<uint32_t>(node, "depth", levels, 0, levels);
  kind.unique_characters = check.range(node, "unique_characters", 1, kMaximumCharacters);
  kind.output_tokens = check.range(node, "output_tokens", 1, kMaximumOutputTokens);
  kind.deadline = check.secondsOr(node, "deadline_seconds", absl::InfiniteDuration());
  kind.give_up_after = check.secondsOr(node, "give_up_after_seconds", absl::InfiniteDuration());
}

KindSpecification readKind(const YAML::Node& node, const Workload& workload, Checker& check) {
  constexpr double maximum_repeat_share = 0.9;
  constexpr double smallest_weight = 1e-9;
  KindSpecification kind;
  if (!node.IsMap()) {
    check.reject(node, "a kind to be a map");
    return kind;
  }
  const std::string type = check.text(node, "type");
  std::vector<std::string> known = {"name", "type", "weight"};
  if (type == "inference") {
    for (const char* key : {"model", "adapter", "endpoint", "urgency", "tree", "depth", "unique_characters",
                            "output_tokens", "deadline_seconds", "give_up_after_seconds"}) {
      known.emplace_back(key);
    }
  } else if (type == "action") {
    known.emplace_back("repeat_share");
  } else if (type != "lookup") {
    check.reject(node["type"] ? node["type"] : node, "'type' to be inference, action or lookup");
    return kind;
  }
  if (!check.map(node, absl::StrCat("a kind of type ", type), known)) {
    return kind;
  }
  kind.name = RequestKind(check.text(node, "name"));
  kind.weight = check.numberOr<double>(node, "weight", 1.0, smallest_weight, kMaximumWeight);
  if (type == "inference") {
    readInference(node, workload, kind, check);
    return kind;
  }
  kind.type = type == "action" ? KindType::kAction : KindType::kLookup;
  kind.repeat_share = check.numberOr<double>(node, "repeat_share", 0.0, 0.0, maximum_repeat_share);
  return kind;
}

RateWave readWave(const YAML::Node& node, Checker& check) {
  constexpr double maximum_amplitude = 0.99;
  RateWave wave;
  if (node && check.map(node, "the rate wave", {"amplitude", "period_seconds"})) {
    wave.amplitude = check.numberOr<double>(node, "amplitude", 0.0, 0.0, maximum_amplitude);
    wave.period = check.secondsOr(node, "period_seconds", wave.period);
  }
  return wave;
}

Workload readWorkload(const YAML::Node& root, Checker& check) {
  Workload workload;
  if (!check.map(root, "the workload",
                 {"name", "block_size", "hot_shift_seconds", "rate_wave", "tenants", "trees", "kinds"})) {
    return workload;
  }
  workload.name = check.text(root, "name");
  workload.block_size =
      check.numberOr<uint32_t>(root, "block_size", workload.block_size, 1, kMaximumBlockSize);
  workload.hot_shift = check.secondsOr(root, "hot_shift_seconds", workload.hot_shift);
  workload.wave = readWave(root["rate_wave"], check);
  for (const YAML::Node& node : check.list(root, "tenants")) {
    workload.tenants.push_back(readTenant(node, check));
  }
  for (const YAML::Node& node : check.list(root, "trees")) {
    workload.trees.push_back(readTree(node, check));
  }
  for (const YAML::Node& node : check.list(root, "kinds")) {
    workload.kinds.push_back(readKind(node, workload, check));
  }
  return workload;
}

}  // namespace

Result<Workload> parseWorkload(std::string_view text, std::string_view file_name) {
  Checker check(file_name);
  Workload workload;
  try {
    workload = readWorkload(YAML::Load(std::string(text)), check);
  } catch (const YAML::Exception& exception) {
    return fail(ErrorCode::kInvalidArgument,
                absl::StrCat(std::string(file_name), ":", exception.mark.line + 1, ":",
                             exception.mark.column + 1, ": ", exception.msg));
  }
  if (check.error()) {
    return fail(ErrorCode::kInvalidArgument, *check.error());
  }
  return workload;
}

Result<Workload> readWorkloadFile(const std::string& path) {
  const std::ifstream file(path);
  if (!file) {
    return fail(ErrorCode::kNotFound, absl::StrCat("cannot read workload file ", path));
  }
  std::ostringstream text;
  text << file.rdbuf();
  return parseWorkload(text.str(), path);
}

}  // namespace quincewick::loadgen
