// Runs the membership protocol of a node: its thread, its clock, its reading of the platform's list.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "membership/membership_protocol.h"
#include "platform/call_pool.h"
#include "platform/platform.h"

namespace quincewick::node {

// A member as the node's other modules see it.
struct MemberView {
  membership::MemberRecord record;
  bool usable = false;  // it may be sent work
};

// What the host needs of the node. Called without its lock held, on the host's or the network's threads.
struct MembershipHooks {
  std::function<void(const NodeId& to, const Address& address, std::string bytes)> send;
  // Something changed; all members but this node.
  std::function<void(const std::vector<MemberView>& members)> members_changed;
};

// Thread-safe.
class MembershipHost {
 public:
  // `platform` must outlive the host.
  MembershipHost(const membership::SelfDescription& self, platform::Platform& platform,
                 MembershipHooks hooks);
  ~MembershipHost();
  MembershipHost(const MembershipHost&) = delete;
  MembershipHost& operator=(const MembershipHost&) = delete;

  // A peer's message.
  void receive(const NodeId& from, const std::string& bytes);

  // Tells the peers that this node leaves and takes nothing new; then that it is gone.
  void announceLeaving();
  void announceLeft();

  // Where a member takes peer messages. Nothing for unknown and gone members.
  std::optional<Address> addressOf(const NodeId& node);

  // All members but this node.
  std::vector<MemberView> members();

 private:
  void feed(const membership::MembershipEvent& event);
  void perform(std::vector<membership::MembershipAction> actions);
  void tickUntilStopped();
  std::vector<MemberView> collectMembers() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const MembershipHooks hooks_;
  const NodeId self_;
  absl::Mutex mutex_;
  membership::MembershipProtocol protocol_ ABSL_GUARDED_BY(mutex_);
  std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
  bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
  platform::CallPool calls_;  // before the thread: its callbacks feed the protocol
  std::thread ticker_;
};

}  // namespace quincewick::node
