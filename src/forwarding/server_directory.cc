#include "forwarding/server_directory.h"

#include <absl/container/flat_hash_set.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace quincewick::forwarding {
namespace {

constexpr absl::Duration kFailureHalfLife = absl::Seconds(2);
constexpr absl::Duration kFirstEjection = absl::Milliseconds(400);
constexpr absl::Duration kLongestEjection = absl::Seconds(3);
constexpr absl::Duration kReassignedEjection = absl::Seconds(30);
constexpr uint32_t kLargestBackoffStep = 4;
// Afterwards the digests of peers cover what has changed since the owner's report.
constexpr absl::Duration kOwnerLoadValidity = absl::Milliseconds(400);
constexpr double kLatencySmoothing = 0.2;
// Twice the servers of the largest supported fleet: the current ones and as many that were removed.
constexpr size_t kMaxRememberedStarts = 24'000;

uint64_t hashOfId(const std::string& id) {
  return XXH3_64bits(id.data(), id.size());
}

uint64_t hashOfIncarnation(const ServerEntry& entry) {
  if (entry.started == absl::InfinitePast()) {
    return hashOfId(entry.id);
  }
  return XXH3_64bits_withSeed(entry.id.data(), entry.id.size(),
                              static_cast<uint64_t>(absl::ToUnixMillis(entry.started)));
}

}  // namespace

double Server::failureScore(absl::Time now) const {
  if (failure_score <= 0) {
    return 0;
  }
  return failure_score * std::exp2(-absl::FDivDuration(now - failure_scored_at, kFailureHalfLife));
}

ServerLoad Server::load(absl::Time now) const {
  if (now - owner_load.received > kOwnerLoadValidity) {
    return {running(), prefillTokens()};
  }
  const auto since = [](uint64_t sum, uint64_t own_then, uint64_t own_now) {
    return sum + own_now - std::min(sum + own_now, own_then);
  };
  return {static_cast<uint32_t>(since(owner_load.total.running, owner_load.own.running, own.running)),
          since(owner_load.total.prefill_tokens, owner_load.own.prefill_tokens, own.prefill_tokens)};
}

std::optional<WeightsVersion> Server::versionOf(const ModelName& model) const {
  for (const LoadedModel& loaded : entry.models) {
    if (loaded.model == model) {
      return loaded.weights_version;
    }
  }
  return std::nullopt;
}

std::optional<SoftwareVersion> Server::provenSoftware() const {
  return software_proof == SoftwareProof::kListed ? std::optional(entry.software) : std::nullopt;
}

bool Server::isLeaving() const {
  return !is_listed || entry.is_draining || back_pressure->isLeaving();
}

bool Server::mayReceive(absl::Time now) const {
  return !isLeaving() && !back_pressure->isBackingOff(now);
}

bool Server::isEligible(absl::Time now) const {
  return !isLeaving() && is_readable && now >= ejected_until && now >= loading_until &&
         now >= back_pressure->availableAt();
}

EntryEffect ServerDirectory::upsert(ServerEntry entry) {
  if (isOutdated(entry)) {
    return EntryEffect::kOutdated;
  }
  const auto found = servers_.find(entry.id);
  if (found == servers_.end()) {
    add(std::move(entry));
    return EntryEffect::kNew;
  }
  Server& server = *found->second;
  if (entry.started > server.entry.started) {
    remove(server.entry.id);
    add(std::move(entry));
    return EntryEffect::kRestarted;
  }
  const std::vector<LoadedModel> listed = std::exchange(entry.models, server.entry.models);
  const bool was_draining = server.entry.is_draining;
  noteListedSoftware(server, entry);
  // An entry without a start time belongs to the known incarnation.
  entry.started = server.entry.started;
  server.entry = std::move(entry);
  // An incarnation that drains never serves again.
  server.entry.is_draining = server.entry.is_draining || was_draining;
  server.is_readable = true;
  for (const LoadedModel& model : listed) {
    noteVersion(server, model.model, model.weights_version);
  }
  return EntryEffect::kKnown;
}

