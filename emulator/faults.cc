#include "emulator/faults.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "emulator/mix.h"

namespace quincewick::emulator {
namespace {

constexpr uint64_t kUnbounded = UINT64_MAX;

constexpr std::array<std::pair<FaultKind, std::string_view>, 14> kNames = {{
    {FaultKind::kCrash, "crash"},
    {FaultKind::kPause, "pause"},
    {FaultKind::kSlow, "slow"},
    {FaultKind::kDropEvents, "drop_events"},
    {FaultKind::kDuplicateEvents, "duplicate_events"},
    {FaultKind::kLateEvents, "late_events"},
    {FaultKind::kCutStreams, "cut_streams"},
    {FaultKind::kCrossedAnswers, "crossed_answers"},
    {FaultKind::kGarbledAnswers, "garbled_answers"},
    {FaultKind::kLateAnswers, "late_answers"},
    {FaultKind::kLoseAnswers, "lose_answers"},
    {FaultKind::kOutage, "outage"},
    {FaultKind::kCut, "cut"},
    {FaultKind::kUncheckedImport, "unchecked_import"},
}};

bool contains(const std::vector<std::string>& list, std::string_view wanted) {
  return !wanted.empty() && std::find(list.begin(), list.end(), wanted) != list.end();
}

// Sets the field; false if the name is unknown.
bool readField(const std::string& name, const nlohmann::json& value, Fault& fault) {
  if (name == "for_seconds") {
    fault.duration = absl::Seconds(value.get<double>());
  } else if (name == "factor") {
    fault.factor = value.get<double>();
  } else if (name == "share") {
    fault.share = value.get<double>();
  } else if (name == "count") {
    fault.count = value.get<uint64_t>();
  } else if (name == "delay_seconds") {
    fault.delay = absl::Seconds(value.get<double>());
  } else if (name == "keep_cache") {
    fault.keep_cache = value.get<bool>();
  } else if (name == "zones") {
    fault.zones = value.get<std::vector<std::string>>();
  } else if (name == "nodes") {
    fault.nodes = value.get<std::vector<std::string>>();
  } else {
    return name == "kind";
  }
  return true;
}

bool inRange(const Fault& fault) {
  return fault.duration >= absl::ZeroDuration() && fault.delay >= absl::ZeroDuration() && fault.factor > 0 &&
         fault.share >= 0 && fault.share <= 1;
}

}  // namespace

std::string_view faultKindName(FaultKind kind) {
  for (const auto& [known, name] : kNames) {
    if (known == kind) {
      return name;
    }
  }
  return "unknown";
}

std::optional<FaultKind> faultKindFromName(std::string_view name) {
  for (const auto& [kind, known] : kNames) {
    if (known == name) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string faultKindNames() {
  std::string names;
  for (const auto& [kind, name] : kNames) {
    names += names.empty() ? "" : ", ";
    names += name;
  }
  return names;
}

Result<Fault> faultFromJson(const nlohmann::json& json) {
  if (!json.is_object() || !json.contains("kind") || !json["kind"].is_string()) {
    return fail(ErrorCode::kInvalidArgument, "a fault is an object with a kind");
  }
  const std::optional<FaultKind> kind = faultKindFromName(json["kind"].get<std::string>());
  if (!kind) {
    return fail(ErrorCode::kInvalidArgument, "unknown kind of fault");
  }
  Fault fault;
  fault.kind = *kind;
  try {
    for (const auto& [name, value] : json.items()) {
      if (!readField(name, value, fault)) {
        return fail(ErrorCode::kInvalidArgument, "unknown field of a fault: " + name);
      }
    }
  } catch (const nlohmann::json::exception&) {
    return fail(ErrorCode::kInvalidArgument, "a field of the fault has the wrong type");
  }
  if (!inRange(fault)) {
    return fail(ErrorCode::kInvalidArgument, "a field of the fault is out of range");
  }
  return fault;
}

nlohmann::json faultToJson(const Fault& fault) {
  nlohmann::json json = {{"kind", faultKindName(fault.kind)},
                         {"factor", fault.factor},
                         {"share", fault.share},
                         {"zones", fault.zones},
                         {"nodes", fault.nodes}};
  if (fault.duration < absl::InfiniteDuration()) {
    json["for_seconds"] = absl::ToDoubleSeconds(fault.duration);
  }
  return json;
}

void FaultBoard::add(Fault fault, absl::Time now) {
  const absl::MutexLock lock(&mutex_);
  const absl::Time ends_at = now + fault.duration;
  const uint64_t strikes = fault.count == 0 ? kUnbounded : fault.count;
  entries_.push_back(Entry{std::move(fault), ends_at, strikes});
}

void FaultBoard::clear() {
  const absl::MutexLock lock(&mutex_);
  entries_.clear();
}

void FaultBoard::dropEnded(absl::Time now) {
  const auto ended = [&](const Entry& entry) { return entry.ends_at <= now || entry.strikes_left == 0; };
  entries_.erase(std::remove_if(entries_.begin(), entries_.end(), ended), entries_.end());
}

std::vector<Fault> FaultBoard::active(absl::Time now) {
  const absl::MutexLock lock(&mutex_);
  dropEnded(now);
  std::vector<Fault> faults;
  for (const Entry& entry : entries_) {
    faults.push_back(entry.fault);
  }
  return faults;
}

bool FaultBoard::isActive(FaultKind kind, absl::Time now) {
  const absl::MutexLock lock(&mutex_);
  dropEnded(now);
  return std::any_of(entries_.begin(), entries_.end(),
                     [&](const Entry& entry) { return entry.fault.kind == kind; });
}

bool FaultBoard::strikes(FaultKind kind, absl::Time now) {
  Fault ignored;
  return strikes(kind, now, ignored);
}

bool FaultBoard::strikes(FaultKind kind, absl::Time now, Fault& hit) {
  const absl::MutexLock lock(&mutex_);
  dropEnded(now);
  for (Entry& entry : entries_) {
    if (entry.fault.kind != kind || mixToUnit(seed_, ++choices_) >= entry.fault.share) {
      continue;
    }
    if (entry.strikes_left != kUnbounded) {
      --entry.strikes_left;
    }
    hit = entry.fault;
    return true;
  }
  return false;
}

double FaultBoard::slowdown(absl::Time now) {
  const absl::MutexLock lock(&mutex_);
  dropEnded(now);
  double product = 1;
  for (const Entry& entry : entries_) {
    product *= entry.fault.kind == FaultKind::kSlow ? entry.fault.factor : 1;
  }
  return product;
}

bool FaultBoard::isCutOff(std::string_view zone, std::string_view node, absl::Time now) {
  const absl::MutexLock lock(&mutex_);
  dropEnded(now);
  return std::any_of(entries_.begin(), entries_.end(), [&](const Entry& entry) {
    return entry.fault.kind == FaultKind::kCut &&
           (contains(entry.fault.zones, zone) || contains(entry.fault.nodes, node));
  });
}

absl::Time FaultBoard::nextEnd() {
  const absl::MutexLock lock(&mutex_);
  absl::Time next = absl::InfiniteFuture();
  for (const Entry& entry : entries_) {
    next = std::min(next, entry.ends_at);
  }
  return next;
}

}  // namespace quincewick::emulator
