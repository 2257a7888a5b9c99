#include "configuration/node_settings.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace quincewick::configuration {
namespace {

constexpr const char* kSettings = R"(
node_id: node-1
zone: hall-a
region: hu-central
listen:
  callers: 127.0.0.1:8080
  operators: "127.0.0.1:8081"
  peers: "[::1]:8082"
platform: {address: "127.0.0.1:9000", call_timeout: 750ms}
salt_secret: 000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f
peer_keys:
  - {id: 1, secret: 100102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f}
tls:
  callers: {certificate_file: cert.pem, private_key_file: "key file.pem"}
http: {caller_threads: 64, read_timeout: 1m30s}
log_level: warning
)";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
  const size_t place = text.find(from);
  REQUIRE(place != std::string::npos);
  return text.replace(place, from.size(), to);
}

TEST_CASE("settings are read, printed and read back") {
  const Parsed<NodeSettings> parsed = parseNodeSettings(kSettings);
  INFO(printDiagnostics("settings", parsed.diagnostics));
  REQUIRE(parsed.ok());
  CHECK(parsed.value->listen.peers == Address{"::1", 8082});
  CHECK(parsed.value->peerAddress() == Address{"::1", 8082});
  CHECK(parsed.value->platform.call_timeout == absl::Milliseconds(750));
  CHECK(parsed.value->http.read_timeout == absl::Seconds(90));
  CHECK(parsed.value->http.write_timeout == HttpLimits{}.write_timeout);
  CHECK(parsed.value->tls.callers->private_key_file == "key file.pem");
  CHECK(parsed.value->log_level == LogLevel::kWarning);
  CHECK(parseNodeSettings(printNodeSettings(*parsed.value)).value == parsed.value);
}

TEST_CASE("all faults of a settings file are listed, each at its place") {
  std::string text = replaced(kSettings, "zone: hall-a", "zone: {}");
  text = replaced(text, "callers: 127.0.0.1:8080", "callers: localhost:8080");
  text = replaced(text, "call_timeout: 750ms", "call_timeout: 750");
  text = replaced(text, "log_level: warning", "loglevel: warning");
  const Parsed<NodeSettings> parsed = parseNodeSettings(text);
  CHECK_FALSE(parsed.ok());
  CHECK(printDiagnostics("f", parsed.diagnostics) ==
        "f:3:7: zone: expected text, found a map\n"
        "f:6:12: listen.callers: expected a numeric address and port, such as 10.0.0.1:8080 or "
        "[fd00::1]:8080, found \"localhost:8080\"\n"
        "f:9:53: platform.call_timeout: expected a length of time, such as 250ms, 1.5s or 2m, found "
        "\"750\"\n"
        "f:16:1: unknown \"loglevel\", expected one of node_id, zone, region, listen, "
        "advertised_peer_address, platform, salt_secret, peer_keys, tls, http, log_level, "
        "initial_policy_file");
}

TEST_CASE("broken and hostile texts are refused with one clear fault") {
  const auto firstFault = [](const std::string& text) {
    const Parsed<NodeSettings> parsed = parseNodeSettings(text);
    REQUIRE_FALSE(parsed.ok());
    REQUIRE_FALSE(parsed.diagnostics.empty());
    return printDiagnostic("f", parsed.diagnostics.front());
  };
  CHECK_THAT(firstFault("node_id: [1, 2\nzone: x"), Catch::StartsWith("f:2:5: not valid YAML: "));
  CHECK(firstFault("a: &x 1\nb: *x") == "f:1:4: anchors are not allowed");
  CHECK(firstFault("a: !!int 1") == "f:1:4: tags are not allowed");
  CHECK(firstFault("---\na: 1\n---\nb: 2\n") == "f: expected a single document");
  CHECK(firstFault(std::string("a: \0b", 5)) == "f: contains a zero byte");
  CHECK_THAT(firstFault(std::string(200, '[') + std::string(200, ']')),
             Catch::EndsWith("nested deeper than 16 levels"));
  CHECK_THAT(firstFault(std::string(size_t{5} << 20, ' ')), Catch::EndsWith("larger than 4194304 bytes"));
  CHECK_THAT(firstFault(""), Catch::EndsWith("\"node_id\" is missing"));
  CHECK_THAT(firstFault("just text"), Catch::StartsWith("f:1:1: expected a map with node_id"));
  CHECK_THAT(firstFault(std::string("node_id: a\n") + kSettings),
             Catch::EndsWith("\"node_id\" stands twice"));
}

TEST_CASE("secrets must be long, and keys of the ring must differ") {
  const std::string short_salt = replaced(kSettings, "salt_secret: 0001", "salt_secret: 01");
  CHECK(parseNodeSettings(short_salt).diagnostics.at(0).path == "salt_secret");
  const std::string second_key = "peer_keys:\n  - {id: 1, secret: " + std::string(64, 'a') + "}";
  const std::string doubled = replaced(kSettings, "peer_keys:", second_key);
  CHECK(parseNodeSettings(doubled).diagnostics.at(0).message == "expected key ids that differ");
}

}  // namespace
}  // namespace quincewick::configuration
