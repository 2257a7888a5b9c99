#include "node/configuration_host.h"

#include <absl/time/clock.h>
#include <glog/logging.h>

#include <utility>

namespace quincewick::node {
namespace {

using namespace configuration;  // NOLINT(google-build-using-namespace): this file is about nothing else

constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
// After a proposal's deadline, for the call to the store that then runs.
constexpr absl::Duration kGraceAfterDeadline = absl::Seconds(6);
constexpr size_t kPlatformThreads = 3;
constexpr size_t kMaximumQueue = 4096;  // of events; messages beyond it are dropped as by a lossy network

}  // namespace

ConfigurationHost::ConfigurationHost(ReplicaSettings settings, platform::Platform& platform,
                                     ConfigurationHooks hooks)
    : hooks_(std::move(hooks)),
      replica_(std::move(settings), absl::Now()),
      random_(std::random_device{}()),
      next_tick_(absl::Now()),
      calls_(std::make_unique<platform::CallPool>(platform, kPlatformThreads)) {
  thread_ = std::thread([this] { run(); });
}

ConfigurationHost::~ConfigurationHost() {
  {
    const absl::MutexLock lock(&queue_mutex_);
    stopping_ = true;
  }
  thread_.join();
  calls_.reset();  // its callbacks still find the queue
}

void ConfigurationHost::enqueue(ReplicaEvent event) {
  const absl::MutexLock lock(&queue_mutex_);
  const bool may_be_lost = std::holds_alternative<PeerMessageReceived>(event);
  if (may_be_lost && queue_.size() >= kMaximumQueue) {
    return;
  }
  queue_.push_back(std::move(event));
}

void ConfigurationHost::setPeers(std::vector<PeerNode> peers) {
  enqueue(PeersChanged{std::move(peers)});
}

void ConfigurationHost::receive(const NodeId& from, const std::string& bytes) {
  Result<PeerMessage> message = decodePeerMessage(bytes);
  if (!message) {
    const absl::MutexLock lock(&queue_mutex_);
    ++malformed_;
    return;
  }
  enqueue(PeerMessageReceived{from, std::move(message.value())});
}

uint64_t ConfigurationHost::malformedMessages() const {
  const absl::MutexLock lock(&queue_mutex_);
  return malformed_;
}

ConfigurationHost::Outcome ConfigurationHost::propose(ChangeProposed proposal) {
  const absl::Time give_up = proposal.deadline + kGraceAfterDeadline;
  const absl::MutexLock lock(&queue_mutex_);
  last_proposal_ = last_proposal_.next();
  const ProposalId id = last_proposal_;
  proposal.id = id;
  queue_.emplace_back(std::move(proposal));
  const auto answered = [this, id]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(queue_mutex_) {
    return stopping_ || outcomes_.contains(id);
  };
  queue_mutex_.AwaitWithDeadline(absl::Condition(&answered), give_up);
  const auto outcome = outcomes_.find(id);
  if (outcome == outcomes_.end()) {
    return Error{ErrorCode::kOutcomeUnknown, "the node can't say whether the change was accepted",
                 Execution::kUnknown};
  }
  Outcome result = std::move(outcome->second);
  outcomes_.erase(outcome);
  return result;
}

bool ConfigurationHost::waitForVersion(ConfigurationVersion version, absl::Time deadline) const {
  const absl::MutexLock lock(&replica_mutex_);
  const auto holds = [this, version]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(replica_mutex_) {
    return replica_.version() >= version;
  };
  return replica_mutex_.AwaitWithDeadline(absl::Condition(&holds), deadline);
}

void ConfigurationHost::survey() {
  enqueue(SurveyRequested{});
}

ConfigurationView ConfigurationHost::view() const {
  const absl::MutexLock lock(&replica_mutex_);
  ConfigurationView view;
  view.ready = replica_.isReady();
  view.relay = replica_.isRelay();
  view.version = replica_.version();
  view.confirmed_age = absl::Now() - replica_.confirmedAt();
  view.policy = replica_.policy();
  view.peers = replica_.peerVersions();
  return view;
}

std::vector<ChangeRecord> ConfigurationHost::changesAfter(ConfigurationVersion version) const {
  const absl::MutexLock lock(&replica_mutex_);
  std::vector<ChangeRecord> records;
  for (const ChangeRecord& record : replica_.history()) {
    if (record.version > version) {
      records.push_back(record);
    }
  }
  return records;
}

Result<std::vector<ObjectChange>> ConfigurationHost::changesBackTo(ConfigurationVersion version) const {
  const absl::MutexLock lock(&replica_mutex_);
  return replica_.changesBackTo(version);
}

std::optional<ReplicaEvent> ConfigurationHost::nextEvent() {
  const absl::MutexLock lock(&queue_mutex_);
  queue_mutex_.AwaitWithDeadline(absl::Condition(this, &ConfigurationHost::hasEvent), next_tick_);
  if (stopping_) {
    return std::nullopt;
  }
  if (queue_.empty() || absl::Now() >= next_tick_) {
    next_tick_ = absl::Now() + kTickInterval;
    return Tick{};
  }
  ReplicaEvent event = std::move(queue_.front());
  queue_.pop_front();
  return event;
}

void ConfigurationHost::run() {
  while (const std::optional<ReplicaEvent> event = nextEvent()) {
    handle(*event);
  }
}

void ConfigurationHost::handle(const ReplicaEvent& event) {
  ReplicaActions actions;
  std::optional<Policy> in_force;
  ConfigurationVersion version;
  {
    const absl::MutexLock lock(&replica_mutex_);
    actions = replica_.handle(event, absl::Now(), random_);
    for (const ReplicaAction& action : actions) {
      if (std::holds_alternative<VersionInForce>(action) && replica_.isReady()) {
        in_force = replica_.policy();
        version = replica_.version();
      }
    }
  }
  for (const ReplicaAction& action : actions) {
    perform(action);
  }
  if (in_force && hooks_.in_force) {
    hooks_.in_force(version, *in_force);
  }
}

void ConfigurationHost::perform(const ReplicaAction& action) {
  if (const auto* message = std::get_if<SendToPeer>(&action)) {
    std::string bytes = encodePeerMessage(message->message);
    const bool bulk = bytes.size() > kMaximumDatagram;
    if (hooks_.send) {
      hooks_.send(message->to, std::move(bytes), bulk);
    }
  } else if (const auto* call = std::get_if<PlatformCall>(&action)) {
    calls_->call(call->request, [this, id = call->id](PlatformResult result) {
      enqueue(PlatformReply{id, std::move(result)});
    });
  } else if (const auto* finished = std::get_if<ProposalFinished>(&action)) {
    const absl::MutexLock lock(&queue_mutex_);
    outcomes_.insert_or_assign(finished->id, finished->outcome);
  } else if (const auto* risen = std::get_if<VersionInForce>(&action)) {
    LOG(INFO) << "event=configuration_in_force version=" << risen->version;
  }
}

}  // namespace quincewick::node
