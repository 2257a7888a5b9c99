#include "tests/configuration/replica_world.h"

#include <absl/strings/str_cat.h>

#include <ctime>
#include <utility>

#include "configuration/store_format.h"

namespace quincewick::configuration {
namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
constexpr absl::Duration kStoreTimeout = absl::Seconds(1);
constexpr absl::Duration kProposalTime = absl::Seconds(5);

}  // namespace

ReplicaWorld::ReplicaWorld(WorldOptions options)
    : options_(options), random_(options.seed), now_(absl::FromUnixSeconds(1'800'000'000)) {
  for (uint32_t number = 0; number < options.nodes; ++number) {
    Node node;
    node.zone = number % options.zones;
    node.id = NodeId(absl::StrCat("node-", node.zone, "-", number / options.zones));
    index_[node.id] = nodes_.size();
    nodes_.push_back(std::move(node));
  }
  for (size_t node = 0; node < nodes_.size(); ++node) {
    restart(node);
  }
}

void ReplicaWorld::at(absl::Time time, std::function<void()> action) {
  queue_.emplace(std::pair(time, next_event_++), std::move(action));
}

void ReplicaWorld::run(absl::Duration duration) {
  const absl::Time end = now_ + duration;
  while (!queue_.empty() && queue_.begin()->first.first <= end) {
    auto event = queue_.extract(queue_.begin());
    now_ = event.key().first;
    event.mapped()();
  }
  now_ = end;
}

bool ReplicaWorld::chance(double probability) {
  return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

absl::Duration ReplicaWorld::between(absl::Duration least, absl::Duration most) {
  return least + (most - least) * std::uniform_real_distribution<double>(0, 1)(random_);
}

void ReplicaWorld::crash(size_t node) {
  if (isUp(node)) {
    nodes_[node].replica.reset();
    at(now_ + membership_lag, [this] { tellPeers(); });
  }
}

void ReplicaWorld::restart(size_t node) {
  Node& place = nodes_[node];
  ReplicaSettings settings;
  settings.node = place.id;
  settings.zone = ZoneName(absl::StrCat("zone-", place.zone));
  settings.snapshot_interval = options_.snapshot_interval;
  settings.initial_policy = initial_policy;
  place.replica = std::make_unique<ConfigurationReplica>(settings, now_);
  place.last_version = {};
  place.paused_until = absl::InfinitePast();
  ++place.life;
  at(now_ + between(absl::ZeroDuration(), absl::Milliseconds(20)), [this] { tellPeers(); });
  startTicks(node);
}

void ReplicaWorld::startTicks(size_t node) {
  const uint64_t life = nodes_[node].life;
  const auto tick = std::make_shared<std::function<void()>>();
  const std::weak_ptr<std::function<void()>> weak = tick;
  *tick = [this, node, life, weak] {
    if (!isUp(node) || nodes_[node].life != life) {
      return;
    }
    deliver(node, life, Tick{});
    at(now_ + kTickInterval, [again = weak.lock()] { (*again)(); });
  };
  at(now_ + between(absl::ZeroDuration(), kTickInterval), [tick] { (*tick)(); });
}

void ReplicaWorld::tellPeers() {
  PeersChanged event;
  for (const Node& node : nodes_) {
    if (node.replica != nullptr) {
      event.peers.push_back({node.id, ZoneName(absl::StrCat("zone-", node.zone))});
    }
  }
  for (size_t node = 0; node < nodes_.size(); ++node) {
    deliver(node, nodes_[node].life, event);
  }
}

void ReplicaWorld::pause(size_t node, absl::Duration duration) {
  nodes_[node].paused_until = now_ + duration;
}

void ReplicaWorld::heal() {
  store_faults = {};
  network_faults = {};
  cut_zones_.clear();
  for (size_t node = 0; node < nodes_.size(); ++node) {
    nodes_[node].paused_until = absl::InfinitePast();
    if (!isUp(node)) {
      restart(node);
    }
  }
}

void ReplicaWorld::deliver(size_t node, uint64_t life, ReplicaEvent event) {
  Node& place = nodes_[node];
  if (place.replica == nullptr || place.life != life) {
    return;
  }
  if (now_ < place.paused_until) {
    if (!std::holds_alternative<Tick>(event)) {
      at(place.paused_until, [this, node, life, event = std::move(event)] { deliver(node, life, event); });
    }
    return;
  }
  const std::clock_t began = std::clock();
  ReplicaActions actions = place.replica->handle(event, now_, random_);
  counters_.handling += absl::Seconds(static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC);
  perform(node, std::move(actions));
  checkVersion(node);
}

void ReplicaWorld::perform(size_t node, ReplicaActions actions) {
  for (const ReplicaAction& action : actions) {
    if (const auto* message = std::get_if<SendToPeer>(&action)) {
      send(node, *message);
    } else if (const auto* call = std::get_if<PlatformCall>(&action)) {
      callStore(node, *call);
    } else if (const auto* finished = std::get_if<ProposalFinished>(&action)) {
      finishProposal(*finished);
    } else if (const auto* in_force = std::get_if<VersionInForce>(&action)) {
      if (on_in_force) {
        on_in_force(node, in_force->version);
      }
    }
  }
}

void ReplicaWorld::send(size_t node, const SendToPeer& message) {
  const std::string bytes = encodePeerMessage(message.message);
  ++counters_.messages;
  counters_.message_bytes += bytes.size();
  const auto target = index_.find(message.to);
  if (target == index_.end() || chance(network_faults.loss)) {
    return;
  }
  const size_t to = target->second;
  const bool cut = nodes_[node].zone != nodes_[to].zone &&
                   (cut_zones_.contains(nodes_[node].zone) || cut_zones_.contains(nodes_[to].zone));
  if (cut) {
    return;
  }
  const absl::Duration distance =
      nodes_[node].zone == nodes_[to].zone ? absl::Milliseconds(2) : options_.zone_distance;
  const int copies = chance(network_faults.duplication) ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const absl::Duration most = chance(network_faults.long_delay) ? absl::Milliseconds(500) : distance;
    at(now_ + between(absl::Milliseconds(1), most),
       [this, to, life = nodes_[to].life, from = nodes_[node].id, bytes] {
         const Result<PeerMessage> decoded = decodePeerMessage(bytes);
         if (!decoded) {
           violation("a message can't be decoded: " + decoded.error().message);
           return;
         }
         deliver(to, life, PeerMessageReceived{from, decoded.value()});
       });
  }
}

void ReplicaWorld::callStore(size_t node, const PlatformCall& call) {
  const bool writes = std::holds_alternative<TableTransaction>(call.request) ||
                      std::holds_alternative<ObjectPut>(call.request) ||
                      std::holds_alternative<ObjectDelete>(call.request);
  ++(writes ? counters_.store_writes : counters_.store_reads);
  const uint64_t life = nodes_[node].life;
  const auto reply = [this, node, life, id = call.id](PlatformResult result, absl::Duration delay) {
    at(now_ + delay, [this, node, life, id, result = std::move(result)] {
      deliver(node, life, PlatformReply{id, result});
    });
  };
  const Error lost{writes ? ErrorCode::kOutcomeUnknown : ErrorCode::kUnavailable, "no answer",
                   writes ? Execution::kUnknown : Execution::kNotRun};
  if (store_faults.down) {
    reply(Error{ErrorCode::kUnavailable, "down", Execution::kNotRun}, absl::Milliseconds(5));
  } else if (chance(store_faults.lost_request)) {
    reply(lost, kStoreTimeout);
  } else if (chance(store_faults.lost_answer)) {
    execute(call.request);
    reply(lost, kStoreTimeout);
  } else if (chance(store_faults.late_effect)) {
    reply(lost, kStoreTimeout);
    at(now_ + between(kStoreTimeout, kStoreTimeout * 5),
       [this, request = call.request] { execute(request); });
  } else {
    const absl::Duration there = between(absl::Milliseconds(1), store_faults.delay);
    at(now_ + there, [this, reply, request = call.request] {
      reply(execute(request), between(absl::Milliseconds(1), store_faults.delay));
    });
  }
}

PlatformResult ReplicaWorld::execute(const PlatformRequest& request) {
  if (const auto* transaction = std::get_if<TableTransaction>(&request)) {
    return transact(*transaction);
  }
  if (const auto* read = std::get_if<TableRead>(&request)) {
    TableItems items;
    for (const std::string& key : read->keys) {
      const auto item = table_.find(key);
      items.items.push_back(item == table_.end() ? TableItem{key, "", kAbsentItemVersion} : item->second);
    }
    return items;
  }
  if (const auto* scan = std::get_if<TableScan>(&request)) {
    TableItems items;
    for (auto item = table_.upper_bound(std::max(scan->prefix, scan->after));
         item != table_.end() && item->first.starts_with(scan->prefix) && items.items.size() < scan->limit;
         ++item) {
      items.items.push_back(item->second);
    }
    return items;
  }
  if (const auto* put = std::get_if<ObjectPut>(&request)) {
    objects_[put->name] = put->bytes;
    return ObjectStored{};
  }
  if (const auto* get = std::get_if<ObjectGet>(&request)) {
    const auto object = objects_.find(get->name);
    if (object == objects_.end()) {
      return Error{ErrorCode::kNotFound, "no such object", Execution::kNotRun};
    }
    return ObjectContent{object->second};
  }
  if (const auto* erase = std::get_if<ObjectDelete>(&request)) {
    objects_.erase(erase->name);
    return ObjectStored{};
  }
  return Error{ErrorCode::kInternal, "not modelled", Execution::kNotRun};
}

PlatformResult ReplicaWorld::transact(const TableTransaction& transaction) {
  TableConflict conflict;
  bool holds = true;
  for (const TableCondition& condition : transaction.conditions) {
    const auto item = table_.find(condition.key);
    const TableItem present = item == table_.end() ? TableItem{condition.key, "", 0} : item->second;
    holds = holds && present.version == condition.version;
    conflict.items.push_back(present);
  }
  if (!holds) {
    return conflict;
  }
  TableCommitted committed;
  for (const TableWrite& write : transaction.writes) {
    if (!write.value) {
      table_.erase(write.key);
      committed.versions.push_back(kAbsentItemVersion);
      continue;
    }
    TableItem& item = table_[write.key];
    item = {write.key, *write.value, item.version + 1};
    committed.versions.push_back(item.version);
    if (write.key.starts_with(kLogPrefix)) {
      noteAccepted(decodeRecord(*write.value).value());
    }
  }
  return committed;
}

void ReplicaWorld::noteAccepted(const ChangeRecord& record) {
  if (record.version.value() != accepted_.size() + 1) {
    violation(absl::StrCat("version ", record.version.value(), " follows ", accepted_.size()));
    return;
  }
  if (!accepted_operations_.emplace(record.operation, record.version).second) {
    violation("operation " + record.operation.value() + " was accepted twice");
  }
  const ConfigurationVersion base = proposals_.at(record.operation).event.base;
  for (const ObjectChange& change : record.changes) {
    if (changed_in_[change.key] > base) {
      violation("a change of " + change.key.value() + " was lost");
    }
    changed_in_[change.key] = record.version;
  }
  accepted_.push_back(record);
  accepted_at_.push_back(now_);
  oracle_document_.append(record);
  if (options_.check_documents) {
    oracle_documents_.emplace(record.version.value(), oracle_document_);
  }
}

OperationId ReplicaWorld::propose(size_t node, std::vector<ObjectChange> changes, uint64_t base_lag) {
  const OperationId operation(absl::StrCat("operation-", ++next_proposal_));
  Proposal proposal;
  proposal.event.operation = operation;
  proposal.event.author = absl::StrCat("author-", node);
  proposal.event.changes = std::move(changes);
  const uint64_t held = isUp(node) ? replica(node).version().value() : 0;
  proposal.event.base = ConfigurationVersion(held - std::min(held, base_lag));
  proposals_.emplace(operation, std::move(proposal));
  repeat(node, operation);
  return operation;
}

void ReplicaWorld::repeat(size_t node, const OperationId& operation) {
  if (!isUp(node)) {
    return;
  }
  Proposal& proposal = proposals_.at(operation);
  proposal.event.id = ProposalId(++next_proposal_);
  proposal.event.deadline = now_ + kProposalTime;
  ++proposal.open;
  sends_[proposal.event.id] = operation;
  deliver(node, nodes_[node].life, proposal.event);
}

void ReplicaWorld::finishProposal(const ProposalFinished& finished) {
  const auto send = sends_.find(finished.id);
  if (send == sends_.end()) {
    violation("a proposal was answered twice");
    return;
  }
  const OperationId operation = send->second;
  sends_.erase(send);
  Proposal& proposal = proposals_.at(operation);
  --proposal.open;
  const auto made = accepted_operations_.find(operation);
  if (const auto* accepted = std::get_if<ProposalAccepted>(&finished.outcome)) {
    proposal.settled = false;
    if (accepted->changed && (made == accepted_operations_.end() || made->second != accepted->version)) {
      violation("an answer says accepted, and it is not so: " + operation.value());
    }
  } else if (const auto* conflict = std::get_if<ChangeConflict>(&finished.outcome)) {
    const uint64_t winner = conflict->version.value();
    const bool is_true = winner > proposal.event.base.value() && winner <= accepted_.size() &&
                         accepted_[winner - 1].author == conflict->author;
    if (!is_true || made != accepted_operations_.end()) {
      violation("a conflict is not true: " + operation.value());
    }
  } else if (const auto* error = std::get_if<Error>(&finished.outcome)) {
    proposal.settled = proposal.settled && error->execution == Execution::kNotRun;
    if (error->execution == Execution::kNotRun && made != accepted_operations_.end() && proposal.open == 0 &&
        proposal.settled) {
      violation("an answer says not run, and it has run: " + operation.value());
    }
  }
}

void ReplicaWorld::checkVersion(size_t node) {
  Node& place = nodes_[node];
  const ConfigurationVersion version = place.replica->version();
  if (version < place.last_version) {
    violation(absl::StrCat("node ", node, " went back"));
  }
  const bool risen = version > place.last_version;
  place.last_version = version;
  if (version.value() > accepted_.size()) {
    violation("a node holds a version that was never accepted");
  } else if (options_.check_documents && risen &&
             !(place.replica->document() == oracle_documents_.at(version.value()))) {
    violation(absl::StrCat("node ", node, " holds another version ", version.value()));
  }
}

size_t ReplicaWorld::logLength() const {
  size_t length = 0;
  for (const auto& [key, item] : table_) {
    length += key.starts_with(kLogPrefix) ? 1 : 0;
  }
  return length;
}

void ReplicaWorld::checkConverged() {
  for (size_t node = 0; node < nodes_.size(); ++node) {
    const uint64_t version = replica(node).version().value();
    if (version != accepted_.size()) {
      violation(absl::StrCat("node ", node, " is at ", version, " of ", accepted_.size()));
    }
    if (!replica(node).isReady()) {
      violation(absl::StrCat("node ", node, " is not ready"));
    }
  }
  for (const auto& [operation, proposal] : proposals_) {
    if (proposal.settled && proposal.open == 0 && accepted_operations_.contains(operation)) {
      violation("what was answered as not run came into force: " + operation.value());
    }
  }
  // Every accepted change is kept: in the log or in an audit object.
  std::set<uint64_t> kept;
  for (const auto& [key, item] : table_) {
    if (key.starts_with(kLogPrefix)) {
      kept.insert(decodeRecord(item.value).value().version.value());
    }
  }
  for (const auto& [name, bytes] : objects_) {
    if (name.starts_with("configuration/audit/")) {
      const AuditSegment segment = decodeAuditSegment(bytes).value();
      for (const ChangeRecord& record : segment.records) {
        kept.insert(record.version.value());
      }
    }
  }
  if (kept.size() != accepted_.size()) {
    violation("audit records are missing");
  }
}

}  // namespace quincewick::configuration
