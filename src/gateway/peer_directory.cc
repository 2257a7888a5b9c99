#include "gateway/peer_directory.h"

#include <absl/random/distributions.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <openssl/rand.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "types/address_text.h"

namespace quincewick::gateway {
namespace {

constexpr const char* kTable = "gateway-peers";
constexpr const char* kKeyRow = "!key";  // sorts before the gateways' rows
// Gateways of a new site start together. Spreading their writes lets a single one write the key.
constexpr absl::Duration kNewSiteSpread = absl::Milliseconds(400);
// Restarted gateways only read, and can't serve before that: the shortest spread that the store's rate limit
// allows for a whole site.
constexpr absl::Duration kRestartSpread = absl::Milliseconds(50);
constexpr absl::Duration kInitialRetryDelay = absl::Milliseconds(400);
constexpr absl::Duration kMaxRetryDelay = absl::Milliseconds(1600);
constexpr double kRetryJitter = 0.3;
// A starting gateway contacts all peers whose rows it finds, so rereading the rows only covers lost
// datagrams.
constexpr absl::Duration kRowsInterval = absl::Minutes(2);
// All gateways reread the rows after a restore of the store.
constexpr absl::Duration kRestoreSpread = absl::Seconds(3);
// A restore that lost the key is noticed and the key written again within this time, by gateways that know
// it.
constexpr absl::Duration kKeyReturnTime = absl::Seconds(4);

std::string newSecret() {
  std::string secret(peer::kMinimumSecretSize, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(secret.data()), static_cast<int>(secret.size()));
  return secret;
}

// "ADDRESS CAPACITY ZONE"
std::string printPeer(const GatewaySettings& settings) {
  return absl::StrCat(printAddress(*settings.listen.peers), " ", settings.capacity, " ",
                      settings.zone.value());
}

std::optional<Peer> parsePeer(const std::string& text) {
  const std::vector<std::string> words = absl::StrSplit(text, absl::MaxSplits(' ', 2));
  if (words.size() != 3) {
    return std::nullopt;
  }
  const std::optional<Address> address = parseAddress(words[0]);
  Peer peer;
  if (!address || !absl::SimpleAtod(words[1], &peer.capacity)) {
    return std::nullopt;
  }
  peer.address = *address;
  peer.zone = ZoneName(words[2]);
  return peer;
}

}  // namespace

PeerDirectory::PeerDirectory(Core& core)
    : core_(core),
      store_(core),
      reader_(core),
      retry_delay_(kInitialRetryDelay),
      refused_rows_(core, kTable) {}

// On a new site the own row can't exist yet and is written first. Otherwise it usually exists, and one read
// is enough.
void PeerDirectory::start(std::function<void()> ready) {
  ready_ = std::move(ready);
  const bool is_new = core_.settings.site_is_new;
  const absl::Duration spread = is_new ? kNewSiteSpread : kRestartSpread;
  const absl::Duration turn = spread * absl::Uniform(core_.random, 0.0, 1.0);
  core_.timers.schedule(reactor::steadyNow() + turn, [this, is_new] {
    if (is_new) {
      writeOwnRow(0);
    } else {
      readRows();
    }
  });
}

void PeerDirectory::readRowsLater(absl::Duration after) {
  core_.timers.cancel(reread_);
  reread_ = core_.timers.schedule(reactor::steadyNow() + after, [this] { readRows(); });
}

// Until the first read is done, another one follows anyway.
void PeerDirectory::rereadAfterRestore() {
  if (is_complete_) {
    readRowsLater(kRestoreSpread * absl::Uniform(core_.random, 0.0, 1.0));
  }
}

// Exponential backoff with jitter, so that gateways refused at the same time don't retry together.
absl::Duration PeerDirectory::nextRetryDelay() {
  const absl::Duration pause = retry_delay_;
  retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
  return pause * (1 + kRetryJitter * absl::Uniform(core_.random, -1.0, 1.0));
}

void PeerDirectory::readRows() {
  reader_.read(kTable, [this](StoreStatus status, const TableSnapshot& table) {
    if (status != StoreStatus::kDone) {
      readRowsLater(nextRetryDelay());
      return;
    }
    retry_delay_ = kInitialRetryDelay;
    applyRows(table);
  });
}

// The first gateway that finds no key creates one; the store's key is the valid one, whatever was known
// before. The own row is written before the last read of the others' rows, so that of two gateways that start
// together at least one finds the other.
void PeerDirectory::applyRows(const TableSnapshot& table) {
  const std::string own_key = core_.settings.gateway_id.value();
  const std::string own_value = printPeer(core_.settings);
  bool has_key = false;
  bool has_own_row = false;
  uint64_t own_version = 0;
  absl::flat_hash_set<NodeId> listed;
  for (const forwarding::StoreRow& row : table.rows) {
    listed.insert(NodeId(row.key));  // also a row that can't be read
    if (row.key == kKeyRow) {
      has_key = true;
      applyKey(row.value, table.clock);
    } else if (row.key == own_key) {
      has_own_row = row.value == own_value;
      own_version = row.version;
    } else if (const auto read = parsePeer(row.value); !read) {
      refused_rows_.note(row.key, "the value is not a gateway's address, capacity and zone");
    } else {
      refused_rows_.forget(row.key);
      Peer& peer = peers_[NodeId(row.key)];
      peer.address = read->address;
      peer.zone = read->zone;
      peer.capacity = read->capacity;
    }
  }
  retired_.noteRows(std::move(listed));
  key_missing_since_ = has_key ? absl::InfiniteFuture() : std::min(key_missing_since_, reactor::steadyNow());
  if (!has_key && !mayWriteKey()) {
    readRowsLater(nextRetryDelay());
  } else if (!has_key) {
    writeKey();
  } else if (!has_own_row) {
    writeOwnRow(own_version);
  } else {
    is_complete_ = true;
    core_.budget.noteNodes(peers_.size() + 1);
    readRowsLater(kRowsInterval);
  }
}

// On a site that isn't new the store has lost the key: those that know it write it again. Another one would
// cut this gateway off from them until they have read it.
bool PeerDirectory::mayWriteKey() const {
  return !secret_.empty() || core_.settings.site_is_new ||
         reactor::steadyNow() - key_missing_since_ >= kKeyReturnTime;
}

void PeerDirectory::writeKey() {
  core_.log.event("peer_key_written", reactor::steadyNow()).with("again", !secret_.empty());
  forwarding::StoreRow row;
  row.table = kTable;
  row.key = kKeyRow;
  row.value = secret_.empty() ? newSecret() : secret_;
  store_.write(row, 0,
               [this](StoreStatus status, const forwarding::StoreRows& /*rows*/) { readAfterWrite(status); });
}

void PeerDirectory::writeOwnRow(uint64_t expected_version) {
  forwarding::StoreRow row;
  row.table = kTable;
  row.key = core_.settings.gateway_id.value();
  row.value = printPeer(core_.settings);
  store_.write(row, expected_version,
               [this](StoreStatus status, const forwarding::StoreRows& /*rows*/) { readAfterWrite(status); });
}

// Two gateways may write at the same time, so the first conflict is retried at once. A repeated conflict has
// another cause and is retried after a delay.
void PeerDirectory::readAfterWrite(StoreStatus status) {
  const bool is_first_conflict = status == StoreStatus::kConflict && !std::exchange(had_conflict_, true);
  if (status == StoreStatus::kDone) {
    had_conflict_ = false;
  }
  const bool is_immediate = status == StoreStatus::kDone || is_first_conflict;
  readRowsLater(is_immediate ? absl::ZeroDuration() : nextRetryDelay());
}

void PeerDirectory::applyKey(const std::string& secret, absl::Duration store_clock) {
  if (secret == secret_) {
    return;
  }
  const peer::KeyId id(1);  // also of keys that replace others: earlier builds know no other id
  auto ring = peer::KeyRing::make({{id, secret}}, id);
  if (ring.has_error()) {
    core_.log.event("peers_unheard", reactor::steadyNow()).with("why", ring.error().message);
    return;
  }
  secret_ = secret;
  if (authenticator_ != nullptr) {
    core_.log.event("peer_key_changed", reactor::steadyNow());
    authenticator_->addKeyRing(std::move(ring.value()));
    return;
  }
  // The store's clock is monotonic, unlike a machine's wall clock.
  const Incarnation incarnation(static_cast<uint64_t>(absl::ToInt64Milliseconds(store_clock)));
  authenticator_ =
      std::make_unique<peer::Authenticator>(core_.settings.gateway_id, incarnation, std::move(ring.value()));
  ready_();
}

std::vector<routing::KeeperMember> PeerDirectory::ownerCandidates() const {
  std::vector<routing::KeeperMember> members = {
      {core_.settings.gateway_id, core_.settings.capacity, core_.settings.zone}};
  const absl::Time now = reactor::steadyNow();
  for (const auto& [id, peer] : peers_) {
    if (!retired_.isRetired(id, peer.last_received, now)) {
      members.push_back({id, peer.capacity, peer.zone});
    }
  }
  std::sort(members.begin(), members.end(),
            [](const auto& left, const auto& right) { return left.id < right.id; });
  return members;
}

}  // namespace quincewick::gateway
