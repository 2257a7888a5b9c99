#include "forwarding/software_history.h"

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
void serialize(Archive& archive, SoftwareHistory& history) {
  archiveTime(archive, history.complete_since);
  archiveList(archive, history.versions, kMaxVersions);
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

std::optional<SoftwareVersion> SoftwareHistory::onlyVersionSince(absl::Duration earliest) const {
  if (earliest < complete_since) {
    return std::nullopt;
  }
  std::optional<SoftwareVersion> only;
  for (const SoftwareUse& use : versions) {
    if (use.last_listed + kListLag < earliest) {
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
                                                                     const Versions& listed,
                                                                     const Versions& recent, bool is_complete,
                                                                     absl::Duration clock) const {
  const auto found = services_.find(service);
  const bool is_new = found == services_.end();
  if (is_new && listed.empty()) {
    return std::nullopt;
  }
  const Entry entry =
      is_new ? Entry{{{is_complete ? -absl::InfiniteDuration() : clock, {}}, 0}, true} : found->second;
  Known next = entry.known;
  for (SoftwareUse& use : next.history.versions) {
    if (listed.contains(use.software)) {
      use.last_listed = absl::InfiniteDuration();
    } else if (use.isListed() && !recent.contains(use.software)) {
      use.last_listed = clock;
    }
  }
  for (const SoftwareVersion& software : listed) {
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

}  // namespace quincewick::forwarding
