#include "emulator/site_settings.h"

#include "configuration/yaml_schema.h"

namespace quincewick::configuration {

template <>
struct YamlCodec<emulator::FaultKind> {
  static bool read(const YamlCursor& cursor, emulator::FaultKind& value) {
    std::string text;
    if (!YamlCodec<std::string>::read(cursor, text)) {
      return false;
    }
    const std::optional<emulator::FaultKind> kind = emulator::faultKindFromName(text);
    if (!kind) {
      return cursor.expected("one of " + emulator::faultKindNames());
    }
    value = *kind;
    return true;
  }
  static void write(YAML::Emitter& out, emulator::FaultKind value) {
    out << std::string(emulator::faultKindName(value));
  }
};

}  // namespace quincewick::configuration

namespace quincewick::emulator {
namespace {

using configuration::Presence;
using configuration::ValueCheck;
using configuration::within;
using configuration::YamlSchema;

constexpr uint32_t kMostStandIns = 1000;
constexpr uint32_t kMostTokens = 1 << 24;
constexpr uint32_t kMostBlocks = 1 << 24;
constexpr double kMostOperations = 1e9;

ValueCheck<absl::Duration> upTo(absl::Duration longest) {
  return within(absl::ZeroDuration(), longest);
}

template <class Value>
ValueCheck<std::vector<Value>> notEmpty() {
  return [](const std::vector<Value>& list) {
    return list.empty() ? std::optional<std::string>("expected at least one") : std::nullopt;
  };
}

// A field of Fault as one of the structure that extends it.
template <class Value>
Value ScheduledFault::*inherited(Value Fault::*member) {
  return static_cast<Value ScheduledFault::*>(member);
}

}  // namespace

const YamlSchema<EngineSettings>& schemaOf(const EngineSettings* /*type*/) {
  using S = EngineSettings;
  const auto optional = Presence::kOptional;
  static const auto* const schema = new YamlSchema<S>(
      YamlSchema<S>()
          .add("block_size", &S::block_size, optional, within<uint32_t>(1, kMostTokens))
          .add("cache_capacity_blocks", &S::cache_capacity_blocks, optional, within<uint32_t>(0, kMostBlocks))
          .add("maximum_running", &S::maximum_running, optional, within<uint32_t>(1, 4096))
          .add("maximum_waiting", &S::maximum_waiting, optional, within<uint32_t>(0, 100'000))
          .add("maximum_models", &S::maximum_models, optional, within<uint32_t>(1, 1000))
          .add("prefill_chunk_tokens", &S::prefill_chunk_tokens, optional, within<uint32_t>(1, kMostTokens))
          .add("prefill_per_token", &S::prefill_per_token, optional, upTo(absl::Seconds(1)))
          .add("step_base", &S::step_base, optional, upTo(absl::Seconds(10)))
          .add("step_per_request", &S::step_per_request, optional, upTo(absl::Seconds(1)))
          .add("transfer_per_block", &S::transfer_per_block, optional, upTo(absl::Seconds(10)))
          .add("load_report_period", &S::load_report_period, optional, upTo(absl::Minutes(1)))
          .add("cache_event_delay", &S::cache_event_delay, optional, upTo(absl::Minutes(10)))
          .add("cache_event_loss", &S::cache_event_loss, optional, within(0.0, 1.0))
          .add("cache_event_log", &S::cache_event_log, optional, within<uint32_t>(0, 1'000'000)));
  return *schema;
}

const YamlSchema<TableLimits>& schemaOf(const TableLimits* /*type*/) {
  using S = TableLimits;
  const auto optional = Presence::kOptional;
  static const auto* const schema = new YamlSchema<S>(
      YamlSchema<S>()
          .add("transaction_items", &S::transaction_items, optional, within<uint32_t>(1, 100'000))
          .add("read_items", &S::read_items, optional, within<uint32_t>(1, 1'000'000))
          .add("value_bytes", &S::value_bytes, optional, within<uint32_t>(1, 1 << 28)));
  return *schema;
}

const YamlSchema<PlatformSettings>& schemaOf(const PlatformSettings* /*type*/) {
  using S = PlatformSettings;
  const auto optional = Presence::kOptional;
  const auto rate = within(0.0, kMostOperations);
  const auto latency = upTo(absl::Minutes(1));
  static const auto* const schema = new YamlSchema<S>(
      YamlSchema<S>()
          .add("table_operations_per_second", &S::table_operations_per_second, optional, rate)
          .add("object_operations_per_second", &S::object_operations_per_second, optional, rate)
          .add("list_operations_per_second", &S::list_operations_per_second, optional, rate)
          .add("burst_seconds", &S::burst_seconds, optional, within(0.0, 3600.0))
          .add("table_latency", &S::table_latency, optional, latency)
          .add("object_latency", &S::object_latency, optional, latency)
          .add("list_latency", &S::list_latency, optional, latency)
          .add("latency_spread", &S::latency_spread, optional, within(0.0, 100.0))
          .add("machine_list_lag", &S::machine_list_lag, optional, upTo(absl::Hours(1)))
          .add("table_limits", &S::table_limits, optional)
          .add("seed", &S::seed, optional));
  return *schema;
}

const YamlSchema<PlatformSection>& schemaOf(const PlatformSection* /*type*/) {
  using S = PlatformSection;
  static const auto* const schema = new YamlSchema<S>(YamlSchema<S>()
                                                          .add("port", &S::port, Presence::kOptional)
                                                          .add("service", &S::service, Presence::kOptional));
  return *schema;
}

const YamlSchema<CacheStoreSettings>& schemaOf(const CacheStoreSettings* /*type*/) {
  using S = CacheStoreSettings;
  static const auto* const schema =
      new YamlSchema<S>(YamlSchema<S>()
                            .add("capacity_blocks", &S::capacity_blocks, Presence::kOptional)
                            .add("latency", &S::latency, Presence::kOptional, upTo(absl::Minutes(1)))
                            .add("seed", &S::seed, Presence::kOptional));
  return *schema;
}

const YamlSchema<CacheStoreSection>& schemaOf(const CacheStoreSection* /*type*/) {
  using S = CacheStoreSection;
  static const auto* const schema = new YamlSchema<S>(YamlSchema<S>()
                                                          .add("zone", &S::zone, Presence::kRequired)
                                                          .add("port", &S::port, Presence::kOptional)
                                                          .add("service", &S::service, Presence::kOptional));
  return *schema;
}

const YamlSchema<WeightLoaderSettings>& schemaOf(const WeightLoaderSettings* /*type*/) {
  using S = WeightLoaderSettings;
  static const auto* const schema = new YamlSchema<S>(
      YamlSchema<S>()
          .add("load_time", &S::load_time, Presence::kRequired, upTo(absl::Hours(1)))
          .add("full_speed_loads", &S::full_speed_loads, Presence::kRequired, within<uint32_t>(1, 1000)));
  return *schema;
}

const YamlSchema<ModelSettings>& schemaOf(const ModelSettings* /*type*/) {
  using S = ModelSettings;
  static const auto* const schema =
      new YamlSchema<S>(YamlSchema<S>()
                            .add("model", &S::model, Presence::kRequired)
                            .add("weights_version", &S::weights_version, Presence::kOptional)
                            .add("adapters", &S::adapters, Presence::kOptional));
  return *schema;
}

const YamlSchema<StandInGroup>& schemaOf(const StandInGroup* /*type*/) {
  using S = StandInGroup;
  static const auto* const schema =
      new YamlSchema<S>(YamlSchema<S>()
                            .add("zone", &S::zone, Presence::kRequired)
                            .add("count", &S::count, Presence::kRequired, within<uint32_t>(1, kMostStandIns))
                            .add("first_port", &S::first_port, Presence::kOptional)
                            .add("labels", &S::labels, Presence::kOptional));
  return *schema;
}

const YamlSchema<ActionTimes>& schemaOf(const ActionTimes* /*type*/) {
  using S = ActionTimes;
  static const auto* const schema = new YamlSchema<S>(
      YamlSchema<S>()
          .add("action_time", &S::action_time, Presence::kOptional, upTo(absl::Minutes(1)))
          .add("lookup_time", &S::lookup_time, Presence::kOptional, upTo(absl::Minutes(1))));
  return *schema;
}

const YamlSchema<ListedNode>& schemaOf(const ListedNode* /*type*/) {
  using S = ListedNode;
  static const auto* const schema = new YamlSchema<S>(YamlSchema<S>()
                                                          .add("id", &S::id, Presence::kRequired)
                                                          .add("zone", &S::zone, Presence::kRequired)
                                                          .add("address", &S::address, Presence::kRequired)
                                                          .add("labels", &S::labels, Presence::kOptional));
  return *schema;
}

const YamlSchema<SiteSettings>& schemaOf(const SiteSettings* /*type*/) {
  using S = SiteSettings;
  static const auto* const schema =
      new YamlSchema<S>(YamlSchema<S>()
                            .add("site", &S::site, Presence::kRequired)
                            .add("region", &S::region, Presence::kRequired)
                            .add("host", &S::host, Presence::kOptional)
                            .add("seed", &S::seed, Presence::kOptional)
                            .add("control_port", &S::control_port, Presence::kOptional)
                            .add("platform", &S::platform, Presence::kOptional)
                            .add("weights", &S::weights, Presence::kRequired)
                            .add("cache_store", &S::cache_store, Presence::kOptional)
                            .add("engine", &S::engine, Presence::kOptional)
                            .add("models", &S::models, Presence::kRequired, notEmpty<ModelSettings>())
                            .add("engines", &S::engines, Presence::kRequired, notEmpty<StandInGroup>())
                            .add("actions", &S::actions, Presence::kOptional)
                            .add("action_servers", &S::action_servers, Presence::kOptional)
                            .add("nodes", &S::nodes, Presence::kOptional));
  return *schema;
}

const YamlSchema<ScheduledFault>& schemaOf(const ScheduledFault* /*type*/) {
  using S = ScheduledFault;
  const auto optional = Presence::kOptional;
  const auto duration = upTo(absl::Hours(24));
  static const auto* const schema =
      new YamlSchema<S>(YamlSchema<S>()
                            .add("at", &S::at, Presence::kRequired, duration)
                            .add("target", &S::target, Presence::kRequired)
                            .add("kind", inherited(&Fault::kind), Presence::kRequired)
                            .add("for", inherited(&Fault::duration), optional, duration)
                            .add("factor", inherited(&Fault::factor), optional, within(1e-3, 1e9))
                            .add("share", inherited(&Fault::share), optional, within(0.0, 1.0))
                            .add("count", inherited(&Fault::count), optional)
                            .add("delay", inherited(&Fault::delay), optional, duration)
                            .add("keep_cache", inherited(&Fault::keep_cache), optional)
                            .add("zones", inherited(&Fault::zones), optional)
                            .add("nodes", inherited(&Fault::nodes), optional));
  return *schema;
}

const YamlSchema<FaultSchedule>& schemaOf(const FaultSchedule* /*type*/) {
  static const auto* const schema = new YamlSchema<FaultSchedule>(
      YamlSchema<FaultSchedule>().add("faults", &FaultSchedule::faults, Presence::kRequired));
  return *schema;
}

configuration::Parsed<SiteSettings> parseSiteSettings(const std::string& text) {
  return configuration::parseYaml<SiteSettings>(text);
}

configuration::Parsed<FaultSchedule> parseFaultSchedule(const std::string& text) {
  return configuration::parseYaml<FaultSchedule>(text);
}

}  // namespace quincewick::emulator
