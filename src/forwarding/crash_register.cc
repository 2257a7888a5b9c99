#include "forwarding/crash_register.h"

#include <algorithm>

namespace quincewick::forwarding {
namespace {

// Gateways hear of one end within milliseconds of each other; a server needs seconds to come back.
constexpr absl::Duration kSameEnd = absl::Seconds(1);
// A caller that comes back within it meets what is known of its request.
constexpr absl::Duration kEndsCount = absl::Hours(1);
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
CrashRegister::EndNumber CrashRegister::numberOf(const ServerEnd& end, absl::Time now) {
  const auto last = last_of_life_.find(end.life);
  if (last != last_of_life_.end()) {
    End& known = ends_.at(last->second);
    if (now - known.at < kSameEnd) {
      return last->second;
    }
  }
  const EndNumber number = ++last_number_;
  ends_[number] = {end.life, end.service, now, {}};
  ends_in_order_.push_back(number);
  last_of_life_[end.life] = number;
  return number;
}

std::vector<RequestIdentity> CrashRegister::noteEnd(const ServerEnd& end, absl::Time now) {
  const EndNumber number = numberOf(end, now);
  std::vector<RequestIdentity>& there = ends_.at(number).there;
  for (const RequestIdentity& identity : end.there) {
    if (there.size() >= kThereAtMost || holds(there, identity) || wasServed(identity, now)) {
      continue;
    }
    there.push_back(identity);
    suspects_[identity].push_back(number);
    ++presences_;
  }
  std::vector<RequestIdentity> to_blame;
  for (const RequestIdentity& identity : there) {
    if (isToBlame(identity) && noteBlamed(identity, now)) {
      to_blame.push_back(identity);
    }
  }
  while (presences_ > kPresencesAtMost || ends_.size() > kEndsAtMost) {
    dropOldestEnd();
  }
  return to_blame;
}

size_t CrashRegister::endsUnder(const RequestIdentity& identity) const {
  const auto found = suspects_.find(identity);
  return found == suspects_.end() ? 0 : found->second.size();
}

size_t CrashRegister::worstBeside(const End& end, const RequestIdentity& identity) const {
  size_t worst = 0;
  for (const RequestIdentity& other : end.there) {
    if (other != identity) {
      worst = std::max(worst, endsUnder(other));
    }
  }
  return worst;
}

bool CrashRegister::isToBlame(const RequestIdentity& identity) const {
  const auto found = suspects_.find(identity);
  if (found == suspects_.end() || found->second.size() < kEndsToBlame) {
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
  const bool is_unclear = contested == unexplained || doServersFallAnyway(identity, ends);
  return unexplained >= (is_unclear ? kEndsToBlameAmongOthers : kEndsToBlame);
}

bool CrashRegister::doServersFallAnyway(const RequestIdentity& identity,
                                        const std::vector<EndNumber>& ends) const {
  const End& first = ends_.at(ends.front());
  size_t without = 0;
  for (const auto& [number, end] : ends_) {
    const bool is_meanwhile = end.service == first.service && end.at >= first.at;
    const bool has_culprit = worstBeside(end, identity) > 1;
    without += is_meanwhile && !has_culprit && !holds(end.there, identity) ? 1 : 0;
  }
  return without >= ends.size();
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
    presences_ -= std::erase(ends_.at(number).there, identity);
  }
  suspects_.erase(found);
}

bool CrashRegister::noteBlamed(const RequestIdentity& identity, absl::Time now) {
  if (wasServed(identity, now) || blamed_.contains(identity)) {
    return false;
  }
  makeRoomForBlame();
  blamed_[identity] = {now, now};
  return true;
}

void CrashRegister::makeRoomForBlame() {
  if (blamed_.size() < kBlamedAtMost) {
    return;
  }
  blamed_.erase(std::min_element(blamed_.begin(), blamed_.end(), [](const auto& left, const auto& right) {
    return left.second.asked < right.second.asked;
  }));
}

CrashVerdict CrashRegister::verdictOn(const RequestIdentity& identity, absl::Time now) {
  const auto found = blamed_.find(identity);
  if (found == blamed_.end()) {
    return CrashVerdict::kSend;
  }
  found->second.asked = now;
  return now - found->second.since < kObjectionTime ? CrashVerdict::kWait : CrashVerdict::kReject;
}

std::vector<RequestIdentity> CrashRegister::blamed(size_t most) const {
  std::vector<std::pair<absl::Time, RequestIdentity>> all;
  all.reserve(blamed_.size());
  for (const auto& [identity, blame] : blamed_) {
    all.emplace_back(blame.asked, identity);
  }
  std::sort(all.rbegin(), all.rend());
  all.resize(std::min(all.size(), most));
  std::vector<RequestIdentity> result;
  for (const auto& [asked, identity] : all) {
    result.push_back(identity);
  }
  return result;
}

void CrashRegister::dropOldestEnd() {
  const EndNumber number = ends_in_order_.front();
  ends_in_order_.pop_front();
  const End& end = ends_.at(number);
  for (const RequestIdentity& identity : end.there) {
    std::vector<EndNumber>& ends = suspects_.at(identity);
    std::erase(ends, number);
    if (ends.empty()) {
      suspects_.erase(identity);
    }
  }
  presences_ -= end.there.size();
  if (last_of_life_.at(end.life) == number) {
    last_of_life_.erase(end.life);
  }
  ends_.erase(number);
}

void CrashRegister::forgetOld(absl::Time now) {
  while (!ends_in_order_.empty() && now - ends_.at(ends_in_order_.front()).at > kEndsCount) {
    dropOldestEnd();
  }
  absl::erase_if(blamed_, [now](const auto& entry) { return now - entry.second.asked > kBlameLasts; });
}

}  // namespace quincewick::forwarding
