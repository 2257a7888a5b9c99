#include "forwarding/software_history.h"

#include <absl/container/flat_hash_set.h>
#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "types/bounded_archive.h"

namespace quincewick::forwarding {
namespace {

constexpr uint32_t kMaxNameBytes = 255;
constexpr uint32_t kMaxVersions = 256;

absl::Duration durationOf(int64_t ms) {
  switch (ms) {
    case INT64_MAX:
      return absl::InfiniteDuration();
    case INT64_MIN:
      return -absl::InfiniteDuration();
    default:
      return absl::Milliseconds(ms);
  }
}

template <class Archive>
void archiveTime(Archive& archive, absl::Duration& time) {
  int64_t ms = absl::ToInt64Milliseconds(time);  // the extremes for infinite ones
  archive(ms);
  time = durationOf(ms);
}

SoftwareUse* findUse(SoftwareHistory& history, const SoftwareVersion& software) {
  const auto found = std::find_if(history.versions.begin(), history.versions.end(),
                                  [&software](const SoftwareUse& use) { return use.software == software; });
  return found == history.versions.end() ? nullptr : &*found;
}

bool leadsTo(const Route& route, const ServiceName& service) {
  return std::any_of(route.shares.begin(), route.shares.end(),
                     [&service](const ServiceShare& share) { return share.service == service; });
}

// Takes over what the reader sees of the routes and of the store's era.
void noteSurroundings(SoftwareHistory& history, const SoftwareHistories::Observation& observation,
                      absl::Duration clock) {
  if (history.era != observation.era) {
    history.era = observation.era;
    history.complete_since = clock;
  }
  // A reader whose configuration lags doesn't undo what others saw.
  const bool is_change =
      history.routes.hash != observation.routes && history.routes.configuration < observation.configuration;
  if (is_change) {
    history.routes = {observation.routes, observation.configuration, clock};
  }
}

void dropForgotten(SoftwareHistory& history, absl::Duration clock) {
  std::erase_if(history.versions, [clock](const SoftwareUse& use) {
    return use.last_listed < clock - SoftwareHistory::kRetention;
  });
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, SoftwareUse& use) {
  std::string software = use.software.value();
  archiveText(archive, software, kMaxNameBytes);
  use.software = SoftwareVersion(std::move(software));
  archiveTime(archive, use.last_listed);
}

template <class Archive>
void serialize(Archive& archive, ResumableRoutes& routes) {
  uint64_t configuration = routes.configuration.value();
  archive(routes.hash, configuration);
  routes.configuration = ConfigurationVersion(configuration);
  archiveTime(archive, routes.since);
}

template <class Archive>
void serialize(Archive& archive, SoftwareHistory& history) {
  archiveTime(archive, history.complete_since);
  archiveList(archive, history.versions, kMaxVersions);
  archive(history.routes);
  bool has_era = history.era.has_value();
  uint64_t era = history.era.value_or(0);
  archive(has_era, era);
  history.era = has_era ? std::optional(era) : std::nullopt;
}

uint64_t hashOfResumableRoutes(const SiteConfiguration& configuration, const ServiceName& service) {
  const std::vector<Route>& routes = configuration.routes();
  absl::flat_hash_set<std::string_view> hosts;
  for (const Route& route : routes) {
    if (route.is_resumable && leadsTo(route, service)) {
      hosts.insert(route.host);
    }
  }
  std::string text;
  for (const Route& route : routes) {  // in the configuration's order, by host and prefix
    if (!route.is_resumable || !hosts.contains(route.host)) {
      continue;
    }
    absl::StrAppend(&text, route.host, "\n", route.path_prefix);
    for (const ServiceShare& share : route.shares) {
      absl::StrAppend(&text, "\n", share.service.value());
    }
    text += '\0';
  }
  return XXH3_64bits(text.data(), text.size());
}

std::string encodeSoftwareHistory(const SoftwareHistory& history) {
  return encodeArchive(history);
}

Result<SoftwareHistory> decodeSoftwareHistory(std::string_view bytes) {
  return decodeArchive<SoftwareHistory>(bytes);
}

bool SoftwareHistory::isListed(const SoftwareVersion& software) const {
  return std::any_of(versions.begin(), versions.end(), [&software](const SoftwareUse& use) {
    return use.software == software && use.isListed();
  });
}

std::optional<SoftwareVersion> SoftwareHistory::onlyVersion(const Question& question) const {
  const absl::Duration proven_since = std::max(complete_since, routes.since + kListLag);
  const bool is_covered =
      question.era == era && question.routes == routes.hash && question.earliest >= proven_since;
  if (!is_covered) {
    return std::nullopt;
  }
  std::optional<SoftwareVersion> only;
  for (const SoftwareUse& use : versions) {
    if (use.last_listed + kListLag < question.earliest) {
      continue;
    }
    if (only) {
      return std::nullopt;
    }
    only = use.software;
  }
  return only;
}

void SoftwareHistories::noteRow(const ServiceName& service, const SoftwareHistory& history,
                                uint64_t row_version, absl::Duration clock) {
  Entry& entry = services_[service];
  SoftwareHistory merged = history;
  for (const SoftwareUse& use : entry.known.history.versions) {
    SoftwareUse* const in_row = findUse(merged, use.software);
    const bool is_recent = use.last_listed >= clock - SoftwareHistory::kRetention;
    if (in_row == nullptr && is_recent) {
      merged.versions.push_back({use.software, std::min(use.last_listed, clock)});
    }
  }
  merged.complete_since = std::max(history.complete_since, entry.known.history.complete_since);
  if (history.routes.configuration < entry.known.history.routes.configuration) {
    merged.routes = entry.known.history.routes;
  }
  entry.is_row_behind = merged != history;
  entry.known = {std::move(merged), row_version};
}

void SoftwareHistories::noteRowGone(const ServiceName& service) {
  const auto found = services_.find(service);
  if (found != services_.end()) {
    found->second.known.row_version = 0;
    found->second.is_row_behind = true;
  }
}

bool SoftwareHistories::mayBegin(const ServiceName& service, const SoftwareVersion& software) const {
  const auto found = services_.find(service);
  return found == services_.end() || found->second.known.history.isListed(software);
}

bool SoftwareHistories::hasSeveral(const ServiceName& service, absl::Duration clock) const {
  const auto found = services_.find(service);
  if (found == services_.end()) {
    return false;
  }
  const std::vector<SoftwareUse>& versions = found->second.known.history.versions;
  return std::count_if(versions.begin(), versions.end(), [clock](const SoftwareUse& use) {
           return use.last_listed + SoftwareHistory::kListLag >= clock;
         }) > 1;
}

std::optional<SoftwareHistories::Known> SoftwareHistories::nextWrite(const ServiceName& service,
                                                                     const Observation& observation,
                                                                     absl::Duration clock) const {
  const auto found = services_.find(service);
  const bool is_new = found == services_.end();
  if (is_new && observation.listed.empty()) {
    return std::nullopt;
  }
  const Entry entry = is_new ? firstEntry(observation, clock) : found->second;
  Known next = entry.known;
  noteSurroundings(next.history, observation, clock);
  for (SoftwareUse& use : next.history.versions) {
    if (observation.listed.contains(use.software)) {
      use.last_listed = absl::InfiniteDuration();
    } else if (use.isListed() && !observation.recent.contains(use.software)) {
      use.last_listed = clock;
    }
  }
  for (const SoftwareVersion& software : observation.listed) {
    if (findUse(next.history, software) == nullptr) {
      next.history.versions.push_back({software});
    }
  }
  if (!entry.is_row_behind && next.history == entry.known.history) {
    return std::nullopt;
  }
  dropForgotten(next.history, clock);
  return next;
}

// Of a service of which the store has no row.
SoftwareHistories::Entry SoftwareHistories::firstEntry(const Observation& observation, absl::Duration clock) {
  Entry entry;
  entry.is_row_behind = true;
  SoftwareHistory& history = entry.known.history;
  history.complete_since = observation.is_complete ? -absl::InfiniteDuration() : clock;
  history.routes = {observation.routes, observation.configuration,
                    history.complete_since - SoftwareHistory::kListLag};
  history.era = observation.era;
  return entry;
}

}  // namespace quincewick::forwarding
