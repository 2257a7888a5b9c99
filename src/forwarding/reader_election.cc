#include "forwarding/reader_election.h"

#include <algorithm>
#include <tuple>

#include "forwarding/confirmation_schedule.h"
#include "forwarding/turn_schedule.h"

namespace quincewick::forwarding {
namespace {

// How long a better reader must be known before this one yields to it.
constexpr absl::Duration kYieldAfter = absl::Milliseconds(700);
// Between the turns of the candidates. The first few step in quickly to replace a reader that stopped, the
// others slowly: if the first few get no responses, the store is probably down for all, and each further
// gateway costs calls and gains no information.
constexpr TurnSchedule kTurns = {absl::Milliseconds(200), 3, absl::Milliseconds(500)};
// The revocation of keys has a bound of its own; this leaves time within it.
constexpr absl::Duration kMaxConfigurationAge = absl::Milliseconds(2800);
constexpr absl::Duration kFailedReaderDistrust = absl::Seconds(3);
// Short, because a reader with stale rows is noted as such several times a second while that lasts.
constexpr absl::Duration kStaleReaderDistrust = absl::Milliseconds(300);
// A reader responds to the first request of a new follower at once; this covers the round trip and machines
// that are temporarily slow.
constexpr absl::Duration kFirstResponseTime = absl::Milliseconds(700);

}  // namespace

absl::Duration ReaderElection::maxConfigurationAge(absl::Duration bound) {
  return std::min(kMaxConfigurationAge, ConfirmationSchedule::maxTrustedAge(bound));
}

bool ReaderElection::hasPriorityOver(const ReaderCandidate& left, const ReaderCandidate& right) const {
  return std::tuple(right.capacity, left.id) < std::tuple(left.capacity, right.id);
}

bool ReaderElection::isTrusted(const NodeId& reader, absl::Time now) const {
  const auto found = failed_.find(reader);
  return found == failed_.end() || now >= found->second;
}

bool ReaderElection::followsStaleReader(absl::Time as_of, absl::Duration oldest, absl::Time now) const {
  const bool could_answer = now - follows_since_ >= std::min(kFirstResponseTime, oldest / 2);
  return role_.follows && could_answer && now - as_of > oldest;
}

void ReaderElection::follow(const NodeId& reader, absl::Time now) {
  role_ = {false, reader};
  follows_since_ = now;
}

void ReaderElection::noteStaleReader(const NodeId& reader, absl::Time now) {
  absl::Time& distrusted_until = failed_[reader];
  distrusted_until = std::max(distrusted_until, now + kStaleReaderDistrust);
}

// A reader that doesn't read any more has been started again, or has stopped in order: what failed is over.
void ReaderElection::noteFailed(const NodeId& reader, absl::Time now) {
  const auto idle = last_idle_.find(reader);
  const bool was_idle_since = idle != last_idle_.end() && idle->second > follows_since_;
  if (!was_idle_since) {
    failed_[reader] = now + kFailedReaderDistrust;
  }
  role_.follows.reset();
}

void ReaderElection::noteIdle(const std::vector<ReaderCandidate>& live, absl::Time now) {
  for (const ReaderCandidate& peer : live) {
    if (!peer.is_zone_reader) {
      last_idle_[peer.id] = now;
      failed_.erase(peer.id);
    }
  }
}

const ReaderRole& ReaderElection::decide(const std::vector<ReaderCandidate>& live, bool store_answers,
                                         absl::Time now) {
  absl::erase_if(failed_, [now](const auto& entry) { return now >= entry.second; });
  noteIdle(live, now);
  const ReaderCandidate self{self_, capacity_, true};
  const ReaderCandidate* best = nullptr;
  bool followed_reads = false;
  has_zone_reader_ = false;
  int64_t turns_before = 0;
  for (const ReaderCandidate& peer : live) {
    const bool is_trusted = isTrusted(peer.id, now);
    turns_before += is_trusted && hasPriorityOver(peer, self) ? 1 : 0;
    has_zone_reader_ = has_zone_reader_ || peer.is_zone_reader;
    if (!is_trusted || !peer.is_zone_reader) {
      continue;
    }
    followed_reads = followed_reads || role_.follows == peer.id;
    if (best == nullptr || hasPriorityOver(peer, *best)) {
      best = &peer;
    }
  }
  if (best == nullptr) {
    better_since_ = absl::InfiniteFuture();
    leaderless_since_ = std::min(leaderless_since_, now);
    if (!role_.reads && now >= leaderless_since_ + kTurns.after(turns_before)) {
      role_ = {true, std::nullopt};
    }
    return role_;
  }
  leaderless_since_ = absl::InfiniteFuture();
  if (!role_.reads) {
    if (!followed_reads) {
      follow(best->id, now);
    }
    return role_;
  }
  const bool is_better = hasPriorityOver(*best, self);
  better_since_ = is_better ? std::min(better_since_, now) : absl::InfiniteFuture();
  if (!store_answers || now >= better_since_ + kYieldAfter) {
    follow(best->id, now);
    better_since_ = absl::InfiniteFuture();
  }
  return role_;
}

}  // namespace quincewick::forwarding
