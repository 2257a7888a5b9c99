#include "gateway/row_relay.h"

#include <algorithm>
#include <utility>

#include "gateway/packed_rows.h"

namespace quincewick::gateway {
namespace {

// One per table and follower, for a zone of 300 gateways.
constexpr size_t kMaxConnections = 1024;
constexpr absl::Duration kMaxWait = absl::Seconds(2);
// A table with at least so many rows counts as large.
constexpr size_t kLargeTableRows = 500;
// Per table. Followers are at most a response or two apart.
constexpr size_t kMaxPackedPerTable = 8;
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;

}  // namespace

bool RowRelay::listen(const Address& address) {
  server_ = std::make_unique<reactor::SimpleHttpServer>(
      core_.reactor, address, kMaxConnections,
      [this](const HttpHead& request, const std::string& body,
             const reactor::SimpleHttpServer::Respond& respond) { handleRequest(request, body, respond); });
  return server_->isListening();
}

void RowRelay::offer(const std::string& table, const forwarding::RowCache* cache) {
  caches_[table] = cache;
}

void RowRelay::handleRequest(const HttpHead& head, const std::string& body,
                             const reactor::SimpleHttpServer::Respond& respond) {
  peer::Authenticator* const authenticator = peers_.authenticator();
  if (authenticator == nullptr) {
    refuse(respond, kUnavailable);
    return;
  }
  const auto envelope = authenticator->open(peer::Channel::kRequest, body);
  if (envelope.has_error()) {
    refuse(respond, kUnauthorized);
    return;
  }
  auto request = decodeRelayRequest(envelope.value().payload);
  if (request.has_error()) {
    refuse(respond, kBadRequest);
    return;
  }
  const auto cache = caches_.find(request.value().table);
  if (!is_serving_ || cache == caches_.end() || !cache->second->hasSnapshot()) {
    refuse(respond, kUnavailable);
    return;
  }
  PendingRequest pending{std::move(request.value()),
                         head.target == kPackedPath,
                         findField(head.fields, kCopyStateField) != nullptr,
                         envelope.value().sender,
                         envelope.value().sequence,
                         reactor::steadyNow(),
                         respond,
                         {}};
  snapshot_limiter_.noteDelivered(pending.requester);
  sendWaitingSnapshots();
  if (isLargeSnapshot(pending) && !snapshot_limiter_.maySend(reactor::steadyNow())) {
    waiting_for_snapshot_.push_back(std::move(pending));
    return;
  }
  if (hasUpdate(pending.request)) {
    sendResponse(pending);
    return;
  }
  enqueue(std::move(pending));
}

void RowRelay::enqueue(PendingRequest pending) {
  pending_.push_back(std::move(pending));
  const auto entry = std::prev(pending_.end());
  const absl::Duration wait = std::clamp(entry->request.wait, absl::ZeroDuration(), kMaxWait);
  entry->wait = core_.timers.schedule(reactor::steadyNow() + wait, [this, entry] {
    sendResponse(*entry);
    pending_.erase(entry);
  });
}

// In order of arrival. Followers that crashed send no further request; the limiter expires their snapshots.
void RowRelay::sendWaitingSnapshots() {
  const absl::Time now = reactor::steadyNow();
  while (!waiting_for_snapshot_.empty() && snapshot_limiter_.maySend(now)) {
    PendingRequest pending = std::move(waiting_for_snapshot_.front());
    waiting_for_snapshot_.pop_front();
    sendResponse(pending);
  }
}

bool RowRelay::isLargeSnapshot(const PendingRequest& pending) const {
  const forwarding::RowCache& cache = *caches_.at(pending.request.table);
  return cache.needsSnapshotSince(pending.request.after) && cache.size() >= kLargeTableRows;
}

bool RowRelay::hasUpdate(const RelayRequest& request) const {
  const forwarding::RowCache& cache = *caches_.at(request.table);
  return request.after == 0 || cache.lastChange() > request.after ||
         cache.updateCount() != request.update_count;
}

void RowRelay::sendResponse(PendingRequest& pending) {
  const absl::Time now = reactor::steadyNow();
  if (isLargeSnapshot(pending)) {
    snapshot_limiter_.noteSent(pending.requester, now);
  }
  const std::string payload =
      pending.wants_packed ? packedResponse(pending, now) : plainResponse(pending, now);
  const auto sealed = peers_.authenticator()->seal(peer::Channel::kResponse, pending.requester,
                                                   peer::PeerModule::kRouting, payload, pending.sequence);
  pending.respond({kOk, "application/octet-stream", sealed.bytes});
}

RelayResponse RowRelay::responseWithoutRows(const PendingRequest& pending, absl::Time now) const {
  const forwarding::RowCache& cache = *caches_.at(pending.request.table);
  RelayResponse response;
  response.is_whole = cache.needsSnapshotSince(pending.request.after);
  response.version = cache.version();
  response.update_count = cache.updateCount();
  response.confirmed_ago = now - cache.confirmed();
  response.as_of_ago = now - cache.asOf();
  response.held_for = now - pending.received_at;
  return response;
}

std::string RowRelay::plainResponse(const PendingRequest& pending, absl::Time now) const {
  RelayResponse response = responseWithoutRows(pending, now);
  response.rows = caches_.at(pending.request.table)->updateSince(pending.request.after).rows;
  return encodeRelayResponse(response);
}

std::string RowRelay::packedResponse(const PendingRequest& pending, absl::Time now) {
  RelayResponse response = responseWithoutRows(pending, now);
  if (pending.wants_copy_state) {
    const forwarding::RowCache& cache = *caches_.at(pending.request.table);
    response.copy = CopyState{cache.digest(), core_.store_history.restores()};
  }
  return encodePackedResponse({std::move(response), packedRowsFor(pending.request)});
}

// All followers at the same version get the same rows, so these are looked up and packed once.
const std::string& RowRelay::packedRowsFor(const RelayRequest& request) {
  const forwarding::RowCache& cache = *caches_.at(request.table);
  std::deque<Packed>& cached = packed_[request.table];
  std::erase_if(cached, [&cache](const Packed& packed) { return packed.version != cache.version(); });
  const auto found = std::find_if(cached.begin(), cached.end(),
                                  [&request](const Packed& packed) { return packed.after == request.after; });
  if (found != cached.end()) {
    return found->bytes;
  }
  if (cached.size() >= kMaxPackedPerTable) {
    cached.pop_front();
  }
  cached.push_back({request.after, cache.version(), packRows(cache.updateSince(request.after).rows)});
  return cached.back().bytes;
}

void RowRelay::notifyFollowers(const std::string& table) {
  sendWaitingSnapshots();
  for (auto pending = pending_.begin(); pending != pending_.end();) {
    if (pending->request.table != table || !hasUpdate(pending->request)) {
      ++pending;
      continue;
    }
    core_.timers.cancel(pending->wait);
    sendResponse(*pending);
    pending = pending_.erase(pending);
  }
}

void RowRelay::refuseAll() {
  for (PendingRequest& pending : std::exchange(pending_, {})) {
    core_.timers.cancel(pending.wait);
    refuse(pending.respond, kUnavailable);
  }
  for (const PendingRequest& pending : std::exchange(waiting_for_snapshot_, {})) {
    refuse(pending.respond, kUnavailable);
  }
  packed_.clear();
}

void RowRelay::refuse(const reactor::SimpleHttpServer::Respond& respond, int status) const {
  respond({status, "text/plain", ""});
}

}  // namespace quincewick::gateway
