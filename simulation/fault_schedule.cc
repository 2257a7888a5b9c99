#include "simulation/fault_schedule.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <yaml-cpp/yaml.h>

#include <array>
#include <utility>

namespace quincewick::simulation {
namespace {

struct KindInfo {
  FaultKind kind;
  std::string_view name;
  absl::Duration default_duration;
  double default_factor;
};

constexpr double kNoFactor = 0;
constexpr double kSlowFactor = 10;
constexpr double kLostShare = 0.5;

constexpr std::array<KindInfo, 13> kKinds = {{
    {FaultKind::kEngineCrash, "engine_crash", absl::Seconds(5), kNoFactor},
    {FaultKind::kNodeCrash, "node_crash", absl::Seconds(5), kNoFactor},
    {FaultKind::kNodeHerd, "node_restart_herd", absl::Seconds(2), kNoFactor},
    {FaultKind::kNodePause, "pause", absl::Seconds(5), kNoFactor},
    {FaultKind::kZoneCut, "zone_cut", absl::Seconds(20), kNoFactor},
    {FaultKind::kRegionCut, "region_cut", absl::Seconds(20), kNoFactor},
    {FaultKind::kStoreOutage, "store_outage", absl::Seconds(20), kNoFactor},
    {FaultKind::kStoreSlow, "store_slow", absl::Seconds(20), kSlowFactor},
    {FaultKind::kStoreLostAnswers, "store_lost_answers", absl::Seconds(20), kLostShare},
    {FaultKind::kCacheEventLoss, "cache_event_loss", absl::Seconds(20), kLostShare},
    {FaultKind::kRacingOperators, "racing_operators", absl::Seconds(0), kNoFactor},
    {FaultKind::kPlannedStop, "planned_stop", absl::Seconds(10), kNoFactor},
    {FaultKind::kRollout, "rollout", absl::Seconds(0), kNoFactor},
}};

std::string place(const YAML::Node& node) {
  return absl::StrCat("line ", node.Mark().line + 1, ", column ", node.Mark().column + 1, ": ");
}

auto invalid(const YAML::Node& node, std::string_view expectation) {
  return fail(ErrorCode::kInvalidArgument, place(node).append(expectation));
}

std::string kindNames() {
  return absl::StrJoin(kKinds, ", ", [](std::string* out, const KindInfo& info) {
    absl::StrAppend(out, std::string(info.name));
  });
}

Result<absl::Duration> parseDuration(const YAML::Node& node) {
  absl::Duration duration;
  if (!node.IsScalar() || !absl::ParseDuration(node.Scalar(), &duration) || duration < absl::ZeroDuration()) {
    return invalid(node, "expected a duration such as 500ms, 10s or 2m");
  }
  return duration;
}

Result<KindInfo> parseKind(const YAML::Node& node) {
  for (const KindInfo& info : kKinds) {
    if (node.IsScalar() && node.Scalar() == info.name) {
      return info;
    }
  }
  return invalid(node, "expected one of " + kindNames());
}

template <class Number>
Result<Number> parseNumber(const YAML::Node& node, Number least, Number most) {
  Number number{};
  if (!node.IsScalar() || !YAML::convert<Number>::decode(node, number) || number < least || number > most) {
    return invalid(node, absl::StrCat("expected a number from ", least, " to ", most));
  }
  return number;
}

// Sets one field of `fault`; `kind` is parsed before.
Result<void> parseField(const std::string& key, const YAML::Node& key_node, const YAML::Node& value,
                        Fault& fault) {
  constexpr uint32_t kMostMachines = 100'000;
  constexpr double kGreatestFactor = 1000;
  if (key == "kind") {
    return outcome::success();
  }
  if (key == "at") {
    BOOST_OUTCOME_TRY(parsed, parseDuration(value));
    fault.at = parsed;
    return outcome::success();
  }
  if (key == "for") {
    BOOST_OUTCOME_TRY(parsed, parseDuration(value));
    fault.duration = parsed;
    return outcome::success();
  }
  if (key == "count") {
    BOOST_OUTCOME_TRY(parsed, parseNumber<uint32_t>(value, 1, kMostMachines));
    fault.count = parsed;
    return outcome::success();
  }
  if (key == "zone" && value.IsScalar()) {
    fault.zone = ZoneName(value.Scalar());
    return outcome::success();
  }
  if (key == "factor") {
    const bool is_share = fault.kind != FaultKind::kStoreSlow;
    BOOST_OUTCOME_TRY(parsed, parseNumber<double>(value, 0.0, is_share ? 1.0 : kGreatestFactor));
    fault.factor = parsed;
    return outcome::success();
  }
  return invalid(key_node, "expected one of kind, at, for, count, zone, factor");
}

Result<Fault> parseFault(const YAML::Node& node) {
  if (!node.IsMap() || !node["kind"]) {
    return invalid(node, "expected a fault: a map with a kind");
  }
  BOOST_OUTCOME_TRY(info, parseKind(node["kind"]));
  Fault fault;
  fault.kind = info.kind;
  fault.duration = info.default_duration;
  fault.factor = info.default_factor;
  for (const auto& entry : node) {
    BOOST_OUTCOME_TRY(parseField(entry.first.as<std::string>(""), entry.first, entry.second, fault));
  }
  if (!node["at"]) {
    return invalid(node, "expected the key at");
  }
  return fault;
}

Result<std::vector<Fault>> parseDocument(const YAML::Node& document) {
  if (!document.IsMap() || document.size() != 1 || !document["faults"] || !document["faults"].IsSequence()) {
    return invalid(document, "expected one key, faults, with a list");
  }
  std::vector<Fault> faults;
  for (const YAML::Node& node : document["faults"]) {
    BOOST_OUTCOME_TRY(fault, parseFault(node));
    faults.push_back(fault);
  }
  return faults;
}

}  // namespace

std::string_view faultKindName(FaultKind kind) {
  for (const KindInfo& info : kKinds) {
    if (info.kind == kind) {
      return info.name;
    }
  }
  return "unknown";
}

Result<std::vector<Fault>> parseFaultSchedule(std::string_view yaml) {
  try {
    return parseDocument(YAML::Load(std::string(yaml)));
  } catch (const YAML::Exception& exception) {
    return fail(ErrorCode::kInvalidArgument, exception.what());
  }
}

}  // namespace quincewick::simulation
