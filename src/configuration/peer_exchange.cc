#include "configuration/peer_exchange.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace quincewick::configuration {
namespace {

// How long an encoded document serves peers after newer versions have come.
constexpr absl::Duration kEncodedSnapshotLife = absl::Seconds(10);
// The nodes behind a relay that take over one after the other.
constexpr size_t kStandbys = 2;
// The peers asked at a start.
constexpr size_t kAskedInZone = 3;
constexpr size_t kAskedElsewhere = 2;

}  // namespace

void PeerExchange::onMessage(const PeerMessageReceived& event, absl::Time now, ReplicaActions& actions) {
  const NodeId& from = event.from;
  if (const auto* announcement = std::get_if<Announcement>(&event.message)) {
    onAnnouncement(from, *announcement, now, actions);
  } else if (const auto* changes_request = std::get_if<ChangesRequest>(&event.message)) {
    onChangesRequest(from, *changes_request, now, actions);
  } else if (const auto* batch = std::get_if<ChangeBatch>(&event.message)) {
    onChangeBatch(from, *batch, now, actions);
  } else if (const auto* snapshot_request = std::get_if<SnapshotRequest>(&event.message)) {
    onSnapshotRequest(from, *snapshot_request, now, actions);
  } else if (const auto* chunk = std::get_if<SnapshotChunk>(&event.message)) {
    onSnapshotChunk(from, *chunk, now, actions);
  }
}

void PeerExchange::onAnnouncement(const NodeId& from, const Announcement& message, absl::Time now,
                                  ReplicaActions& actions) {
  heard_[from] = {from, {}, message.version, now};
  const bool confirmed = message.confirmed_age != kNeverConfirmed;
  const absl::Time confirmed_at =
      confirmed ? now - absl::Milliseconds(message.confirmed_age) : absl::InfinitePast();
  if (confirmed) {
    ++answers_;
  }
  if (message.version > state_.version()) {
    if (message.version >= target_version_) {
      target_version_ = message.version;
      target_node_ = from;
      target_confirmed_at_ = confirmed_at;
    }
    if (now >= pull_sent_ + settings_.pull_timeout) {
      pull(from, now, actions);
    }
    return;
  }
  // What confirms a peer confirms this node too when both hold the same version.
  if (confirmed && message.version == state_.version()) {
    state_.confirm(confirmed_at);
  }
  const bool peer_lacks = message.version < state_.version() || (!confirmed && state_.isConfirmed());
  if (message.wants_answer || peer_lacks) {
    actions.emplace_back(SendToPeer{from, state_.announcement(now)});
  }
}

void PeerExchange::pull(const NodeId& from, absl::Time now, ReplicaActions& actions) {
  pull_sent_ = now;
  if (snapshot_pull_ && snapshot_pull_->version > state_.version()) {
    actions.emplace_back(
        SendToPeer{from, SnapshotRequest{snapshot_pull_->version, snapshot_pull_->bytes.size()}});
    return;
  }
  snapshot_pull_.reset();
  actions.emplace_back(SendToPeer{from, ChangesRequest{state_.version()}});
}

void PeerExchange::onChangesRequest(const NodeId& from, const ChangesRequest& message, absl::Time now,
                                    ReplicaActions& actions) {
  if (message.after >= state_.version()) {
    return;
  }
  std::vector<ChangeRecord> records = state_.recordsAfter(message.after);
  if (records.empty()) {
    onSnapshotRequest(from, {}, now, actions);
    return;
  }
  actions.emplace_back(SendToPeer{from, ChangeBatch{std::move(records)}});
}

void PeerExchange::onChangeBatch(const NodeId& from, const ChangeBatch& message, absl::Time now,
                                 ReplicaActions& actions) {
  bool advanced = false;
  for (const ChangeRecord& record : message.records) {
    advanced = state_.take(record) || advanced;
  }
  if (advanced) {
    afterTaking(from, now, actions);
  }
}

const PeerExchange::EncodedSnapshot& PeerExchange::encodedSnapshot(ConfigurationVersion wanted,
                                                                   absl::Time now) {
  const bool usable =
      encoded_snapshot_ != nullptr &&
      (encoded_snapshot_->version == state_.version() ||
       (encoded_snapshot_->version == wanted && now < encoded_snapshot_->encoded_at + kEncodedSnapshotLife));
  if (!usable) {
    encoded_snapshot_ =
        std::make_unique<EncodedSnapshot>(EncodedSnapshot{state_.version(), now, state_.document().encode()});
  }
  return *encoded_snapshot_;
}

void PeerExchange::onSnapshotRequest(const NodeId& from, const SnapshotRequest& message, absl::Time now,
                                     ReplicaActions& actions) {
  const EncodedSnapshot& snapshot = encodedSnapshot(message.version, now);
  // A part of another version would not fit: the peer starts anew with this one.
  uint64_t offset = snapshot.version == message.version ? message.offset : 0;
  offset = std::min<uint64_t>(offset, snapshot.bytes.size());
  actions.emplace_back(SendToPeer{from, SnapshotChunk{snapshot.version, offset, snapshot.bytes.size(),
                                                      snapshot.bytes.substr(offset, kSnapshotChunkSize)}});
}

