#include "forwarding/brittleness.h"

#include <algorithm>

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kSoundValidityIsolated = absl::Seconds(2);
constexpr absl::Duration kStatementLifetime = absl::Minutes(5);
constexpr size_t kMaxServers = 20'000;

}  // namespace

void BrittlenessRegister::noteBrittle(Service& service, uint32_t max_rejections, absl::Time now) {
  const bool is_current = now - service.brittle_at <= kBrittleValidity;
  service.max_rejections = is_current ? std::min(service.max_rejections, max_rejections) : max_rejections;
  service.brittle_at = now;
}

void BrittlenessRegister::noteStatement(uint64_t server, const ServiceName& service,
                                        std::optional<uint32_t> max_rejections, absl::Time now) {
  if (servers_.size() >= kMaxServers) {
    absl::erase_if(servers_, [now](const auto& entry) { return now - entry.second.at > kStatementLifetime; });
  }
  servers_[server] = {max_rejections.value_or(0), now};
  Service& known = services_[service];
  if (max_rejections) {
    noteBrittle(known, *max_rejections, now);
  } else {
    known.sound_at = now;
  }
}

void BrittlenessRegister::noteReport(const ServiceName& service, uint32_t max_rejections, absl::Time now) {
  noteBrittle(services_[service], max_rejections, now);
}

void BrittlenessRegister::noteRecordedSound(const ServiceName& service, absl::Time at) {
  recorded_sound_[service] = at;
}

std::vector<BrittlenessRegister::SoundService> BrittlenessRegister::soundServices(absl::Time now) const {
  std::vector<SoundService> sound;
  for (const auto& [service, known] : services_) {
    if (now - known.sound_at <= kSoundValidity && !isBrittle(service, now)) {
      sound.push_back({service, known.sound_at});
    }
  }
  return sound;
}

void BrittlenessRegister::forgetSound() {
  for (auto& [service, known] : services_) {
    known.sound_at = absl::InfinitePast();
  }
  recorded_sound_.clear();
  absl::erase_if(servers_, [](const auto& entry) { return entry.second.max_rejections == 0; });
}

quota::RejectionTolerance BrittlenessRegister::toleranceOf(uint64_t server, const ServiceName& service,
                                                           bool is_isolated, absl::Time now) const {
  const absl::Duration validity = is_isolated ? kSoundValidityIsolated : kSoundValidity;
  const auto own = servers_.find(server);
  const auto known = services_.find(service);
  if (own != servers_.end() && own->second.max_rejections > 0) {
    return {true, own->second.max_rejections};
  }
  if (isBrittle(service, now)) {
    const bool is_newer = own != servers_.end() && own->second.at > known->second.brittle_at;
    return is_newer ? quota::RejectionTolerance{true, 0}
                    : quota::RejectionTolerance{true, known->second.max_rejections};
  }
  const auto recorded = recorded_sound_.find(service);
  const absl::Time sound_at =
      std::max(known == services_.end() ? absl::InfinitePast() : known->second.sound_at,
               recorded == recorded_sound_.end() ? absl::InfinitePast() : recorded->second);
  return {now - sound_at <= validity, 0};
}

bool BrittlenessRegister::isBrittle(const ServiceName& service, absl::Time now) const {
  const auto known = services_.find(service);
  return known != services_.end() && now - known->second.brittle_at <= kBrittleValidity;
}

bool BrittlenessRegister::isAnyBrittle(absl::Time now) const {
  return std::any_of(services_.begin(), services_.end(),
                     [now](const auto& entry) { return now - entry.second.brittle_at <= kBrittleValidity; });
}

}  // namespace quincewick::forwarding
