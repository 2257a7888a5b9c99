#include "gateway/permit_exchange.h"

#include <absl/random/distributions.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>
#include <vector>

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(250);
// A heartbeat that is later than this shows that the process stood still.
constexpr absl::Duration kStandstill = absl::Milliseconds(1000);
constexpr absl::Duration kWatchInterval = absl::Milliseconds(100);
constexpr absl::Duration kReportInterval = absl::Seconds(1);
// Requests that were sent before their server became brittle get a permit within this time or end.
constexpr absl::Duration kAdoptionTime = absl::Seconds(2);
constexpr absl::Duration kDemandHalfLife = absl::Seconds(1);
constexpr absl::Duration kMinRetryAfter = absl::Milliseconds(250);
constexpr absl::Duration kMaxRetryAfter = absl::Seconds(5);
// Spreads returns, so that callers rejected together don't return together.
constexpr double kRetryAfterSpread = 0.25;

}  // namespace

PermitExchange::PermitExchange(Core& core, PeerDirectory& directory, PeerExchange& peers)
    : core_(core),
      directory_(directory),
      peers_(peers),
      record_(core, peers, register_),
      permits_(core.settings.gateway_id, absl::Uniform<uint64_t>(core.random, 1, UINT64_MAX / 2),
               core.settings.site_is_new, [this](uint64_t hash, absl::Time now) {
                 const auto server = core_.directory.findByHash(hash);
                 return server == nullptr ? quota::RejectionTolerance() : toleranceOf(*server, now);
               }) {}

void PermitExchange::start() {
  peers_.setMessageHandler(
      peer::PeerModule::kRejectionPermits,
      [this](const NodeId& from, std::string_view payload) { return receive(from, payload); });
  record_.start();
  heartbeat();
}

void PermitExchange::heartbeat() {
  const absl::Time now = reactor::steadyNow();
  if (now - last_heartbeat_ > kHeartbeatInterval + kStandstill) {
    register_.forgetSound();
  }
  last_heartbeat_ = now;
  if (directory_.isComplete()) {
    permits_.setMembers(directory_.ownerCandidates());
  }
  is_isolated_ = !directory_.peers().empty() && peers_.areNearPeersSilent(now);
  permits_.onHeartbeat(is_isolated_, now);
  record_.onHeartbeat(now);
  core_.timers.schedule(now + kHeartbeatInterval, [this] { heartbeat(); });
}

quota::RejectionTolerance PermitExchange::toleranceOf(const forwarding::Server& server,
                                                      absl::Time now) const {
  return register_.toleranceOf(server.identity_hash, server.entry.service, is_isolated_, now);
}

void PermitExchange::noteStatement(const forwarding::Server& server, std::optional<uint32_t> max_rejections) {
  const absl::Time now = reactor::steadyNow();
  const forwarding::ServiceName& service = server.entry.service;
  register_.noteStatement(server.identity_hash, service, max_rejections, now);
  if (!max_rejections) {
    return;
  }
  record_.noteBrittle(service, now);
  watch();
  absl::Time& last = reported_.try_emplace(service, absl::InfinitePast()).first->second;
  if (now - last < kReportInterval) {
    return;
  }
  last = now;
  quota::PermitMessage report;
  report.kind = quota::PermitMessageKind::kBrittle;
  report.server = server.identity_hash;
  report.max_rejections = *max_rejections;
  peers_.sendToAll(peer::PeerModule::kRejectionPermits, encodePermitMessage(report));
}

bool PermitExchange::isNeeded(const forwarding::Server& server) const {
  const quota::RejectionTolerance tolerance = toleranceOf(server, reactor::steadyNow());
  return !tolerance.is_known || tolerance.max_rejections > 0;
}

bool PermitExchange::isBrittle(const forwarding::ServiceName& service) const {
  return register_.isBrittle(service, reactor::steadyNow());
}

uint64_t PermitExchange::acquire(const forwarding::Server& server, double share, ResultCallback on_result) {
  const absl::Time now = reactor::steadyNow();
  if (directory_.isComplete()) {
    permits_.setMembers(directory_.ownerCandidates());
  }
  quota::PermitActions actions;
  const uint64_t number =
      permits_.request(server.identity_hash, toleranceOf(server, now).max_rejections, share, now, actions);
  waiting_[number] = std::move(on_result);
  execute(actions);
  return number;
}

void PermitExchange::cancel(uint64_t number) {
  waiting_.erase(number);
  endPermit(number, quota::PermitEnd::kNeverSent);
}

void PermitExchange::endPermit(uint64_t permit, quota::PermitEnd how) {
  quota::PermitActions actions;
  permits_.end(permit, how, reactor::steadyNow(), actions);
  execute(actions);
}

uint64_t PermitExchange::noteSent(const forwarding::ServerDirectory::ServerPointer& server,
                                  std::optional<uint64_t> permit, std::function<void()> on_lost) {
  const uint64_t number = ++last_request_;
  UnacceptedRequest& request = unaccepted_[number];
  request.server = server;
  request.permit = permit;
  request.on_lost = std::move(on_lost);
  if (permit) {
    request_of_permit_[*permit] = number;
  }
  return number;
}

void PermitExchange::noteEnd(uint64_t request, quota::PermitEnd how) {
  const auto found = unaccepted_.find(request);
  if (found == unaccepted_.end()) {
    return;
  }
  const UnacceptedRequest ended = std::move(found->second);
  unaccepted_.erase(found);
  if (ended.requested) {
    cancel(*ended.requested);
  }
  if (ended.permit) {
    request_of_permit_.erase(*ended.permit);
    endPermit(*ended.permit, how);
  }
}

