#include "forwarding/crash_register.h"

#include <algorithm>
#include <map>
#include <utility>

namespace quincewick::forwarding {
namespace {

// Gateways hear of one end within milliseconds of each other; a server needs seconds to come back.
constexpr absl::Duration kSameEnd = absl::Seconds(1);
// A caller that comes back within it meets what is known of its request.
constexpr absl::Duration kEndsCount = absl::Hours(1);
constexpr absl::Duration kFallsCount = absl::Minutes(1);  // before a request's first end
constexpr absl::Duration kEndsAreRetold = absl::Minutes(1);
constexpr absl::Duration kBlameLasts = absl::Hours(24);  // after the request came last
constexpr absl::Duration kServedCounts = absl::Minutes(1);
// Bounds on memory, whatever callers send: about 0.4 MB with the tables around them.
constexpr size_t kPresencesAtMost = 4096;
constexpr size_t kBlamedAtMost = 1024;
constexpr size_t kEndsAtMost = 1024;
constexpr size_t kThereAtMost = 256;  // of one end

bool holds(const std::vector<RequestIdentity>& requests, const RequestIdentity& identity) {
  return std::find(requests.begin(), requests.end(), identity) != requests.end();
}

}  // namespace

// A life that ends again later is another start, which the list doesn't show yet.
CrashRegister::EndNumber CrashRegister::numberOf(const ServerCrash& end, absl::Time at) {
  const auto last = last_of_life_.find(end.incarnation);
  if (last != last_of_life_.end()) {
    if (at - ends_.at(last->second).at < kSameEnd) {
      return last->second;
    }
  }
  const EndNumber number = ++last_number_;
  ends_[number] = {end.incarnation, end.service, at, {}};
  ends_in_order_.push_back(number);
  last_of_life_[end.incarnation] = number;
  return number;
}

bool CrashRegister::noteCrash(const ServerCrash& end, absl::Time now) {
  const EndNumber number = numberOf(end, now - std::max(end.ago, absl::ZeroDuration()));
  std::vector<RequestIdentity>& in_flight = ends_.at(number).in_flight;
  for (const RequestIdentity& identity : end.in_flight) {
    if (in_flight.size() >= kThereAtMost || holds(in_flight, identity) || wasServed(identity, now)) {
      continue;
    }
    in_flight.push_back(identity);
    suspects_[identity].push_back(number);
    ++presences_;
  }
  bool is_any_charged = false;
  for (const RequestIdentity& identity : in_flight) {
    if (!blamed_.contains(identity) && isToBlame(identity)) {
      addBlame(identity, {now, now});
      is_any_charged = true;
    }
  }
  while (presences_ > kPresencesAtMost || ends_.size() > kEndsAtMost) {
    dropOldestEnd();
  }
  return is_any_charged;
}

std::vector<RequestIdentity> CrashRegister::settle(absl::Time now) {
  std::vector<RequestIdentity> to_blame;
  absl::erase_if(blamed_, [this, now, &to_blame](auto& entry) {
    auto& [identity, blame] = entry;
    if (blame.is_settled || now - blame.since < kEvidenceDelay) {
      return false;
    }
    blame.is_settled = isToBlame(identity);
    if (blame.is_settled) {
      to_blame.push_back(identity);
      // It has had the tries that the site allows.
      blame.had_trial = crashCount(identity) > kCrashesToQuarantineAmidUnrelated;
    }
    return !blame.is_settled;
  });
  return to_blame;
}

size_t CrashRegister::crashCount(const RequestIdentity& identity) const {
  const auto found = suspects_.find(identity);
  return found == suspects_.end() ? 0 : found->second.size();
}

size_t CrashRegister::worstBeside(const End& end, const RequestIdentity& identity) const {
  size_t worst = 0;
  for (const RequestIdentity& other : end.in_flight) {
    if (other != identity) {
      worst = std::max(worst, crashCount(other));
    }
  }
  return worst;
}

bool CrashRegister::isToBlame(const RequestIdentity& identity) const {
  const auto found = suspects_.find(identity);
  if (found == suspects_.end() || found->second.size() < kCrashesToQuarantine) {
    return false;
  }
  const std::vector<EndNumber>& ends = found->second;
  size_t unexplained = 0;
  size_t contested = 0;
  for (const EndNumber number : ends) {
    const size_t worst = worstBeside(ends_.at(number), identity);
    unexplained += worst <= ends.size() ? 1 : 0;
    contested += worst == ends.size() ? 1 : 0;
  }
  const size_t needed = endsToBlame(identity, contested == unexplained);
  // Two that end servers may have met at some of these ends.
  const bool is_one_of_several = unexplained >= kCrashesToIsolate && ends.size() > needed;
  return unexplained >= needed || is_one_of_several;
}

size_t CrashRegister::endsToBlame(const RequestIdentity& identity, bool is_contested) const {
  const std::vector<EndNumber>& ends = suspects_.at(identity);
  if (fallsWithout(identity, ends) >= kMinUnrelatedCrashes) {
    return kCrashesToQuarantineAmidUnrelated;
  }
  const absl::Time first = ends_.at(ends.front()).at;
  const bool came_at_once = ends_.at(ends.back()).at - first < kBurstWindow;
  const bool are_falls_unknown = first - kFallsCount < started_;
  return is_contested || came_at_once || are_falls_unknown ? kCrashesToQuarantineIfContested
                                                           : kCrashesToQuarantine;
}

size_t CrashRegister::fallsWithout(const RequestIdentity& identity,
                                   const std::vector<EndNumber>& ends) const {
  const End& first = ends_.at(ends.front());
  size_t falls = 0;
  for (const auto& [number, end] : ends_) {
    const bool is_lately = end.service == first.service && end.at >= first.at - kFallsCount;
    const bool has_culprit = worstBeside(end, identity) > 1;
    falls += is_lately && !has_culprit && !holds(end.in_flight, identity) ? 1 : 0;
  }
  return falls;
}

bool CrashRegister::noteServed(const RequestIdentity& identity, absl::Time now) {
  servedSlot(identity) = {identity, now};
  const bool was_charged = suspects_.contains(identity) || blamed_.contains(identity);
  if (was_charged) {
    dropEvidence(identity);
    blamed_.erase(identity);
  }
  return was_charged;
}

bool CrashRegister::wasServed(const RequestIdentity& identity, absl::Time now) const {
  const Served& served = servedSlot(identity);
  return served.identity == identity && now - served.at < kServedCounts;
}

void CrashRegister::dropEvidence(const RequestIdentity& identity) {
  const auto found = suspects_.find(identity);
  if (found == suspects_.end()) {
    return;
  }
  for (const EndNumber number : found->second) {
    presences_ -= std::erase(ends_.at(number).in_flight, identity);
  }
  suspects_.erase(found);
}

bool CrashRegister::noteQuarantined(const QuarantinedRequest& blamed, absl::Time now) {
  const auto found = blamed_.find(blamed.identity);
  const bool is_known = found != blamed_.end() && found->second.is_settled;
  if (is_known) {
    found->second.had_trial = found->second.had_trial || blamed.had_trial;
  }
  if (wasServed(blamed.identity, now) || is_known) {
    return false;
  }
  addBlame(blamed.identity, {now, now, true, blamed.had_trial});
  return true;
}

bool CrashRegister::isTrialDue(const RequestIdentity& identity, absl::Time now) const {
  const auto found = blamed_.find(identity);
  return found != blamed_.end() && found->second.is_settled && !found->second.had_trial && !apart_ &&
         now - found->second.since >= kTrialDelay;
}

void CrashRegister::takeTrial(const RequestIdentity& identity, absl::Time now) {
  Blame& blame = blamed_.at(identity);
  blame.had_trial = true;
  blame.may_be_sent = true;
  apart_ = {identity, now};
}

void CrashRegister::addBlame(const RequestIdentity& identity, const Blame& blame) {
  if (blamed_.size() >= kBlamedAtMost) {
    blamed_.erase(std::min_element(blamed_.begin(), blamed_.end(), [](const auto& left, const auto& right) {
      return left.second.asked < right.second.asked;
    }));
  }
  blamed_[identity] = blame;
}

void CrashRegister::noteSent(const RequestIdentity& identity, absl::Time now) {
  if (const auto found = blamed_.find(identity); found != blamed_.end()) {
    found->second.may_be_sent = false;
  }
  if (crashCount(identity) >= kCrashesToIsolate) {
    apart_ = {identity, now};
  }
}

void CrashRegister::noteOver(const RequestIdentity& identity) {
  if (apart_ && apart_->identity == identity) {
    apart_.reset();
  }
}

CrashVerdict CrashRegister::verdictOn(const RequestIdentity& identity, absl::Time now) {
  const auto found = blamed_.find(identity);
  if (found == blamed_.end()) {
    const bool another_runs = apart_ && now - apart_->since < kMaxIsolationTime;
    return another_runs && crashCount(identity) >= kCrashesToIsolate ? CrashVerdict::kWait
                                                                     : CrashVerdict::kSend;
  }
  found->second.asked = now;
  if (found->second.may_be_sent) {
    return CrashVerdict::kSend;
  }
  return found->second.is_settled ? CrashVerdict::kReject : CrashVerdict::kWait;
}

std::vector<QuarantinedRequest> CrashRegister::blamed(size_t most) const {
  std::vector<std::pair<absl::Time, RequestIdentity>> all;
  all.reserve(blamed_.size());
  for (const auto& [identity, blame] : blamed_) {
    if (blame.is_settled) {
      all.emplace_back(blame.asked, identity);
    }
  }
  std::sort(all.rbegin(), all.rend());
  all.resize(std::min(all.size(), most));
  std::vector<QuarantinedRequest> result;
  result.reserve(all.size());
  for (const auto& [asked, identity] : all) {
    result.push_back({identity, blamed_.at(identity).had_trial});
  }
  return result;
}

std::vector<RequestIdentity> CrashRegister::worstSuspects(absl::Time now) const {
  std::vector<std::pair<size_t, RequestIdentity>> worst;
  for (const auto& [identity, ends] : suspects_) {
    const bool is_recent = now - ends_.at(ends.back()).at <= kEndsAreRetold;
    if (ends.size() >= kCrashesToIsolate && is_recent && !blamed_.contains(identity)) {
      worst.emplace_back(ends.size(), identity);
    }
  }
  std::sort(worst.rbegin(), worst.rend());
  std::vector<RequestIdentity> result;
  result.reserve(worst.size());
  for (const auto& [count, identity] : worst) {
    result.push_back(identity);
  }
  return result;
}

std::vector<ServerCrash> CrashRegister::unresolvedCrashes(size_t most, absl::Time now) const {
  std::map<EndNumber, ServerCrash> open;
  size_t held = 0;
  for (const RequestIdentity& identity : worstSuspects(now)) {
    const std::vector<EndNumber>& ends = suspects_.at(identity);
    held += ends.size();
    if (held > most) {
      break;
    }
    for (const EndNumber number : ends) {
      const End& end = ends_.at(number);
      ServerCrash& told = open[number];
      told.incarnation = end.incarnation;
      told.service = end.service;
      told.ago = now - end.at;
      told.in_flight.push_back(identity);
    }
  }
  std::vector<ServerCrash> result;
  result.reserve(open.size());
  for (auto& [number, end] : open) {
    result.push_back(std::move(end));
  }
  return result;
}

void CrashRegister::dropOldestEnd() {
  const EndNumber number = ends_in_order_.front();
  ends_in_order_.pop_front();
  const End& end = ends_.at(number);
  for (const RequestIdentity& identity : end.in_flight) {
    std::vector<EndNumber>& ends = suspects_.at(identity);
    std::erase(ends, number);
    if (ends.empty()) {
      suspects_.erase(identity);
    }
  }
  presences_ -= end.in_flight.size();
  if (last_of_life_.at(end.incarnation) == number) {
    last_of_life_.erase(end.incarnation);
  }
  ends_.erase(number);
}

void CrashRegister::dropExpired(absl::Time now) {
  while (!ends_in_order_.empty() && now - ends_.at(ends_in_order_.front()).at > kEndsCount) {
    dropOldestEnd();
  }
  absl::erase_if(blamed_, [now](const auto& entry) { return now - entry.second.asked > kBlameLasts; });
}

}  // namespace quincewick::forwarding
