#include "emulator/emulated_site.h"

#include <absl/strings/str_cat.h>

#include <utility>

#include "emulator/engine_json.h"

namespace quincewick::emulator {
namespace {

constexpr const char* kPlatform = "platform";
constexpr const char* kCacheStore = "cache_store";
constexpr const char* kEngine = "engine";
constexpr const char* kActionServer = "action_server";
constexpr const char* kControl = "control";
const std::string kZonePrefix = "zone/";

// Numbers the stand-ins of a kind by zone.
class Numbering {
 public:
  explicit Numbering(std::string kind) : kind_(std::move(kind)) {}

  std::string nextId(const ZoneName& zone) {
    return absl::StrCat(kind_, "-", zone.value(), "-", ++last_[zone]);
  }

 private:
  std::string kind_;
  absl::btree_map<ZoneName, uint32_t> last_;
};

uint16_t portOf(const StandInGroup& group, uint32_t index) {
  return static_cast<uint16_t>(group.first_port == 0 ? 0 : group.first_port + index);
}

}  // namespace

EmulatedSite::EmulatedSite(SiteSettings settings)
    : settings_(std::move(settings)), weights_(std::make_shared<WeightStore>(settings_.weights)) {}

EmulatedSite::~EmulatedSite() {
  stop();
}

Result<void> EmulatedSite::start() {
  Result<void> started = startAll();
  if (!started) {
    stop();
  }
  return started;
}

Result<void> EmulatedSite::startAll() {
  BOOST_OUTCOME_TRYV(startPlatform());
  BOOST_OUTCOME_TRYV(startCacheStore());
  BOOST_OUTCOME_TRYV(startEngines());
  BOOST_OUTCOME_TRYV(startActionServers());
  for (const ListedNode& node : settings_.nodes) {
    list(MachineKind::kNode, Listening{"node", node.id, node.zone, node.address}, node.labels);
  }
  publishMachines();
  control_ = std::make_unique<ControlServer>(*this);
  BOOST_OUTCOME_TRY(port, control_->start(Address{settings_.host, settings_.control_port}));
  listening_.push_back(Listening{kControl, kControl, ZoneName(), Address{settings_.host, port}});
  return outcome::success();
}

void EmulatedSite::stop() {
  control_.reset();
  for (const Placed& placed : placed_) {
    placed.stand_in->stop();
  }
}

Result<Address> EmulatedSite::place(const std::string& kind, const std::string& id, const ZoneName& zone,
                                    uint16_t port, StandIn& stand_in) {
  BOOST_OUTCOME_TRY(bound, stand_in.start(Address{settings_.host, port}));
  const Address address{settings_.host, bound};
  placed_.push_back(Placed{Listening{kind, id, zone, address}, &stand_in});
  listening_.push_back(placed_.back().listening);
  return address;
}

Result<void> EmulatedSite::startPlatform() {
  platform_ = std::make_unique<PlatformServer>(settings_.platform.service);
  BOOST_OUTCOME_TRYV(place(kPlatform, kPlatform, ZoneName(), settings_.platform.port, *platform_));
  return outcome::success();
}

Result<void> EmulatedSite::startCacheStore() {
  if (!settings_.cache_store) {
    return outcome::success();
  }
  const CacheStoreSection& section = *settings_.cache_store;
  cache_store_ = std::make_unique<CacheStoreServer>(section.service);
  BOOST_OUTCOME_TRY(address, place(kCacheStore, "cache-store", section.zone, section.port, *cache_store_));
  cache_store_address_ = address;
  list(MachineKind::kCacheStore, listening_.back(), Labels());
  return outcome::success();
}

EngineServerSettings EmulatedSite::engineSettings(uint64_t number) {
  EngineServerSettings settings;
  settings.host.engine = std::make_shared<EngineSettings>(settings_.engine);
  for (const ModelSettings& model : settings_.models) {
    settings.host.models.push_back(LoadedModel{model.model, model.weights_version, model.adapters});
  }
  settings.host.seed = settings_.seed + number;
  settings.host.weights = weights_;
  settings.cache_store = cache_store_address_;
  return settings;
}

Result<void> EmulatedSite::startEngines() {
  Numbering numbering(kEngine);
  for (const StandInGroup& group : settings_.engines) {
    for (uint32_t index = 0; index < group.count; ++index) {
      engines_.push_back(std::make_unique<EngineServer>(engineSettings(engines_.size())));
      BOOST_OUTCOME_TRYV(
          place(kEngine, numbering.nextId(group.zone), group.zone, portOf(group, index), *engines_.back()));
      list(MachineKind::kEngine, listening_.back(), group.labels);
    }
  }
  return outcome::success();
}

Result<void> EmulatedSite::startActionServers() {
  Numbering numbering("action-server");
  for (const StandInGroup& group : settings_.action_servers) {
    for (uint32_t index = 0; index < group.count; ++index) {
      ActionServerSettings settings;
      settings.action_time = settings_.actions.action_time;
      settings.lookup_time = settings_.actions.lookup_time;
      settings.runs = runs_;
      settings.seed = settings_.seed + action_servers_.size();
      action_servers_.push_back(std::make_unique<ActionServer>(settings));
      BOOST_OUTCOME_TRYV(place(kActionServer, numbering.nextId(group.zone), group.zone, portOf(group, index),
                               *action_servers_.back()));
      list(MachineKind::kActionServer, listening_.back(), group.labels);
    }
  }
  return outcome::success();
}

void EmulatedSite::list(MachineKind kind, const Listening& listening, const Labels& labels) {
  Machine machine;
  machine.id = listening.id;
  machine.kind = kind;
  machine.zone = listening.zone;
  machine.region = settings_.region;
  machine.address = listening.address;
  machine.labels = labels;
  const absl::MutexLock lock(&machines_mutex_);
  machines_[machine.id] = machine;
}

void EmulatedSite::publishMachines() {
  std::vector<Machine> machines;
  const absl::MutexLock lock(&machines_mutex_);
  for (const auto& [id, machine] : machines_) {
    machines.push_back(machine);
  }
  platform_->setMachines(std::move(machines));
}

void EmulatedSite::setMachine(const Machine& machine) {
  {
    const absl::MutexLock lock(&machines_mutex_);
    machines_[machine.id] = machine;
  }
  publishMachines();
}

void EmulatedSite::removeMachine(const std::string& id) {
  {
    const absl::MutexLock lock(&machines_mutex_);
    machines_.erase(id);
  }
  publishMachines();
}

std::optional<Machine> EmulatedSite::machine(const std::string& id) {
  const absl::MutexLock lock(&machines_mutex_);
  const auto found = machines_.find(id);
  return found == machines_.end() ? std::nullopt : std::optional<Machine>(found->second);
}

bool EmulatedSite::isMeant(const std::string& target, const Listening& listening) const {
  return target == "all" || target == listening.id || target == listening.kind ||
         target == listening.kind + "s" ||
         (!listening.zone.empty() && target == kZonePrefix + listening.zone.value());
}

Result<void> EmulatedSite::inject(const std::string& target, const Fault& fault) {
  const bool bare_cut = fault.kind == FaultKind::kCut && fault.zones.empty() && fault.nodes.empty();
  bool found = false;
  for (const Placed& placed : placed_) {
    found = found || isMeant(target, placed.listening);
  }
  if (!found) {
    return fail(ErrorCode::kNotFound, "no stand-in is named " + target);
  }
  if (bare_cut && target.compare(0, kZonePrefix.size(), kZonePrefix) == 0) {
    cutZone(target.substr(kZonePrefix.size()), fault);
    return outcome::success();
  }
  for (const Placed& placed : placed_) {
    if (isMeant(target, placed.listening)) {
      placed.stand_in->inject(fault);
    }
  }
  return outcome::success();
}

// Nobody of the zone reaches a stand-in outside, and nobody outside reaches one of the zone.
void EmulatedSite::cutZone(const std::string& zone, const Fault& fault) {
  Fault inside = fault;
  for (const Placed& placed : placed_) {
    const std::string& other = placed.listening.zone.value();
    if (!other.empty() && other != zone) {
      inside.zones.push_back(other);
    }
  }
  Fault outside = fault;
  outside.zones = {zone};
  for (const Placed& placed : placed_) {
    placed.stand_in->inject(placed.listening.zone.value() == zone ? inside : outside);
  }
}

void EmulatedSite::clearFaults() {
  for (const Placed& placed : placed_) {
    placed.stand_in->clearFaults();
  }
}

nlohmann::json EmulatedSite::report() {
  EngineCounters sum;
  for (const auto& engine : engines_) {
    const EngineCounters counters =
        engine->host().read([](const EngineModel& model) { return model.counters(); });
    sum.accepted += counters.accepted;
    sum.refused += counters.refused;
    sum.finished += counters.finished;
    sum.aborted += counters.aborted;
    sum.prompt_tokens += counters.prompt_tokens;
    sum.cached_tokens += counters.cached_tokens;
    sum.fenced_orders += counters.fenced_orders;
    sum.violations.salt += counters.violations.salt;
    sum.violations.weights_version += counters.violations.weights_version;
    sum.violations.incarnation += counters.violations.incarnation;
  }
  const ActionTotals actions = runs_->totals();
  const PlatformCounters platform = platform_->counters();
  nlohmann::json stand_ins = nlohmann::json::array();
  for (const Placed& placed : placed_) {
    const Listening& listening = placed.listening;
    stand_ins.push_back({{"kind", listening.kind},
                         {"id", listening.id},
                         {"zone", listening.zone.value()},
                         {"address", absl::StrCat(listening.address.host, ":", listening.address.port)}});
  }
  return {{"site", settings_.site},
          {"stand_ins", stand_ins},
          {"engines",
           {{"accepted", sum.accepted},
            {"refused", sum.refused},
            {"finished", sum.finished},
            {"aborted", sum.aborted},
            {"prompt_tokens", sum.prompt_tokens},
            {"cached_tokens", sum.cached_tokens},
            {"fenced_orders", sum.fenced_orders},
            {"violations", violationsToJson(sum.violations)}}},
          {"actions", {{"total", actions.runs}, {"actions", actions.actions}, {"doubled", actions.doubled}}},
          {"platform",
           {{"calls", platform.calls},
            {"rate_limited", platform.rate_limited},
            {"unavailable", platform.unavailable},
            {"lost", platform.lost}}}};
}

}  // namespace quincewick::emulator
