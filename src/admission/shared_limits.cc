#include "admission/shared_limits.h"

#include <memory>

namespace quincewick::admission {
namespace {

constexpr absl::Duration kBusyTick = absl::Milliseconds(10);
constexpr absl::Duration kIdleTick = absl::Milliseconds(100);

}  // namespace

SharedLimits::SharedLimits(const SharedLimitConfiguration& configuration, const NodeId& self,
                           const ZoneName& zone, Incarnation incarnation, absl::Time now)
    : rights_(configuration, self, zone, incarnation, now),
      home_(configuration, self, incarnation, now),
      client_(configuration, self, incarnation) {}

SharedLimitActions SharedLimits::handle(const SharedLimitEvent& event, absl::Time now,
                                        absl::BitGenRef random) {
  SharedLimitActions actions;
  std::visit([&](const auto& concrete) { on(concrete, now, random, actions); }, event);
  return actions;
}

absl::Time SharedLimits::nextWakeup(absl::Time now) const {
  return now + (client_.waiting() > 0 ? kBusyTick : kIdleTick);
}

void SharedLimits::on(const LimitMembersChanged& event, absl::Time now, absl::BitGenRef /*random*/,
                      SharedLimitActions& actions) {
  const auto directory = std::make_shared<const LimitDirectory>(event.members);
  rights_.setDirectory(directory);
  home_.setDirectory(directory, now, actions);
  client_.setDirectory(directory);
}

void SharedLimits::on(const TenantLimitsChanged& event, absl::Time /*now*/, absl::BitGenRef /*random*/,
                      SharedLimitActions& /*actions*/) {
  const auto limits = std::make_shared<const TenantLimits>(event.limits);
  home_.setLimits(limits);
  client_.setLimits(limits);
}

void SharedLimits::on(const LimitRequested& event, absl::Time now, absl::BitGenRef random,
                      SharedLimitActions& actions) {
  client_.onRequest(event.id, event.tenant, event.tokens, now, random, actions);
}

void SharedLimits::on(const LimitedRequestEnded& event, absl::Time /*now*/, absl::BitGenRef /*random*/,
                      SharedLimitActions& /*actions*/) {
  client_.onRequestEnded(event.tenant);
}

void SharedLimits::on(const LimitMessageReceived& event, absl::Time now, absl::BitGenRef random,
                      SharedLimitActions& actions) {
  if (const auto* asks = std::get_if<LimitAskBatch>(&event.message)) {
    home_.onAsks(event.from, *asks, now, actions);
  } else if (const auto* grants = std::get_if<LimitGrantBatch>(&event.message)) {
    client_.onGrants(event.from, *grants, now, random, actions);
  } else if (const auto* request = std::get_if<RightsRequest>(&event.message)) {
    rights_.onRequest(event.from, *request, now, actions);
  } else if (const auto* release = std::get_if<RightsRelease>(&event.message)) {
    rights_.onRelease(event.from, *release, now);
  } else if (const auto* lease = std::get_if<RightsLease>(&event.message)) {
    rights_.onLease(event.from, *lease, now);
    home_.onLease(event.from, *lease, now);
  }
}

void SharedLimits::on(const LimitTick& /*event*/, absl::Time now, absl::BitGenRef random,
                      SharedLimitActions& actions) {
  rights_.onTick(now, actions);
  home_.onTick(now, actions);
  client_.onTick(now, random, actions);
}

}  // namespace quincewick::admission
