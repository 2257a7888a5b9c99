// Whether a request may reach servers, by the crashes that are attributed to it.
#include <algorithm>

#include "gateway/crash_detector.h"
#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

constexpr int kBadGateway = 502;
// Between checks whether a waiting request may be sent.
constexpr absl::Duration kCrashCheckInterval = absl::Milliseconds(10);
// A crash is attributed within 0.4 s. Beyond that the request would wait for other suspects to finish, of
// which there are many while servers crash continuously; it is then sent alongside them.
constexpr absl::Duration kMaxCrashWait = absl::Seconds(1);
constexpr std::string_view kCrashesServers = "ends_servers";

}  // namespace

// Checked before each send: the request may have crashed servers through other gateways since its arrival.
bool Exchange::mayReachServers() {
  const absl::Time now = reactor::steadyNow();
  switch (core_.crash_detector->verdictOn(subject_)) {
    case forwarding::CrashVerdict::kSend:
      return true;
    case forwarding::CrashVerdict::kWait:
      crash_wait_ends_ = std::min(crash_wait_ends_, now + kMaxCrashWait);
      if (now >= crash_wait_ends_) {
        return true;
      }
      releaseServer();
      server_ = nullptr;
      crash_timer_ = core_.timers.schedule(now + kCrashCheckInterval, [this] {
        const auto self = shared_from_this();
        crash_timer_ = reactor::TimerQueue::Key();
        tryNext();
      });
      return false;
    case forwarding::CrashVerdict::kReject:
      rejectForCrashes();
      return false;
  }
  return true;
}

// The response neither says that the request did not run nor has a Retry-After: a retry would crash the next
// servers.
void Exchange::rejectForCrashes() {
  if (is_head_forwarded_ || has_failure_) {
    giveUp(false, kCrashesServers);
  } else {
    reject(kBadGateway, kCrashesServers, absl::ZeroDuration());
  }
}

}  // namespace quincewick::gateway
