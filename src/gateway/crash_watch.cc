#include "gateway/crash_watch.h"

#include <algorithm>
#include <utility>

#include "gateway/peer_digest.h"

namespace quincewick::gateway {
namespace {

using forwarding::CrashVerdict;
using forwarding::RequestIdentity;
using reactor::ConnectResult;

// A machine that answers does so within a trip between regions; one that is silent tells nothing.
constexpr absl::Duration kLookLimit = absl::Milliseconds(250);
constexpr size_t kThereAtMost = 256;  // of one look

}  // namespace

void CrashWatch::noteBroken(const forwarding::ServerDirectory::ServerPointer& server,
                            const RequestIdentity& identity) {
  if (server->isLeaving()) {
    return;
  }
  const uint64_t life = server->identity_hash;
  Look& look = looks_[life];
  const bool is_known = std::find(look.there.begin(), look.there.end(), identity) != look.there.end();
  if (!is_known && look.there.size() < kThereAtMost) {
    look.there.push_back(identity);
  }
  if (look.connection != nullptr) {
    return;
  }
  look.server = server;
  look.limit = core_.timers.schedule(reactor::steadyNow() + kLookLimit,
                                     [this, life] { end(life, ConnectResult::kFailed); });
  look.connection =
      reactor::Connection::connect(core_.reactor, server->entry.address, [this, life](ConnectResult result) {
        // Not from within the connection's own call.
        core_.timers.schedule(reactor::steadyNow(), [this, life, result] { end(life, result); });
      });
}

void CrashWatch::end(uint64_t life, ConnectResult result) {
  const auto found = looks_.find(life);
  if (found == looks_.end()) {
    return;
  }
  Look look = std::move(found->second);
  looks_.erase(found);
  core_.timers.cancel(look.limit);
  look.connection->abort();
  const bool has_ended = result == ConnectResult::kRefused && !look.server->isLeaving();
  if (!has_ended) {
    return;
  }
  core_.metrics.countServerEnd();
  core_.log.event("server_ended", reactor::steadyNow())
      .with("server", look.server->entry.id)
      .with("service", look.server->entry.service.value())
      .with("requests", static_cast<int64_t>(look.there.size()));
  exchange_.noteCrash({life, hashOf(look.server->entry.service.value()), std::move(look.there)});
}

CrashVerdict CrashWatch::verdictOn(const RequestIdentity& identity) {
  const CrashVerdict verdict = exchange_.verdictOn(identity);
  if (verdict != CrashVerdict::kSend || !exchange_.isSuspect(identity)) {
    return verdict;
  }
  const bool is_looked_at = std::any_of(looks_.begin(), looks_.end(), [&identity](const auto& entry) {
    const std::vector<RequestIdentity>& there = entry.second.there;
    return std::find(there.begin(), there.end(), identity) != there.end();
  });
  return is_looked_at ? CrashVerdict::kWait : CrashVerdict::kSend;
}

}  // namespace quincewick::gateway
