#include "cli/demo_site.h"

#include <absl/time/clock.h>

#include <utility>

#include "configuration/access_control.h"

namespace quincewick::cli {
namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr const char* kZone = "zone-a";
constexpr const char* kRegion = "region-1";
constexpr size_t kEngineCount = 3;
constexpr absl::Duration kStartTimeout = absl::Seconds(10);
constexpr absl::Duration kStartPollInterval = absl::Milliseconds(20);
// Fixed secrets suffice for a demonstration on loopback; real sites set their own.
constexpr const char* kDemoPeerSecret = "0f6a1c9be2d84375a9b0c7d8e1f203140f6a1c9be2d84375a9b0c7d8e1f20314";
constexpr const char* kDemoSaltSecret = "6465b1c3f0a94e7798ce1f5ad20b3c886465b1c3f0a94e7798ce1f5ad20b3c88";

Address anyPort() {
  return Address{kLoopback, 0};
}

Machine makeMachine(const std::string& id, MachineKind kind, const Address& address) {
  Machine machine;
  machine.id = id;
  machine.kind = kind;
  machine.zone = ZoneName(kZone);
  machine.region = RegionName(kRegion);
  machine.address = address;
  return machine;
}

configuration::Policy demoPolicy() {
  configuration::Policy policy;
  policy.tenants[TenantId("demo")].caller_keys = {{configuration::hashKey(kDemoKey), std::nullopt}};
  policy.models[ModelName(kDemoModel)].weights_version = WeightsVersion(1);
  policy.request_kinds[RequestKind("chat")].urgency = Urgency::kUrgent;
  policy.request_kinds[RequestKind(kDemoActionKind)].type = configuration::RequestType::kAction;
  policy.groups[GroupName("all")] = {};
  routing::RouteSpecification route;
  route.name = "everything";
  route.groups = {GroupName("all")};
  policy.routes[route.name] = route;
  return policy;
}

configuration::NodeSettings demoSettings(const Address& platform) {
  configuration::NodeSettings settings;
  settings.node_id = NodeId("demo-node");
  settings.zone = ZoneName(kZone);
  settings.region = RegionName(kRegion);
  settings.listen.callers = anyPort();
  settings.listen.operators = anyPort();
  settings.listen.peers = anyPort();
  settings.platform.address = platform;
  settings.salt_secret = kDemoSaltSecret;
  settings.peer_keys = {{1, kDemoPeerSecret}};
  settings.http.caller_threads = 16;
  return settings;
}

}  // namespace

DemoSite::DemoSite() = default;

DemoSite::~DemoSite() {
  if (node_ != nullptr) {
    node_->stop();
  }
}

Result<void> DemoSite::startEmulators() {
  emulator::PlatformSettings platform_settings;
  platform_settings.machine_list_lag = absl::ZeroDuration();
  platform_ = std::make_unique<emulator::PlatformServer>(platform_settings);
  BOOST_OUTCOME_TRY(platform_port, platform_->start(anyPort()));
  platform_address_ = Address{kLoopback, platform_port};

  cache_store_ = std::make_unique<emulator::CacheStoreServer>(emulator::CacheStoreSettings());
  BOOST_OUTCOME_TRY(cache_store_port, cache_store_->start(anyPort()));
  cache_store_address_ = Address{kLoopback, cache_store_port};
  machines_.push_back(makeMachine("cache-store-1", MachineKind::kCacheStore, cache_store_address_));

  emulator::ActionServerSettings action_settings;
  action_settings.runs = std::make_shared<emulator::ActionRunLog>();
  action_server_ = std::make_unique<emulator::ActionServer>(action_settings);
  BOOST_OUTCOME_TRY(action_port, action_server_->start(anyPort()));
  machines_.push_back(
      makeMachine("action-server-1", MachineKind::kActionServer, Address{kLoopback, action_port}));

  for (size_t index = 1; index <= kEngineCount; ++index) {
    BOOST_OUTCOME_TRYV(startEngine("engine-" + std::to_string(index)));
  }
  platform_->setMachines(machines_);
  return outcome::success();
}

Result<void> DemoSite::startEngine(const std::string& name) {
  emulator::EngineServerSettings settings;
  settings.host.engine = std::make_shared<const emulator::EngineSettings>();
  settings.host.models = {LoadedModel{ModelName(kDemoModel), WeightsVersion(1), {}}};
  settings.host.seed = engines_.size() + 1;
  settings.cache_store = cache_store_address_;
  auto engine = std::make_unique<emulator::EngineServer>(settings);
  BOOST_OUTCOME_TRY(port, engine->start(anyPort()));
  machines_.push_back(makeMachine(name, MachineKind::kEngine, Address{kLoopback, port}));
  engines_.push_back(std::move(engine));
  return outcome::success();
}

Result<void> DemoSite::waitUntilReady() {
  const absl::Time limit = absl::Now() + kStartTimeout;
  while (!node_->ready() || node_->answeringEngines() < kEngineCount) {
    if (absl::Now() > limit) {
      return fail(ErrorCode::kDeadlineExceeded, "the node has no policy or too few engines");
    }
    absl::SleepFor(kStartPollInterval);
  }
  return outcome::success();
}

Result<uint16_t> DemoSite::start() {
  BOOST_OUTCOME_TRYV(startEmulators());
  node_ = std::make_unique<node::Node>(demoSettings(platform_address_), demoPolicy());
  BOOST_OUTCOME_TRY(ports, node_->start());
  BOOST_OUTCOME_TRYV(waitUntilReady());
  return ports.callers;
}

uint64_t DemoSite::actionRunCount() {
  return action_server_->runs().totals().runs;
}

}  // namespace quincewick::cli