void ServerDirectory::noteListedSoftware(Server& server, const ServerEntry& entry) {
  const bool is_same_start = entry.started != absl::InfinitePast() && entry.started == server.entry.started;
  if (server.software_proof == SoftwareProof::kCarriedOver) {
    server.software_proof = is_same_start ? SoftwareProof::kListed : SoftwareProof::kCarriedOver;
  } else if (server.entry.software != entry.software) {
    server.software_proof = SoftwareProof::kContradictory;
  }
}

void ServerDirectory::noteRestart(const Server& earlier, absl::Time started,
                                  std::vector<LoadedModel> models) {
  ServerEntry entry = earlier.entry;
  entry.started = started;
  entry.is_draining = false;
  entry.models = std::move(models);
  const std::string id = entry.id;
  if (upsert(std::move(entry)) == EntryEffect::kRestarted) {
    find(id)->software_proof = SoftwareProof::kCarriedOver;
  }
}

void ServerDirectory::setReadable(const std::string& id, bool is_readable) {
  if (const ServerPointer server = find(id)) {
    server->is_readable = is_readable;
  }
}

void ServerDirectory::add(ServerEntry entry) {
  rememberStart(entry);
  auto server = std::make_shared<Server>();
  server->entry = std::move(entry);
  server->slot = takeSlot();
  server->identity_hash = hashOfIncarnation(server->entry);
  server->home_hash = hashOfId(server->entry.id);
  restoreBackPressure(*server);
  by_slot_[static_cast<size_t>(server->slot)] = server;
  by_service_[server->entry.service].push_back(server);
  by_hash_.emplace(server->identity_hash, server);
  servers_.emplace(server->entry.id, server);
}

// An entry without a start time is never outdated.
bool ServerDirectory::isOutdated(const ServerEntry& entry) const {
  const auto last = last_starts_.find(entry.id);
  return last != last_starts_.end() && entry.started != absl::InfinitePast() && entry.started < last->second;
}

void ServerDirectory::rememberStart(const ServerEntry& entry) {
  if (entry.started == absl::InfinitePast()) {
    return;
  }
  if (last_starts_.insert_or_assign(entry.id, entry.started).second) {
    last_starts_order_.push_back(entry.id);
  }
  if (last_starts_order_.size() > kMaxRememberedStarts) {
    last_starts_.erase(last_starts_order_.front());
    last_starts_order_.pop_front();
  }
}

void ServerDirectory::remove(const std::string& id) {
  const auto found = servers_.find(id);
  if (found == servers_.end()) {
    return;
  }
  const ServerPointer server = found->second;
  server->is_listed = false;
  if (server->entry.is_draining) {
    server->back_pressure->noteLeaving();  // also if a restored store lists the incarnation as ready again
  }
  keepBackPressure(*server);
  servers_.erase(found);
  by_hash_.erase(server->identity_hash);
  std::erase(by_service_[server->entry.service], server);
  by_slot_[static_cast<size_t>(server->slot)] = nullptr;
  freed_.push_back(server->slot);
}

void ServerDirectory::keepBackPressure(const Server& server) {
  if (retained_back_pressure_.insert_or_assign(server.identity_hash, server.back_pressure).second) {
    retained_back_pressure_order_.push_back(server.identity_hash);
  }
  if (retained_back_pressure_order_.size() > kMaxRememberedStarts) {
    retained_back_pressure_.erase(retained_back_pressure_order_.front());
    retained_back_pressure_order_.pop_front();
  }
}

void ServerDirectory::restoreBackPressure(Server& server) {
  if (const auto kept = retained_back_pressure_.find(server.identity_hash);
      kept != retained_back_pressure_.end()) {
    server.back_pressure = kept->second;
  }
}

std::vector<std::string> ServerDirectory::missingFrom(const std::vector<std::string>& ids) const {
  const absl::flat_hash_set<std::string> listed(ids.begin(), ids.end());
  std::vector<std::string> missing;
  for (const auto& [id, server] : servers_) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  return missing;
}

ServerDirectory::ServerPointer ServerDirectory::find(const std::string& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : found->second;
}

ServerDirectory::ServerPointer ServerDirectory::findByHash(uint64_t identity_hash) const {
  const auto found = by_hash_.find(identity_hash);
  return found == by_hash_.end() ? nullptr : found->second;
}

const std::vector<ServerDirectory::ServerPointer>& ServerDirectory::ofService(
    const ServiceName& service) const {
  static const std::vector<ServerPointer> none;
  const auto found = by_service_.find(service);
  return found == by_service_.end() ? none : found->second;
}

