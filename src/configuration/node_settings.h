// The settings of one process, from a file that it reads once at its start. What may change while nodes run,
// and must be the same everywhere, is in the policy instead.
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "configuration/diagnostics.h"
#include "types/back_end.h"
#include "types/identifiers.h"

namespace quincewick::configuration {

// Where the node takes connections. Each audience has a port of its own.
struct ListenSettings {
  Address callers;
  Address operators;
  Address peers;  // UDP datagrams and TCP calls of other nodes

  friend bool operator==(const ListenSettings&, const ListenSettings&) = default;
};

// One secret that authenticates messages between nodes. A new key is added at the end of all nodes' rings
// first, then moved to the front; the old one is removed last.
struct PeerKey {
  uint32_t id = 0;     // travels with each message
  std::string secret;  // hexadecimal, at least 32 bytes

  friend bool operator==(const PeerKey&, const PeerKey&) = default;
};

// The files of one TLS server identity, in PEM. They are read again when they change.
struct TlsIdentity {
  std::string certificate_file;
  std::string private_key_file;

  friend bool operator==(const TlsIdentity&, const TlsIdentity&) = default;
};

// Without an identity, the port speaks plain HTTP.
struct TlsSettings {
  std::optional<TlsIdentity> callers;
  std::optional<TlsIdentity> operators;
  std::optional<std::string> back_end_authorities_file;  // given: back ends are spoken to over TLS

  friend bool operator==(const TlsSettings&, const TlsSettings&) = default;
};

// What one caller may take of this process.
struct HttpLimits {
  uint32_t caller_threads = 256;  // requests and streams served at once; one more is refused
  uint32_t operator_threads = 8;
  uint64_t body_bytes = uint64_t{16} << 20;
  // Of all requests that are read or handled at once, without TLS; two of the largest bodies at least.
  uint64_t input_bytes = uint64_t{64} << 20;
  uint32_t keep_alive_requests = 10'000;  // on one connection
  absl::Duration read_timeout = absl::Seconds(30);
  absl::Duration write_timeout = absl::Seconds(30);

  friend bool operator==(const HttpLimits&, const HttpLimits&) = default;
};

// How the node reaches the platform's services.
struct PlatformSettings {
  Address address;
  absl::Duration connect_timeout = absl::Seconds(1);
  absl::Duration call_timeout = absl::Seconds(5);

  friend bool operator==(const PlatformSettings&, const PlatformSettings&) = default;
};

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

struct NodeSettings {
  NodeId node_id;  // unique in the site; kept over restarts
  ZoneName zone;
  RegionName region;
  ListenSettings listen;
  std::optional<Address> advertised_peer_address;  // where other nodes find this one; default: listen.peers
  PlatformSettings platform;
  std::string salt_secret;         // hexadecimal, at least 32 bytes; equal on all nodes
  std::vector<PeerKey> peer_keys;  // the first one signs, all verify
  TlsSettings tls;
  HttpLimits http;
  LogLevel log_level = LogLevel::kInfo;
  // The policy to run on while neither the store nor any peer has told a newer one. Without it, a site that
  // starts while the store is down stays unready until the store is back.
  std::optional<std::string> initial_policy_file;

  const Address& peerAddress() const {
    return advertised_peer_address ? *advertised_peer_address : listen.peers;
  }

  friend bool operator==(const NodeSettings&, const NodeSettings&) = default;
};

// Reads a settings file's text. All faults are listed.
Parsed<NodeSettings> parseNodeSettings(const std::string& text);

// Prints settings so that they parse to equal ones. The text holds the secrets.
std::string printNodeSettings(const NodeSettings& settings);

}  // namespace quincewick::configuration
