// Which software versions of a service may have begun streams, and until when. The record outlives all
// gateways: a list of servers says nothing about the past. Pure; times are of the store's clock
// (docs/design/software_versions.md).
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "forwarding/site_configuration.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::forwarding {

// A version that may have begun streams.
struct SoftwareUse {
  SoftwareVersion software;
  // When a gateway listed a server of it for the last time; InfiniteDuration while servers are listed.
  absl::Duration last_listed = absl::InfiniteDuration();

  bool isListed() const { return last_listed == absl::InfiniteDuration(); }
  friend bool operator==(const SoftwareUse&, const SoftwareUse&) = default;
};

// One service's versions.
struct SoftwareHistory {
  // Gateways begin streams at a version that is no longer listed for so long: by lists that lag, or cut off
  // from the store until they reject requests.
  static constexpr absl::Duration kListLag = absl::Seconds(30);
  // Versions are forgotten so long after they were listed.
  static constexpr absl::Duration kRetention = absl::Minutes(10);

  // Every version that began streams since then is in `versions`; minus InfiniteDuration: ever.
  absl::Duration complete_since = -absl::InfiniteDuration();
  std::vector<SoftwareUse> versions;

  // Whether a stream may begin at the version.
  bool isListed(const SoftwareVersion& software) const;
  // The version of every stream that began at `earliest` or later; nothing if that isn't proven.
  std::optional<SoftwareVersion> onlyVersionSince(absl::Duration earliest) const;

  friend bool operator==(const SoftwareHistory&, const SoftwareHistory&) = default;
};

std::string encodeSoftwareHistory(const SoftwareHistory& history);
// Decodes untrusted bytes. Errors: kInvalidArgument.
Result<SoftwareHistory> decodeSoftwareHistory(std::string_view bytes);

// One gateway's copy of the histories of all services, and what it has to write to them.
class SoftwareHistories {
 public:
  struct Known {
    SoftwareHistory history;
    uint64_t row_version = 0;  // 0: the store has no row
  };

  // A row was read. What the copy knows and the row lacks is kept, since a restore of the store may have lost
  // it.
  void noteRow(const ServiceName& service, const SoftwareHistory& history, uint64_t row_version,
               absl::Duration clock);
  // The store has no row of the service any more.
  void noteRowGone(const ServiceName& service);

  // Whether a stream may begin at the version: the history names it, or there is none yet.
  bool mayBegin(const ServiceName& service, const SoftwareVersion& software) const;
  // Whether several versions may begin streams, so that each needs a record.
  bool hasSeveral(const ServiceName& service, absl::Duration clock) const;

  // The history to write, given the versions that are listed now and those that were a short time ago;
  // nothing if the store has it. `is_complete`: if there is no history yet, nothing served before.
  using Versions = absl::flat_hash_set<SoftwareVersion>;
  std::optional<Known> nextWrite(const ServiceName& service, const Versions& listed, const Versions& recent,
                                 bool is_complete, absl::Duration clock) const;

 private:
  struct Entry {
    Known known;
    bool is_row_behind = false;  // the row lacks what is known
  };

  absl::flat_hash_map<ServiceName, Entry> services_;
};

}  // namespace quincewick::forwarding