ServerDirectory::ServerPointer ServerDirectory::bySlot(EngineNumber slot) const {
  const auto index = static_cast<size_t>(slot);
  return index < by_slot_.size() ? by_slot_[index] : nullptr;
}

EngineNumber ServerDirectory::takeSlot() {
  const auto free = std::find(by_slot_.begin(), by_slot_.end(), nullptr);
  const auto index = static_cast<size_t>(free - by_slot_.begin());
  if (free == by_slot_.end()) {
    by_slot_.emplace_back();
  }
  return static_cast<EngineNumber>(index);
}

bool ServerDirectory::noteVersion(Server& server, const ModelName& model, WeightsVersion version) {
  for (LoadedModel& loaded : server.entry.models) {
    if (loaded.model == model) {
      const bool is_news = version > loaded.weights_version;
      loaded.weights_version = std::max(loaded.weights_version, version);
      return is_news;
    }
  }
  server.entry.models.push_back({model, version, {}});
  return true;
}

void ServerDirectory::noteConnectFailure(Server& server, absl::Time now) {
  const uint32_t step = std::min(server.connect_failures, kLargestBackoffStep);
  server.ejected_until = now + std::min(kFirstEjection * (1 << step), kLongestEjection);
  ++server.connect_failures;
}

void ServerDirectory::noteFailure(Server& server, double weight, absl::Time now) {
  server.failure_score = server.failureScore(now) + weight;
  server.failure_scored_at = now;
}

void ServerDirectory::noteSuccess(Server& server, absl::Duration latency) {
  server.connect_failures = 0;
  const double seconds = absl::ToDoubleSeconds(latency);
  server.latency_seconds =
      server.latency_seconds == 0
          ? seconds
          : server.latency_seconds + kLatencySmoothing * (seconds - server.latency_seconds);
}

void ServerDirectory::noteAddressReassigned(Server& server, absl::Time now) {
  server.ejected_until = now + kReassignedEjection;
}

void ServerDirectory::setPeerLoad(const NodeId& peer, const LoadShare& share,
                                  const std::vector<PeerLoad>& loads) {
  replaceLoad(peer_loads_[peer], share, loads, &Server::peers);
}

void ServerDirectory::forgetPeerLoad(const NodeId& peer) {
  setPeerLoad(peer, LoadShare(), {});
  peer_loads_.erase(peer);
}

void ServerDirectory::setZoneLoad(const ZoneName& zone, const LoadShare& share,
                                  const std::vector<PeerLoad>& loads) {
  replaceLoad(zone_loads_[zone], share, loads, &Server::other_zones);
}

void ServerDirectory::forgetZoneLoad(const ZoneName& zone) {
  setZoneLoad(zone, LoadShare(), {});
  zone_loads_.erase(zone);
}

void ServerDirectory::replaceLoad(std::vector<PeerLoad>& last, const LoadShare& share,
                                  const std::vector<PeerLoad>& loads, ServerLoad Server::*sum) {
  std::vector<PeerLoad> others;
  std::vector<PeerLoad> replaced;
  for (const PeerLoad& load : last) {
    (share.holds(load.server) ? replaced : others).push_back(load);
  }
  addLoad(replaced, false, sum);
  addLoad(loads, true, sum);
  others.insert(others.end(), loads.begin(), loads.end());
  last = std::move(others);
}

// Subtracts only what was added before: a server that was added since has no load from the last report.
void ServerDirectory::addLoad(const std::vector<PeerLoad>& loads, bool add, ServerLoad Server::*sum) {
  for (const PeerLoad& load : loads) {
    const ServerPointer server = findByHash(load.server);
    if (server == nullptr) {
      continue;
    }
    ServerLoad& total = (*server).*sum;
    if (add) {
      total.running += load.load.running;
      total.prefill_tokens += load.load.prefill_tokens;
    } else {
      total.running -= std::min(total.running, load.load.running);
      total.prefill_tokens -= std::min(total.prefill_tokens, load.load.prefill_tokens);
    }
  }
}

std::vector<EngineNumber> ServerDirectory::takeFreedSlots() {
  return std::exchange(freed_, {});
}

}  // namespace quincewick::forwarding
