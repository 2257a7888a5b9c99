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

// The routes on which streams of a service may be taken up.
struct ResumableRoutes {
  uint64_t hash = 0;                   // as of `hashOfResumableRoutes`
  ConfigurationVersion configuration;  // that a gateway first saw them in
  // Streams that began on these routes since then began at the service, but for those of gateways whose
  // configuration lagged.
  absl::Duration since = -absl::InfiniteDuration();

  friend bool operator==(const ResumableRoutes&, const ResumableRoutes&) = default;
};

// All resumable routes of the hosts at which a resumable route leads to the service, as a hash that is the
// same in all builds: while it doesn't change, no stream comes to the service that began at another.
uint64_t hashOfResumableRoutes(const SiteConfiguration& configuration, const ServiceName& service);

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
  ResumableRoutes routes;
  // The store's era when the row was written. After a restore the row may lack what was written since.
  std::optional<uint64_t> era;

  // Whether a stream may begin at the version.
  bool isListed(const SoftwareVersion& software) const;

  // A stream that is taken up, as the gateway that has to find its version knows it.
  struct Question {
    absl::Duration earliest;  // it began then or later
    uint64_t routes = 0;      // hashOfResumableRoutes of the configuration that applies
    std::optional<uint64_t> era;
  };
  // The version of every stream that may be meant; nothing if that isn't proven.
  std::optional<SoftwareVersion> onlyVersion(const Question& question) const;

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

  using Versions = absl::flat_hash_set<SoftwareVersion>;
  // What a reader sees of a service.
  struct Observation {
    Versions listed;
    Versions recent;  // were listed a short time ago
    uint64_t routes = 0;
    ConfigurationVersion configuration;
    std::optional<uint64_t> era;
    bool is_complete = false;  // if there is no history yet, nothing served before
  };
  // The history to write; nothing if the store has it.
  std::optional<Known> nextWrite(const ServiceName& service, const Observation& observation,
                                 absl::Duration clock) const;

 private:
  struct Entry {
    Known known;
    bool is_row_behind = false;  // the row lacks what is known
  };

  static Entry firstEntry(const Observation& observation, absl::Duration clock);

  absl::flat_hash_map<ServiceName, Entry> services_;
};

}  // namespace quincewick::forwarding
