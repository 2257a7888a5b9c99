#include "gateway/server_list.h"

#include <utility>
#include <vector>

#include "reactor/timer_queue.h"

namespace quincewick::gateway {

using forwarding::EntryEffect;
using forwarding::StoreRow;

ServerList::ServerList(Core& core) : core_(core), refused_(core, core.dialect->tables().servers) {}

void ServerList::applyUpdate(const forwarding::TableUpdate& update, absl::Time now) {
  const absl::Duration list_was_old = now - core_.servers_as_of;
  if (update.as_of > core_.servers_as_of) {
    core_.servers_as_of = update.as_of;
    lapsed_.noteListRead(now);
  }
  std::vector<std::string> ids;
  for (const StoreRow& row : update.rows) {
    if (row.is_gone) {
      refused_.forget(row.key);
      noteMissing(row.key, now);
    } else {
      ids.push_back(row.key);
      applyRow(row, list_was_old, now);
    }
  }
  if (update.is_whole) {
    for (const std::string& id : core_.directory.missingFrom(ids)) {
      noteMissing(id, now);
    }
    core_.has_server_list = true;
  }
  removeGone(now);
}

void ServerList::applyRow(const StoreRow& row, absl::Duration list_was_old, absl::Time now) {
  lapsed_.notePresent(row.key);
  auto read = core_.dialect->readServer(row.key, row.value);
  if (read.has_error()) {
    refuse(row, read.error().message);
    return;
  }
  forwarding::ServerEntry entry = std::move(read.value());
  const bool is_plausible = core_.isPlausibleStart(entry.started);
  if (!is_plausible) {
    refused_.note(row.key, "its start time is in the future and is ignored");
    entry.started = absl::InfinitePast();
  }
  const auto known = core_.directory.find(row.key);
  const bool was_draining = known != nullptr && known->entry.is_draining;
  const EntryEffect effect = core_.directory.upsert(entry);
  if (effect == EntryEffect::kKnown && entry.is_draining && !was_draining) {
    core_.log.event("server_draining", now).with("server", row.key).with("list_was_old_ms", list_was_old);
  }
  if (is_plausible && effect != EntryEffect::kOutdated) {
    refused_.forget(row.key);
  }
  logEffect(entry, effect, now);
}

// An unreadable entry may announce that the server leaves, so it gets no new requests until its entry can be
// read. The assumed contents of its cache are kept: the incarnation may be the same, and the server's next
// heartbeat repairs an entry that another writer corrupted.
void ServerList::refuse(const StoreRow& row, const std::string& why) {
  core_.directory.setReadable(row.key, false);
  refused_.note(row.key, why);
}

void ServerList::logEffect(const forwarding::ServerEntry& entry, EntryEffect effect, absl::Time now) {
  switch (effect) {
    case EntryEffect::kKnown:
      return;
    case EntryEffect::kOutdated:
      refused_.note(entry.id, "it belongs to an earlier incarnation than the known one");
      return;
    case EntryEffect::kNew:
    case EntryEffect::kRestarted:
      core_.log.event(effect == EntryEffect::kNew ? "server_new" : "server_restarted", now)
          .with("server", entry.id)
          .with("service", entry.service.value())
          .with("software", entry.software.value())
          .with("draining", entry.is_draining ? "true" : "false");
      return;
  }
}

void ServerList::noteMissing(const std::string& server_id, absl::Time now) {
  const auto server = core_.directory.find(server_id);
  if (server == nullptr) {
    return;
  }
  if (!server->isLeaving() && lapsed_.mayReappear(now)) {
    core_.log.event("server_awaited", now).with("server", server_id);
    lapsed_.await(server_id);
  } else {
    remove(server_id, now);
  }
}

void ServerList::removeGone(absl::Time now) {
  for (const std::string& id : lapsed_.takeLapsed(now)) {
    remove(id, now);
  }
  core_.clearFreedSlots();
}

void ServerList::remove(const std::string& server_id, absl::Time now) {
  core_.log.event("server_gone", now).with("server", server_id);
  core_.directory.remove(server_id);
}

}  // namespace quincewick::gateway