void PeerExchange::onSnapshotChunk(const NodeId& from, const SnapshotChunk& message, absl::Time now,
                                   ReplicaActions& actions) {
  if (message.version <= state_.version() || message.total > kMaximumSnapshotSize) {
    return;
  }
  if (message.offset == 0 && (!snapshot_pull_ || snapshot_pull_->version != message.version)) {
    snapshot_pull_ = SnapshotPull{message.version, message.total, ""};
  }
  if (!snapshot_pull_ || snapshot_pull_->version != message.version ||
      snapshot_pull_->total != message.total || snapshot_pull_->bytes.size() != message.offset) {
    return;  // a duplicate, or of a pull that was given up
  }
  snapshot_pull_->bytes += message.bytes;
  if (snapshot_pull_->bytes.size() >= snapshot_pull_->total) {
    takeSnapshot(from, now, actions);
    return;
  }
  pull(from, now, actions);
}

void PeerExchange::takeSnapshot(const NodeId& from, absl::Time now, ReplicaActions& actions) {
  Result<Document> document = Document::decode(snapshot_pull_->bytes);
  snapshot_pull_.reset();
  if (document && state_.takeSnapshot(std::move(document.value()))) {
    afterTaking(from, now, actions);
  }
}

void PeerExchange::afterTaking(const NodeId& from, absl::Time now, ReplicaActions& actions) {
  pull_sent_ = absl::InfinitePast();
  if (state_.version() < target_version_) {
    pull(from, now, actions);
    return;
  }
  if (target_confirmed_at_ != absl::InfinitePast() && state_.version() == target_version_) {
    state_.confirm(target_confirmed_at_);
  }
}

void PeerExchange::onTick(absl::Time now, absl::BitGenRef random, ReplicaActions& actions) {
  if (state_.version() < target_version_ && now >= pull_sent_ + settings_.pull_timeout) {
    // The one who announced it may be gone: now and then ask another.
    const std::vector<NodeId> other = PeerDirectory::sample(directory_.zonePeers(), 1, random);
    const bool ask_other = !other.empty() && absl::Bernoulli(random, 0.5);
    pull(ask_other ? other.front() : target_node_, now, actions);
  }
  if (now < next_exchange_) {
    return;
  }
  next_exchange_ = now + settings_.exchange_interval * absl::Uniform(random, 0.75, 1.25);
  const Announcement announcement = state_.announcement(now);
  for (const NodeId& peer : PeerDirectory::sample(directory_.zonePeers(), 1, random)) {
    actions.emplace_back(SendToPeer{peer, announcement});
  }
  // A relay keeps in touch with another zone; so does a node that knows of no one in its own.
  if (directory_.rank() == 0) {
    for (const NodeId& peer : PeerDirectory::sample(directory_.remoteRelays(), 1, random)) {
      actions.emplace_back(SendToPeer{peer, announcement});
    }
  }
}

void PeerExchange::announce(bool to_other_zones, absl::Time now, absl::BitGenRef random,
                            ReplicaActions& actions) {
  const Announcement announcement = state_.announcement(now);
  for (const NodeId& peer : PeerDirectory::sample(directory_.zonePeers(), settings_.fanout, random)) {
    actions.emplace_back(SendToPeer{peer, announcement});
  }
  if (to_other_zones) {
    for (const NodeId& relay : directory_.remoteRelays()) {
      actions.emplace_back(SendToPeer{relay, announcement});
    }
  }
}

void PeerExchange::announceToStandbys(absl::Time now, ReplicaActions& actions) {
  const std::vector<NodeId>& peers = directory_.zonePeers();
  for (size_t index = 0; index < std::min(kStandbys, peers.size()); ++index) {
    actions.emplace_back(SendToPeer{peers[index], state_.announcement(now)});
  }
}

void PeerExchange::survey(absl::Time now, ReplicaActions& actions) {
  Announcement announcement = state_.announcement(now);
  announcement.wants_answer = true;
  for (const PeerNode& peer : directory_.peers()) {
    actions.emplace_back(SendToPeer{peer.id, announcement});
  }
  // Nodes that are gone are forgotten here, where their number would show.
  absl::btree_map<NodeId, PeerVersion> known;
  for (const PeerNode& peer : directory_.peers()) {
    const auto heard = heard_.find(peer.id);
    if (heard != heard_.end()) {
      known.insert(*heard);
    }
  }
  heard_ = std::move(known);
}

std::vector<PeerVersion> PeerExchange::peerVersions() const {
  std::vector<PeerVersion> versions;
  for (const PeerNode& peer : directory_.peers()) {
    const auto heard = heard_.find(peer.id);
    versions.push_back(heard == heard_.end() ? PeerVersion{peer.id, {}, {}, absl::InfinitePast()}
                                             : heard->second);
    versions.back().zone = peer.zone;
  }
  return versions;
}

void PeerExchange::askPeers(absl::Time now, absl::BitGenRef random, ReplicaActions& actions) {
  Announcement announcement = state_.announcement(now);
  announcement.wants_answer = true;
  std::vector<NodeId> peers = PeerDirectory::sample(directory_.zonePeers(), kAskedInZone, random);
  for (NodeId& peer : PeerDirectory::sample(directory_.remotePeers(), kAskedElsewhere, random)) {
    peers.push_back(std::move(peer));
  }
  asked_ = peers.size();
  answers_ = 0;
  for (const NodeId& peer : peers) {
    actions.emplace_back(SendToPeer{peer, announcement});
  }
}

}  // namespace quincewick::configuration