Result<void> PermitExchange::receive(const NodeId& from, std::string_view payload) {
  BOOST_OUTCOME_TRY(message, quota::decodePermitMessage(payload));
  const absl::Time now = reactor::steadyNow();
  if (message.kind == quota::PermitMessageKind::kBrittle) {
    const auto server = core_.directory.findByHash(message.server);
    if (server != nullptr && message.max_rejections > 0) {
      register_.noteReport(server->entry.service, message.max_rejections, now);
      watch();
    }
    return outcome::success();
  }
  quota::PermitActions actions;
  permits_.onMessage(from, message, now, actions);
  execute(actions);
  return outcome::success();
}

void PermitExchange::execute(const quota::PermitActions& actions) {
  for (const quota::PermitActions::Outgoing& outgoing : actions.messages) {
    peers_.sendTo(outgoing.to, peer::PeerModule::kRejectionPermits, encodePermitMessage(outgoing.message));
  }
  scheduleTick();
  for (const quota::PermitDecision& decision : actions.decisions) {
    const auto waiting = waiting_.find(decision.number);
    if (waiting == waiting_.end()) {
      continue;
    }
    const ResultCallback on_result = std::move(waiting->second);
    waiting_.erase(waiting);
    core_.metrics.countPermitDecision(decision.is_granted);
    on_result({decision.is_granted, decision.is_unneeded ? std::nullopt : std::optional(decision.number),
               decision.is_unavailable, decision.is_brittle, decision.retry_after});
  }
  for (const uint64_t permit : actions.lost) {
    if (const auto request = request_of_permit_.find(permit); request != request_of_permit_.end()) {
      lose(request->second);
    }
  }
}

void PermitExchange::lose(uint64_t request) {
  const auto found = unaccepted_.find(request);
  if (found == unaccepted_.end()) {
    return;
  }
  core_.log.event("request_not_accepted", reactor::steadyNow())
      .with("server", found->second.server->entry.id);
  const std::function<void()> on_lost = found->second.on_lost;
  noteEnd(request, quota::PermitEnd::kMaybeRejected);
  on_lost();
}

void PermitExchange::scheduleTick() {
  const absl::Time next = permits_.nextWakeup();
  if (next >= timer_at_) {
    return;  // the earlier timer reschedules
  }
  core_.timers.cancel(timer_);
  timer_at_ = next;
  timer_ = core_.timers.schedule(next, [this] {
    timer_at_ = absl::InfiniteFuture();
    quota::PermitActions actions;
    permits_.onTick(reactor::steadyNow(), actions);
    execute(actions);
  });
}

// While servers are brittle: requests that were sent to them without a permit get one, the oldest first, or
// end.
void PermitExchange::watch() {
  if (has_watch_) {
    return;
  }
  has_watch_ = true;
  core_.timers.schedule(reactor::steadyNow() + kWatchInterval, [this] {
    has_watch_ = false;
    const absl::Time now = reactor::steadyNow();
    std::vector<uint64_t> without_permit;
    for (const auto& [number, request] : unaccepted_) {
      if (!request.permit && !request.requested && toleranceOf(*request.server, now).max_rejections > 0) {
        without_permit.push_back(number);
      }
    }
    for (const uint64_t number : without_permit) {
      adopt(number);
    }
    if (register_.isAnyBrittle(now)) {
      watch();
    }
  });
}

void PermitExchange::adopt(uint64_t request) {
  const auto found = unaccepted_.find(request);
  if (found == unaccepted_.end()) {
    return;
  }
  const absl::Time now = reactor::steadyNow();
  UnacceptedRequest& adopted = found->second;
  adopted.ends_without_permit = std::min(adopted.ends_without_permit, now + kAdoptionTime);
  if (now >= adopted.ends_without_permit) {
    lose(request);
    return;
  }
  // The result may come within the call or long after it.
  const auto is_decided = std::make_shared<bool>(false);
  const uint64_t number =
      acquire(*adopted.server, 1, [this, request, is_decided](const PermitResult& result) {
        *is_decided = true;
        const auto entry = unaccepted_.find(request);
        if (entry == unaccepted_.end()) {
          if (result.permit) {
            giveBack(*result.permit);
          }
          return;
        }
        entry->second.requested.reset();
        if (result.permit) {
          entry->second.permit = result.permit;
          request_of_permit_[*result.permit] = request;
        }
      });
  if (!*is_decided) {
    unaccepted_.at(request).requested = number;
  }
}

void PermitExchange::decay(Demand& demand, absl::Time now) {
  const double factor = demand.as_of == absl::InfinitePast()
                            ? 0
                            : std::exp2(-absl::FDivDuration(now - demand.as_of, kDemandHalfLife));
  demand.placed *= factor;
  demand.rejected *= factor;
  demand.as_of = now;
}

void PermitExchange::noteDemand(const forwarding::ServiceName& service, bool is_placed) {
  Demand& demand = demands_[service];
  decay(demand, reactor::steadyNow());
  (is_placed ? demand.placed : demand.rejected) += 1;
}

absl::Duration PermitExchange::retryAfter(const forwarding::ServiceName& service) const {
  const auto demand = demands_.find(service);
  if (demand == demands_.end()) {
    return kMinRetryAfter;
  }
  const double seconds = demand->second.rejected / std::max(demand->second.placed, 1.0);
  const double spread = absl::Uniform(core_.random, 1 - kRetryAfterSpread, 1 + kRetryAfterSpread);
  return std::clamp(absl::Seconds(seconds * spread), kMinRetryAfter, kMaxRetryAfter);
}

absl::Duration PermitExchange::spreadRetryAfter(absl::Duration time) const {
  return std::clamp(time * absl::Uniform(core_.random, 1, 1 + kRetryAfterSpread), kMinRetryAfter,
                    kMaxRetryAfter);
}

}  // namespace quincewick::gateway
