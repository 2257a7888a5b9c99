#include "gateway/site_follower.h"

#include <algorithm>
#include <string>
#include <utility>

#include "gateway/stream_origin_exchange.h"

namespace quincewick::gateway {
namespace {

using forwarding::StoreRow;
using forwarding::TableUpdate;

constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
// A gateway that neither reads nor follows can't serve, so it looks for a reader more often.
constexpr absl::Duration kTickIntervalWithoutRole = absl::Milliseconds(20);
// After a start, peers with rows in the store count as live for so long before they are heard from.
constexpr absl::Duration kPeerDiscoveryTime = absl::Milliseconds(1200);
// How long a reader holds a follower's long poll. Every read of the store is forwarded at once, so a reader
// whose store calls fail is silent for this long.
constexpr absl::Duration kRelayWait = absl::Milliseconds(1000);
constexpr absl::Duration kRarelyChangedRelayWait = absl::Seconds(2);
// Rollout records rarely change, but while a rollout runs, gateways must know how stale their record is.
constexpr absl::Duration kRolloutsWait = absl::Seconds(20);
constexpr absl::Duration kRunningRolloutsWait = absl::Seconds(1);
// Retry delay for a reader of an earlier build, which doesn't serve the tables that are newer.
constexpr absl::Duration kNewTableRetryDelay = absl::Seconds(1);
// Between checks of the software record that no change of the list of servers causes.
constexpr absl::Duration kSoftwareRecordInterval = absl::Milliseconds(500);
// Upper limit of the interval between a reader's snapshots of the operator's rows.
constexpr absl::Duration kMaxSnapshotInterval = absl::Seconds(1);
// Readers assign versions slightly ahead of the store's to changes that they found late. A follower that
// changes its reader requests so many earlier versions again, which saves a snapshot for a copy that differs.
constexpr uint64_t kVersionOverlap = 16;
// The platform guarantees that lost entries are back 2 s after a restore; the rest covers their propagation.
constexpr absl::Duration kEntriesReturnTime = absl::Milliseconds(2500);

// Versions of weights and of software come rarely, and each reader records those that it sees.
TableFollowerSettings recordSettings(const char* table) {
  TableFollowerSettings settings;
  settings.table = table;
  settings.pace.wait = absl::Seconds(20);
  settings.pace.snapshot_period = absl::Minutes(1);
  return settings;
}

TableFollowerSettings rolloutSettings() {
  TableFollowerSettings settings;
  settings.table = RolloutExchange::kTable;
  settings.pace.wait = kRolloutsWait;
  settings.pace.snapshot_period = absl::Minutes(1);
  return settings;
}

// A response reflects the list as of its request. With a pause of a quarter of the server drain time between
// requests and a long poll of a sixteenth of it, the list is at most three eighths of the drain time old
// while the store responds. From a half on, followers look for another reader.
TableFollowerSettings serverSettings(const Core& core) {
  TableFollowerSettings settings;
  settings.table = core.dialect->tables().servers;
  settings.pace.wait = core.settings.bounds.server_drain / 16;
  settings.pace.pause = core.settings.bounds.server_drain / 4;
  settings.pace.snapshot_period = absl::Seconds(6);
  return settings;
}

// While the store responds, a reader's rows stay well below the staleness at which followers leave it.
TableFollowerSettings operatorSettings(const Core& core) {
  TableFollowerSettings settings;
  settings.table = core.dialect->tables().configuration;
  settings.pace.wait = absl::Seconds(10);
  settings.pace.snapshot_period =
      std::min(kMaxSnapshotInterval, core.settings.bounds.configuration_in_force / 3);
  return settings;
}

const char* nameOf(forwarding::PassOverReason reason) {
  switch (reason) {
    case forwarding::PassOverReason::kEarlierVersion:
      return "earlier_version";
    case forwarding::PassOverReason::kLowerRank:
      return "lower_number";
    case forwarding::PassOverReason::kNotRenewed:
      return "not_renewed";
  }
  return "unknown";
}

}  // namespace

SiteFollower::SiteFollower(Core& core, PeerDirectory& peers, PeerExchange& exchange, RowRelay& relay)
    : core_(core),
      peers_(peers),
      exchange_(exchange),
      relay_(relay),
      election_(core.settings.gateway_id, core.settings.capacity),
      list_(core),
      refused_rows_(core, core.dialect->tables().configuration),
      weights_record_(core),
      software_record_(core),
      confirmer_(core, [this](const TableUpdate& update) { handleConfirmation(update); }),
      parser_(*core.dialect),
      operator_rows_{
          core.dialect->tables().configuration,
          forwarding::RowCache(operatorRowRules(*core.dialect, parser_)),
          TableFollower(core, operatorSettings(core),
                        [this](const TableUpdate& update) { handleStoreUpdate(operator_rows_, update); }),
          RelayFollower(
              core, peers, core.dialect->tables().configuration, kRelayWait,
              [this](const TableUpdate& update) { return handleRelayedConfiguration(update); },
              [this] { handlePeersRestore(); },
              [this](const NodeId& reader) { handleReaderFailure(reader); })},
      servers_{core.dialect->tables().servers, forwarding::RowCache(serverRowRules(*core.dialect)),
               TableFollower(core, serverSettings(core),
                             [this](const TableUpdate& update) { handleStoreUpdate(servers_, update); }),
               RelayFollower(
                   core, peers, core.dialect->tables().servers, kRelayWait,
                   [this](const TableUpdate& update) { return handleRelayedUpdate(servers_, update); },
                   [this] { handlePeersRestore(); },
                   [this](const NodeId& reader) { handleReaderFailure(reader); })},
      weights_rows_{
          WeightsRecord::kTable, forwarding::RowCache(versionedRowRules()),
          TableFollower(core, recordSettings(WeightsRecord::kTable),
                        [this](const TableUpdate& update) { handleStoreUpdate(weights_rows_, update); }),
          RelayFollower(
              core, peers, WeightsRecord::kTable, kRarelyChangedRelayWait,
              [this](const TableUpdate& update) { return handleRelayedUpdate(weights_rows_, update); },
              [this] { handlePeersRestore(); },
              [this](const NodeId& reader) { handleReaderFailure(reader); })},
      software_rows_{
          SoftwareRecord::kTable, forwarding::RowCache(versionedRowRules()),
          TableFollower(core, recordSettings(SoftwareRecord::kTable),
                        [this](const TableUpdate& update) { handleStoreUpdate(software_rows_, update); }),
          RelayFollower(
              core, peers, SoftwareRecord::kTable, kRarelyChangedRelayWait,
              [this](const TableUpdate& update) { return handleRelayedUpdate(software_rows_, update); },
              [this] { handlePeersRestore(); },
              [this](const NodeId& reader) { retryLater(software_rows_, reader); })},
      rollout_rows_{
          RolloutExchange::kTable, forwarding::RowCache(versionedRowRules()),
          TableFollower(core, rolloutSettings(),
                        [this](const TableUpdate& update) { handleStoreUpdate(rollout_rows_, update); }),
          RelayFollower(
              core, peers, RolloutExchange::kTable, kRunningRolloutsWait,
              [this](const TableUpdate& update) { return handleRelayedUpdate(rollout_rows_, update); },
              [this] { handlePeersRestore(); },
              [this](const NodeId& reader) { retryLater(rollout_rows_, reader); })} {}

std::vector<SiteFollower::Table*> SiteFollower::tables() {
  std::vector<Table*> followed = {&operator_rows_, &servers_, &weights_rows_, &software_rows_};
  if (core_.rollouts != nullptr) {
    followed.push_back(&rollout_rows_);
  }
  return followed;
}

void SiteFollower::start() {
  for (const Table* const table : tables()) {
    relay_.offer(table->name, &table->cache);
  }
  tick();
}

bool SiteFollower::isZoneReader() const {
  return role_.reads && isStoreResponding() && !core_.is_stopping && operator_rows_.cache.hasSnapshot() &&
         servers_.cache.hasSnapshot() && weights_rows_.cache.hasSnapshot() &&
         software_rows_.cache.hasSnapshot() &&
         (core_.rollouts == nullptr || rollout_rows_.cache.hasSnapshot()) &&
         reactor::steadyNow() - operator_rows_.cache.confirmed() < maxConfigurationAge();
}

bool SiteFollower::isStoreResponding() const {
  const bool is_list_fresh = reactor::steadyNow() - servers_.cache.asOf() <= maxServerListAge();
  return is_list_fresh && !operator_rows_.from_store.isDown() && !servers_.from_store.isDown();
}

absl::Duration SiteFollower::maxServerListAge() const {
  return forwarding::ReaderElection::maxServerListAge(core_.settings.bounds.server_drain);
}

absl::Duration SiteFollower::maxConfigurationAge() const {
  return forwarding::ReaderElection::maxConfigurationAge(core_.settings.bounds.configuration_in_force);
}

// Reading the peers first costs one store call and shows whether one of them is a reader already. Reading all
// tables takes several calls.
bool SiteFollower::knowsPeers() const {
  return !core_.settings.listen.peers || peers_.authenticator() != nullptr;
}

void SiteFollower::tick() {
  const absl::Time now = reactor::steadyNow();
  checkRestores(now);
  confirmation_watch_.tick(now, operator_rows_.cache.confirmed(), kTickInterval);
  core_.is_operator_out_of_reach =
      confirmation_watch_.isOutOfReach(core_.settings.bounds.configuration_in_force);
  list_.removeGone(now);
  if (now >= software_recorded_ + kSoftwareRecordInterval) {
    recordSoftware(now);
  }
  if (knowsPeers()) {
    peers_known_since_ = std::min(peers_known_since_, now);
    checkReaderStaleness(now);
    applyRole(election_.decide(candidates(now), isStoreResponding(), now));
    checkIsolation(now);
    confirmer_.tick([this, now] { return role_.reads || exchange_.hasLiveReader(now); }, now);
  }
  core_.timers.schedule(now + (seeksReader() ? kTickIntervalWithoutRole : kTickInterval), [this] { tick(); });
}

// A reader may respond but have stale rows: followers don't wait until it notices that itself.
void SiteFollower::checkReaderStaleness(absl::Time now) {
  const bool is_outdated = election_.followsStaleReader(relayed_confirmed_, maxConfigurationAge(), now) ||
                           election_.followsStaleReader(core_.servers_as_of, maxServerListAge(), now);
  if (is_outdated) {
    election_.noteStaleReader(*role_.follows, now);
  }
  if (std::exchange(is_reader_outdated_, is_outdated) || !is_outdated) {
    return;
  }
  core_.log.event("reader_outdated", now)
      .with("peer", role_.follows->value())
      .with("confirmed_ms_ago", now - relayed_confirmed_)
      .with("list_is_old_ms", now - core_.servers_as_of);
}

// A stale list is an outage only if no peer has a fresh one: marks the list as unavailable only when no live
// reader is known and peers are reachable.
void SiteFollower::checkIsolation(absl::Time now) {
  const bool is_list_old = now - core_.servers_as_of > maxServerListAge();
  if (is_list_old && !election_.hasZoneReader() && !exchange_.areNearPeersSilent(now)) {
    list_.noteStoreOutage();
  }
}

void SiteFollower::handleReaderFailure(const NodeId& reader) {
  core_.log.event("reader_failed", reactor::steadyNow()).with("peer", reader.value());
  election_.noteFailed(reader, reactor::steadyNow());
  for (Table* const table : tables()) {
    table->from_peer.stop();
  }
  role_.follows.reset();
}

void SiteFollower::retryLater(Table& table, const NodeId& reader) {
  core_.timers.schedule(reactor::steadyNow() + kNewTableRetryDelay, [this, &table, reader] {
    if (role_.follows == reader) {
      table.from_peer.follow(reader, peers_.peers().at(reader).address, 0);
    }
  });
}

std::vector<forwarding::ReaderCandidate> SiteFollower::candidates(absl::Time now) const {
  std::vector<forwarding::ReaderCandidate> result;
  const bool is_discovering = now < peers_known_since_ + kPeerDiscoveryTime;
  for (const auto& [id, peer] : peers_.peers()) {
    const bool is_expected = is_discovering && peer.last_received == absl::InfinitePast();
    if (peers_.isOwnZone(peer) && (is_expected || exchange_.isLive(peer, now))) {
      result.push_back({id, peer.capacity, peer.is_zone_reader});
    }
  }
  return result;
}

void SiteFollower::applyRole(const forwarding::ReaderRole& role) {
  if (role == role_) {
    return;
  }
  const bool stops_reading = role_.reads && !role.reads;
  role_ = role;
  is_reader_outdated_ = false;
  core_.log.event("reader_role", reactor::steadyNow())
      .with("reads", role.reads ? "true" : "false")
      .with("follows", role.follows ? role.follows->value() : "");
  for (Table* const table : tables()) {
    if (role.reads) {
      table->from_peer.stop();
      table->from_store.start();
      continue;
    }
    table->from_store.stop();
    if (role.follows) {
      const uint64_t known = table->cache.version();
      table->from_peer.follow(*role.follows, peers_.peers().at(*role.follows).address,
                              known - std::min(known, kVersionOverlap));
    } else {
      table->from_peer.stop();
    }
  }
  if (stops_reading) {
    relay_.refuseAll();
  }
  relay_.setServing(role.reads);
}

// A table's follower may be running its callback: it is restarted from the reactor's next turn.
void SiteFollower::checkRestores(absl::Time now) {
  if (std::exchange(restores_, core_.store_history.restores()) == core_.store_history.restores()) {
    return;
  }
  for (Table* const table : tables()) {
    table->cache.noteRestore(now);
  }
  entries_return_until_ = now + kEntriesReturnTime;
  peers_.rereadAfterRestore();
  core_.timers.schedule(now, [this] {
    for (Table* const table : tables()) {
      rereadTable(*table);
    }
  });
  core_.timers.schedule(entries_return_until_, [this] { rereadTable(servers_); });
}

void SiteFollower::rereadTable(Table& table) {
  if (role_.reads) {
    table.from_store.restart();
  }
}

void SiteFollower::handlePeersRestore() {
  core_.log.event("store_went_back", reactor::steadyNow()).with("noticed_by", role_.follows->value());
  core_.metrics.countStoreWentBack();
  core_.store_history.noteContradiction(reactor::steadyNow());
}

void SiteFollower::handleStoreUpdate(Table& table, TableUpdate update) {
  const absl::Time now = reactor::steadyNow();
  checkRestores(now);
  update.keeps_missing = &table == &servers_ && now < entries_return_until_;
  const forwarding::AppliedUpdate effect = applyUpdate(table, update, true);
  if (effect.superseded > 0 && effect.last_superseded > core_.store_history.continuousSince()) {
    core_.log.event("store_went_back", now).with("table", table.name);
    core_.metrics.countStoreWentBack();
    core_.store_history.noteContradiction(now);
  }
  relay_.notifyFollowers(table.name);
  exchange_.updateReaderStatus();
}

bool SiteFollower::handleRelayedUpdate(Table& table, const TableUpdate& update) {
  return applyUpdate(table, update, false).needs_snapshot;
}

// A reader of an earlier build may confirm rows that it passed over.
bool SiteFollower::handleRelayedConfiguration(TableUpdate update) {
  relayed_confirmed_ = std::max(relayed_confirmed_, update.confirmed);
  if (!update.digest) {
    update.confirmed = absl::InfinitePast();
  }
  return handleRelayedUpdate(operator_rows_, update);
}

// A reader whose tables are down retries them at once, for its followers.
void SiteFollower::handleConfirmation(const TableUpdate& update) {
  if (!role_.reads) {
    applyUpdate(operator_rows_, update, false);
    return;
  }
  handleStoreUpdate(operator_rows_, update);
  for (Table* const table : tables()) {
    if (table->from_store.isDown()) {
      table->from_store.restart();
    }
  }
}

forwarding::AppliedUpdate SiteFollower::applyUpdate(Table& table, const TableUpdate& update,
                                                    bool from_store) {
  const absl::Time now = reactor::steadyNow();
  checkRestores(now);
  const absl::Time confirmed = table.cache.confirmed();
  forwarding::AppliedUpdate effect = table.cache.take(update, now);
  noteContradictions(table, update, effect,
                     update.digest && role_.follows ? role_.follows->value() : "store");
  if (&table == &operator_rows_) {
    applyOperatorRows(effect.changes, confirmed, from_store);
  } else if (&table == &servers_) {
    list_.applyUpdate(effect.changes, now);
    recordSoftware(now);
  } else if (&table == &software_rows_) {
    software_record_.applyUpdate(effect.changes);
    core_.stream_origins->storeBegunAlone();
  } else if (&table == &rollout_rows_) {
    applyRollouts(effect.changes);
  } else {
    weights_record_.applyUpdate(
        update);  // rows from before the store's clock was known are applied with a later update
  }
  return effect;
}

// One line a response: a snapshot of a large table may have many such rows.
void SiteFollower::noteContradictions(const Table& table, const TableUpdate& update,
                                      const forwarding::AppliedUpdate& effect, const std::string& source) {
  const absl::Time now = reactor::steadyNow();
  if (!effect.passed_over.empty()) {
    core_.metrics.countPassedOverRows(table.name, effect.passed_over.size());
    const forwarding::PassedOverRow& first = effect.passed_over.front();
    core_.log.event("rows_passed_over", now)
        .with("table", table.name)
        .with("from", source)
        .with("rows", static_cast<int64_t>(effect.passed_over.size()))
        .with("first", first.key)
        .with("why", nameOf(first.reason))
        .with("version", static_cast<int64_t>(first.version))
        .with("known_version", static_cast<int64_t>(first.known_version))
        .with("read_began_ms_ago", now - update.as_of);
  }
  if (effect.superseded > 0) {
    core_.log.event("rows_superseded", now)
        .with("table", table.name)
        .with("from", source)
        .with("rows", static_cast<int64_t>(effect.superseded))
        .with("version", static_cast<int64_t>(update.version));
  }
  if (effect.needs_snapshot) {
    core_.log.event("copy_differs", now).with("table", table.name).with("from", source);
  }
}

void SiteFollower::applyRollouts(const TableUpdate& update) {
  core_.rollouts->handleRecords(update);
  rollout_rows_.from_store.setWait(core_.rollouts->isAnyRunning() ? kRunningRolloutsWait : kRolloutsWait);
}

// Only a complete read of the store confirms the configuration: a delayed delta must not count as newer.
void SiteFollower::applyOperatorRows(const TableUpdate& update, absl::Time unnamed, bool from_store) {
  const forwarding::StoreTables& tables = core_.dialect->tables();
  for (const StoreRow& row : update.rows) {
    if (row.key == tables.configuration_key) {
      applyConfiguration(row, from_store);
    } else if (row.key.starts_with(tables.weights_prefix) && !row.is_gone) {
      applyWeights(row, unnamed, from_store);
    } else if (core_.rollouts != nullptr && row.key.starts_with(tables.rollout_prefix)) {
      core_.rollouts->handleOperatorRow(row);
    }
  }
  has_snapshot_ = has_snapshot_ || update.is_whole;
  if (core_.in_force.configuration != nullptr && !has_unreadable_row_) {
    core_.in_force.confirmed = operator_rows_.cache.confirmed();
  }
}

// `unnamed`: the start of the last complete read before this one.
void SiteFollower::applyWeights(const StoreRow& row, absl::Time unnamed, bool from_store) {
  const auto weights = core_.dialect->readNamedWeights(row.value);
  const absl::Time now = reactor::steadyNow();
  if (weights.has_error()) {
    refused_rows_.note(row.key, weights.error().message);
    return;
  }
  refused_rows_.forget(row.key);
  const absl::Time named =
      confirmation_watch_.changedSince(now, unnamed, core_.settings.bounds.configuration_in_force);
  if (!core_.weights.note(weights.value(), named)) {
    return;
  }
  core_.log.event("weights_named", now)
      .with("model", weights.value().model.value())
      .with("version", static_cast<int64_t>(weights.value().version.value()))
      .with("named_ms_ago", now - named);
  if (has_snapshot_ && from_store) {
    weights_record_.record(weights.value(), named, [this] { rereadWeightsRecord(); });
  }
}

// A gateway that starts next asks this reader when the version was published. Rereading at once avoids
// waiting for a long poll that the store may never answer.
void SiteFollower::rereadWeightsRecord() {
  if (role_.reads) {
    weights_rows_.from_store.restart();
  }
}

// A version begins streams only once its row is known, so readers write and read it at once.
void SiteFollower::recordSoftware(absl::Time now) {
  if (isZoneReader()) {
    software_recorded_ = now;
    software_record_.noteListed(now);
    software_record_.write(now, [this] { rereadTable(software_rows_); });
  }
}

void SiteFollower::applyConfiguration(const StoreRow& row, bool from_store) {
  ConfigurationInForce& in_force = core_.in_force;
  if (row.is_gone) {
    return;
  }
  const auto& parsed = parser_.parse(row.value);
  const absl::Time now = reactor::steadyNow();
  has_unreadable_row_ = parsed.has_error();
  if (parsed.has_error()) {
    core_.log.event("configuration_refused", now).with("why", parsed.error().message);
    return;
  }
  auto line = core_.log.event("configuration", now);
  line.with("was_confirmed_ms_ago",
            in_force.configuration == nullptr ? absl::ZeroDuration() : core_.configurationAge(now));
  in_force.configuration = parsed.value();
  line.with("version", static_cast<int64_t>(in_force.configuration->version().value()))
      .with("routes", static_cast<int64_t>(in_force.configuration->routes().size()))
      .with("row_version", static_cast<int64_t>(row.version))
      .with("era", static_cast<int64_t>(core_.store_history.era().value_or(0)))
      .with("from", from_store      ? "store"
                    : role_.follows ? role_.follows->value()
                                    : "");
}

}  // namespace quincewick::gateway
