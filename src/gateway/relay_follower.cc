#include "gateway/relay_follower.h"

#include <utility>

#include "gateway/relay_messages.h"

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kResponseTimeout = absl::Milliseconds(700);  // in addition to the wait
// The same for a snapshot, which a whole zone may be requesting at once.
constexpr absl::Duration kSnapshotTimeout = absl::Seconds(4);
// Between snapshots that are requested because the copies differ.
constexpr absl::Duration kMinSnapshotInterval = absl::Milliseconds(500);
constexpr int kOk = 200;

}  // namespace

void RelayFollower::follow(const NodeId& peer, const Address& address, uint64_t after) {
  stop();
  peer_ = peer;
  after_ = after;
  update_count_ = 0;
  peer_restores_.reset();
  caller_ =
      std::make_unique<reactor::HttpClient>(core_.reactor, core_.timers, address, peer::kMaximumBodySize);
  sendRequest();
}

void RelayFollower::stop() {
  ++generation_;
  caller_ = nullptr;
}

void RelayFollower::sendRequest() {
  peer::Authenticator* const authenticator = peers_.authenticator();
  if (authenticator == nullptr) {
    failPeer();
    return;
  }
  const absl::Time now = reactor::steadyNow();
  const RelayRequest request{table_, after_, update_count_, wait_};
  auto sealed = authenticator->seal(peer::Channel::kRequest, peer_, peer::PeerModule::kRouting,
                                    encodeRelayRequest(request));
  HttpCall call{"POST", kPackedPath, {{kCopyStateField, "1"}}, std::move(sealed.bytes)};
  caller_->call(std::move(call), wait_ + (after_ == 0 ? kSnapshotTimeout : kResponseTimeout),
                [this, now, generation = generation_,
                 sequence = sealed.sequence](const Result<reactor::HttpResponse>& reply) {
                  if (generation == generation_) {
                    handleResponse(reply, sequence, now);
                  }
                });
}

void RelayFollower::handleResponse(const Result<reactor::HttpResponse>& reply, Sequence sequence,
                                   absl::Time sent_at) {
  if (reply.has_error()) {
    core_.noteLostCall(peer_.value(), reply.error());
  }
  if (reply.has_error() || reply.value().head.status != kOk) {
    failPeer();
    return;
  }
  const auto envelope = peers_.authenticator()->open(peer::Channel::kResponse, reply.value().body, sequence);
  if (envelope.has_error() || envelope.value().sender != peer_) {
    failPeer();
    return;
  }
  auto response = decodeAnyRelayResponse(envelope.value().payload);
  if (response.has_error()) {
    failPeer();
    return;
  }
  after_ = response.value().version;
  update_count_ = response.value().update_count;
  forwarding::TableUpdate update;
  update.rows = std::move(response.value().rows);
  update.is_whole = response.value().is_whole;
  update.version = response.value().version;
  // The reader received the request after it was sent, so the response was created then or later.
  const absl::Time created_at = sent_at + response.value().held_for;
  update.confirmed = created_at - response.value().confirmed_ago;
  update.as_of = created_at - response.value().as_of_ago;
  const uint64_t generation = generation_;
  if (response.value().copy) {
    update.digest = response.value().copy->digest;
    noteRestores(response.value().copy->restores);
  }
  const bool needs_snapshot = on_update_(update);
  if (generation != generation_) {
    return;
  }
  const absl::Time now = reactor::steadyNow();
  if (needs_snapshot && now - snapshot_requested_ >= kMinSnapshotInterval) {
    snapshot_requested_ = now;
    after_ = 0;
  }
  sendRequest();
}

void RelayFollower::noteRestores(uint64_t restores) {
  const bool is_new = peer_restores_ && *peer_restores_ != restores;
  if (is_new && own_restores_ == core_.store_history.restores()) {
    on_restore_();
  }
  peer_restores_ = restores;
  own_restores_ = core_.store_history.restores();
}

void RelayFollower::failPeer() {
  const NodeId peer = peer_;
  stop();
  on_failure_(peer);
}

}  // namespace quincewick::gateway
