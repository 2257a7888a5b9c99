// Admission of a request: the configuration in force, its route, its key and its deadline.
#include <algorithm>
#include <cmath>

#include "gateway/exchange.h"

namespace quincewick::gateway {
namespace {

constexpr double kGoldenRatioConjugate = 0.6180339887498949;  // multiples mod 1 spread evenly over [0, 1)
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

}  // namespace

void Exchange::noteConfigurationAge() {
  if (configuration_ == nullptr) {
    return;
  }
  configuration_age_ = core_.configurationAge(began_);
  core_.metrics.observeConfigurationAge(configuration_age_, core_.configurationIsCurrent(began_));
}

int64_t Exchange::configurationVersion() const {
  return configuration_ == nullptr ? 0 : static_cast<int64_t>(configuration_->version().value());
}

// An outdated configuration may lack a new route or key, so the caller is told to retry.
void Exchange::rejectUnknown(int status, std::string_view why) {
  if (core_.configurationIsCurrent(began_)) {
    reject(status, why, kRetryAfter);
  } else {
    reject(kUnavailable, "configuration_outdated", kRetryAfter);
  }
}

bool Exchange::admit() {
  if (core_.rejects_requests) {
    reject(kUnavailable, "stopping", kRetryAfter);
    return false;
  }
  if (configuration_ == nullptr) {
    reject(kUnavailable, "no_configuration", kRetryAfter);
    return false;
  }
  const bool knows_versions = core_.rollouts == nullptr || core_.rollouts->hasRecords();
  if (!core_.has_server_list || !knows_versions) {
    reject(kUnavailable, "servers_not_read_yet", kRetryAfter);
    return false;
  }
  const std::string* const host = findField(head_.fields, "Host");
  route_ = configuration_->findRoute(host == nullptr ? "" : *host, head_.target);
  if (route_ == nullptr) {
    rejectUnknown(kNotFound, "no_route");
    return false;
  }
  if (!configuration_->needsKeys() || route_->is_public) {
    return true;
  }
  if (!core_.keysAreConfirmed(began_)) {
    reject(kUnavailable, "keys_not_confirmed", kRetryAfter);
    return false;
  }
  tenant_ = facts_.key ? configuration_->findTenant(*facts_.key) : nullptr;
  if (tenant_ == nullptr) {
    rejectUnknown(kUnauthorized, "unknown_key");
    return false;
  }
  return true;
}

void Exchange::setDeadline() {
  if (facts_.deadline) {
    deadline_ = began_ + *facts_.deadline;
  }
  if (route_->timeout) {
    deadline_ = std::min(deadline_, began_ + *route_->timeout);
  }
  if (deadline_ != absl::InfiniteFuture()) {
    deadline_timer_ = core_.timers.schedule(deadline_, [this] {
      const auto self = shared_from_this();
      onDeadline();
    });
  }
}

void Exchange::chooseService() {
  double sum = 0;
  for (const forwarding::ServiceShare& share : route_->shares) {
    sum += share.weight;
  }
  double integer_part = 0;
  std::modf(static_cast<double>(++core_.split_counter) * kGoldenRatioConjugate, &integer_part);
  double remaining = (static_cast<double>(core_.split_counter) * kGoldenRatioConjugate - integer_part) * sum;
  for (const forwarding::ServiceShare& share : route_->shares) {
    service_ = share.service;
    remaining -= share.weight;
    if (remaining < 0) {
      break;
    }
  }
}

}  // namespace quincewick::gateway
