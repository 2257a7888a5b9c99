#include "gateway/gateway_settings.h"

#include "configuration/yaml_schema.h"

namespace quincewick::forwarding {

using configuration::Presence;
using configuration::YamlSchema;

const YamlSchema<PlacementSwitches>& schemaOf(const PlacementSwitches* /*type*/) {
  static const auto* const schema = new YamlSchema<PlacementSwitches>(
      YamlSchema<PlacementSwitches>()
          .add("home_rank", &PlacementSwitches::home_rank, Presence::kOptional)
          .add("fetch_from_engines", &PlacementSwitches::fetch_from_engines, Presence::kOptional)
          .add("cache_stores", &PlacementSwitches::cache_stores, Presence::kOptional)
          .add("store_only_unkept", &PlacementSwitches::store_only_uncached, Presence::kOptional)
          .add("few_candidates", &PlacementSwitches::limit_candidates, Presence::kOptional)
          .add("booked_places", &PlacementSwitches::reserve_slots, Presence::kOptional)
          .add("late_gives_way", &PlacementSwitches::late_yields, Presence::kOptional)
          .add("late_within_class", &PlacementSwitches::late_within_class, Presence::kOptional)
          .add("learned_speed", &PlacementSwitches::learned_speed, Presence::kOptional)
          .add("home_by_size", &PlacementSwitches::home_by_size, Presence::kOptional));
  return *schema;
}

}  // namespace quincewick::forwarding

namespace quincewick::gateway {

using configuration::Presence;
using configuration::within;
using configuration::YamlSchema;

const YamlSchema<GatewayListenSettings>& schemaOf(const GatewayListenSettings* /*type*/) {
  static const auto* const schema = new YamlSchema<GatewayListenSettings>(
      YamlSchema<GatewayListenSettings>()
          .add("callers", &GatewayListenSettings::callers, Presence::kRequired)
          .add("readiness", &GatewayListenSettings::readiness, Presence::kRequired)
          .add("peers", &GatewayListenSettings::peers, Presence::kOptional)
          .add("metrics", &GatewayListenSettings::metrics, Presence::kOptional)
          .add("delegation", &GatewayListenSettings::delegation, Presence::kOptional));
  return *schema;
}

const YamlSchema<GatewayBounds>& schemaOf(const GatewayBounds* /*type*/) {
  const auto time = within(absl::Milliseconds(100), absl::Hours(1));
  static const auto* const schema = new YamlSchema<GatewayBounds>(
      YamlSchema<GatewayBounds>()
          .add("key_revocation", &GatewayBounds::key_revocation, Presence::kOptional, time)
          .add("configuration_in_force", &GatewayBounds::configuration_in_force, Presence::kOptional, time)
          .add("server_drain", &GatewayBounds::server_drain, Presence::kOptional, time)
          .add("stop_grace", &GatewayBounds::stop_grace, Presence::kOptional, time)
          .add("order_lease", &GatewayBounds::order_lease, Presence::kOptional, time)
          .add("weights_in_force", &GatewayBounds::weights_in_force, Presence::kOptional, time)
          .add("retry_ratio", &GatewayBounds::retry_ratio, Presence::kOptional, within(0.0, 10.0))
          .add("retry_constant", &GatewayBounds::retry_constant, Presence::kOptional, within(0.0, 1e6))
          .add("limit_window", &GatewayBounds::limit_window, Presence::kOptional, time)
          .add("limit_overshoot", &GatewayBounds::limit_overshoot, Presence::kOptional, within(0.0, 10.0))
          .add("limit_slack", &GatewayBounds::limit_slack, Presence::kOptional, within(0.0, 1e12)));
  return *schema;
}

const YamlSchema<GatewaySettings>& schemaOf(const GatewaySettings* /*type*/) {
  static const auto* const schema = new YamlSchema<GatewaySettings>(
      YamlSchema<GatewaySettings>()
          .add("gateway_id", &GatewaySettings::gateway_id, Presence::kRequired)
          .add("zone", &GatewaySettings::zone, Presence::kRequired)
          .add("region", &GatewaySettings::region, Presence::kRequired)
          .add("listen", &GatewaySettings::listen, Presence::kRequired)
          .add("store", &GatewaySettings::store, Presence::kRequired)
          .add("bounds", &GatewaySettings::bounds, Presence::kOptional)
          .add("placement", &GatewaySettings::placement, Presence::kOptional)
          .add("gateways_assumed", &GatewaySettings::gateways_assumed, Presence::kOptional,
               within<uint32_t>(1, 100'000))
          .add("connections_at_most", &GatewaySettings::connections_at_most, Presence::kOptional,
               within<uint32_t>(16, 1'000'000))
          .add("memory_mb", &GatewaySettings::memory_mb, Presence::kOptional, within<uint32_t>(32, 1'000'000))
          .add("descriptors", &GatewaySettings::descriptors, Presence::kOptional,
               within<uint32_t>(64, 100'000'000))
          .add("site_is_new", &GatewaySettings::site_is_new, Presence::kOptional)
          .add("rollout_share", &GatewaySettings::rollout_share, Presence::kOptional, within(0.0, 1.0))
          .add("capacity", &GatewaySettings::capacity, Presence::kOptional, within(0.0, 1e9)));
  return *schema;
}

namespace {

constexpr const char* kGatewayIdKey = "gateway_id:";

}  // namespace

configuration::Parsed<GatewaySettings> parseGatewaySettings(const std::string& text) {
  return configuration::parseYaml<GatewaySettings>(text);
}

bool looksLikeGatewaySettings(const std::string& text) {
  return text.rfind(kGatewayIdKey, 0) == 0 ||
         text.find(std::string("\n") + kGatewayIdKey) != std::string::npos;
}

}  // namespace quincewick::gateway
