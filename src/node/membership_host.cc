#include "node/membership_host.h"

#include <absl/time/clock.h>
#include <glog/logging.h>

#include <utility>
#include <variant>

namespace quincewick::node {
namespace {

constexpr size_t kCallThreads = 1;

}  // namespace

MembershipHost::MembershipHost(const membership::SelfDescription& self, platform::Platform& platform,
                               MembershipHooks hooks)
    : hooks_(std::move(hooks)),
      self_(self.id),
      protocol_(membership::MembershipSettings(), self, absl::Now()),
      random_(std::random_device{}()),
      calls_(platform, kCallThreads),
      ticker_([this] { tickUntilStopped(); }) {}

MembershipHost::~MembershipHost() {
  {
    absl::MutexLock lock(&mutex_);
    stopping_ = true;
  }
  ticker_.join();
}

void MembershipHost::receive(const NodeId& from, const std::string& bytes) {
  feed(membership::MessageReceived{from, bytes});
}

void MembershipHost::announceLeaving() {
  feed(membership::LeaveRequested{});
}

void MembershipHost::announceLeft() {
  feed(membership::LeaveFinished{});
}

std::optional<Address> MembershipHost::addressOf(const NodeId& node) {
  absl::MutexLock lock(&mutex_);
  const membership::Member* member = protocol_.find(node);
  if (member == nullptr || member->isGone()) {
    return std::nullopt;
  }
  return member->record.address;
}

std::vector<MemberView> MembershipHost::members() {
  absl::MutexLock lock(&mutex_);
  return collectMembers();
}

std::vector<MemberView> MembershipHost::collectMembers() const {
  std::vector<MemberView> members;
  for (const auto& [id, member] : protocol_.members()) {
    if (id != self_) {
      members.push_back(MemberView{member.record, protocol_.isUsable(id)});
    }
  }
  return members;
}

void MembershipHost::feed(const membership::MembershipEvent& event) {
  std::vector<membership::MembershipAction> actions;
  {
    absl::MutexLock lock(&mutex_);
    actions = protocol_.handle(event, absl::Now(), random_);
  }
  perform(std::move(actions));
}

void MembershipHost::perform(std::vector<membership::MembershipAction> actions) {
  bool changed = false;
  for (membership::MembershipAction& action : actions) {
    if (auto* send = std::get_if<membership::SendToPeer>(&action)) {
      hooks_.send(send->to, send->address, std::move(send->bytes));
    } else if (const auto* member = std::get_if<membership::MemberChanged>(&action)) {
      LOG(INFO) << "event=member_changed member=" << member->record.id
                << " state=" << membership::memberStateName(member->record.state)
                << " incarnation=" << member->record.incarnation;
      changed = true;
    } else if (const auto* zone = std::get_if<membership::ZoneReachabilityChanged>(&action)) {
      LOG(WARNING) << "event=zone_reachability zone=" << zone->zone << " reachable=" << zone->reachable;
      changed = true;
    } else if (std::holds_alternative<membership::ReadMachineList>(action)) {
      calls_.call(MachineListRead{}, [this](PlatformResult result) {
        if (auto* list = std::get_if<MachineList>(&result)) {
          feed(membership::MachineListReceived{std::move(*list)});
        }
      });
    }
  }
  if (changed) {
    hooks_.members_changed(members());
  }
}

void MembershipHost::tickUntilStopped() {
  while (true) {
    {
      absl::MutexLock lock(&mutex_);
      const absl::Duration pause = protocol_.nextWakeup() - absl::Now();
      if (mutex_.AwaitWithTimeout(absl::Condition(&stopping_), pause)) {
        return;
      }
    }
    feed(membership::Tick{});
  }
}

}  // namespace quincewick::node
