#include "configuration/node_settings.h"

#include <absl/container/btree_set.h>
#include <absl/strings/ascii.h>

#include <algorithm>
#include <array>

#include "configuration/yaml_schema.h"

namespace quincewick::configuration {

namespace {

constexpr size_t kMinimumSecretDigits = 64;
constexpr uint32_t kMaximumThreads = 4096;
constexpr uint64_t kMaximumBodyBytes = uint64_t{256} << 20;

constexpr EnumName<LogLevel> kLogLevels[] = {{LogLevel::kDebug, "debug"},
                                             {LogLevel::kInfo, "info"},
                                             {LogLevel::kWarning, "warning"},
                                             {LogLevel::kError, "error"}};

std::optional<std::string> checkSecret(const std::string& secret) {
  const bool is_hexadecimal = std::all_of(
      secret.begin(), secret.end(), [](unsigned char character) { return absl::ascii_isxdigit(character); });
  if (!is_hexadecimal || secret.size() < kMinimumSecretDigits || secret.size() % 2 != 0) {
    return "expected at least 32 bytes as hexadecimal digits";
  }
  return std::nullopt;
}

std::optional<std::string> checkPort(const Address& address) {
  if (address.port == 0) {
    return "expected a port from 1 to 65535";
  }
  return std::nullopt;
}

std::optional<std::string> checkOptionalPort(const std::optional<Address>& address) {
  return address ? checkPort(*address) : std::nullopt;
}

std::optional<std::string> checkPeerKeys(const std::vector<PeerKey>& keys) {
  absl::btree_set<uint32_t> ids;
  for (const PeerKey& key : keys) {
    if (!ids.insert(key.id).second) {
      return "expected key ids that differ";
    }
  }
  return keys.empty() ? std::optional<std::string>("expected at least one key") : std::nullopt;
}

}  // namespace

template <>
struct YamlCodec<LogLevel> {
  static bool read(const YamlCursor& cursor, LogLevel& value) { return readEnum(cursor, kLogLevels, value); }
  static void write(YAML::Emitter& out, LogLevel value) { writeEnum(out, kLogLevels, value); }
};

const YamlSchema<ListenSettings>& schemaOf(const ListenSettings* /*type*/) {
  static const auto* const schema =
      new YamlSchema<ListenSettings>(YamlSchema<ListenSettings>()
                                         .add("callers", &ListenSettings::callers, Presence::kRequired)
                                         .add("operators", &ListenSettings::operators, Presence::kRequired)
                                         .add("peers", &ListenSettings::peers, Presence::kRequired));
  return *schema;
}

const YamlSchema<PeerKey>& schemaOf(const PeerKey* /*type*/) {
  static const auto* const schema = new YamlSchema<PeerKey>(
      YamlSchema<PeerKey>()
          .add("id", &PeerKey::id, Presence::kRequired)
          .add("secret", &PeerKey::secret, Presence::kRequired, ValueCheck<std::string>(checkSecret)));
  return *schema;
}

const YamlSchema<TlsIdentity>& schemaOf(const TlsIdentity* /*type*/) {
  static const auto* const schema = new YamlSchema<TlsIdentity>(
      YamlSchema<TlsIdentity>()
          .add("certificate_file", &TlsIdentity::certificate_file, Presence::kRequired)
          .add("private_key_file", &TlsIdentity::private_key_file, Presence::kRequired));
  return *schema;
}

const YamlSchema<TlsSettings>& schemaOf(const TlsSettings* /*type*/) {
  static const auto* const schema = new YamlSchema<TlsSettings>(
      YamlSchema<TlsSettings>()
          .add("callers", &TlsSettings::callers, Presence::kOptional)
          .add("operators", &TlsSettings::operators, Presence::kOptional)
          .add("back_end_authorities_file", &TlsSettings::back_end_authorities_file, Presence::kOptional));
  return *schema;
}

const YamlSchema<HttpLimits>& schemaOf(const HttpLimits* /*type*/) {
  const auto threads = within<uint32_t>(1, kMaximumThreads);
  const auto timeout = within(absl::Milliseconds(10), absl::Hours(1));
  static const auto* const schema = new YamlSchema<HttpLimits>(
      YamlSchema<HttpLimits>()
          .add("caller_threads", &HttpLimits::caller_threads, Presence::kOptional, threads)
          .add("operator_threads", &HttpLimits::operator_threads, Presence::kOptional, threads)
          .add("body_bytes", &HttpLimits::body_bytes, Presence::kOptional,
               within<uint64_t>(1024, kMaximumBodyBytes))
          .add("input_bytes", &HttpLimits::input_bytes, Presence::kOptional,
               within<uint64_t>(1024, uint64_t{1} << 40))
          .add("keep_alive_requests", &HttpLimits::keep_alive_requests, Presence::kOptional,
               within<uint32_t>(1, 100'000'000))
          .add("read_timeout", &HttpLimits::read_timeout, Presence::kOptional, timeout)
          .add("write_timeout", &HttpLimits::write_timeout, Presence::kOptional, timeout));
  return *schema;
}

const YamlSchema<PlatformSettings>& schemaOf(const PlatformSettings* /*type*/) {
  const auto timeout = within(absl::Milliseconds(10), absl::Minutes(1));
  static const auto* const schema = new YamlSchema<PlatformSettings>(
      YamlSchema<PlatformSettings>()
          .add("address", &PlatformSettings::address, Presence::kRequired, ValueCheck<Address>(checkPort))
          .add("connect_timeout", &PlatformSettings::connect_timeout, Presence::kOptional, timeout)
          .add("call_timeout", &PlatformSettings::call_timeout, Presence::kOptional, timeout));
  return *schema;
}

const YamlSchema<NodeSettings>& schemaOf(const NodeSettings* /*type*/) {
  static const auto* const schema = new YamlSchema<NodeSettings>(
      YamlSchema<NodeSettings>()
          .add("node_id", &NodeSettings::node_id, Presence::kRequired)
          .add("zone", &NodeSettings::zone, Presence::kRequired)
          .add("region", &NodeSettings::region, Presence::kRequired)
          .add("listen", &NodeSettings::listen, Presence::kRequired)
          .add("advertised_peer_address", &NodeSettings::advertised_peer_address, Presence::kOptional,
               ValueCheck<std::optional<Address>>(checkOptionalPort))
          .add("platform", &NodeSettings::platform, Presence::kRequired)
          .add("salt_secret", &NodeSettings::salt_secret, Presence::kRequired,
               ValueCheck<std::string>(checkSecret))
          .add("peer_keys", &NodeSettings::peer_keys, Presence::kRequired,
               ValueCheck<std::vector<PeerKey>>(checkPeerKeys))
          .add("tls", &NodeSettings::tls, Presence::kOptional)
          .add("http", &NodeSettings::http, Presence::kOptional)
          .add("log_level", &NodeSettings::log_level, Presence::kOptional)
          .add("initial_policy_file", &NodeSettings::initial_policy_file, Presence::kOptional));
  return *schema;
}

Parsed<NodeSettings> parseNodeSettings(const std::string& text) {
  return parseYaml<NodeSettings>(text);
}

std::string printNodeSettings(const NodeSettings& settings) {
  return printYaml(settings);
}

}  // namespace quincewick::configuration
