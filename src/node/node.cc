#include "node/node.h"

#include <absl/time/clock.h>
#include <glog/logging.h>

#include <random>
#include <utility>

#include "http/caller_api.h"
#include "http/operator_api.h"
#include "node/answer_relay.h"
#include "node/process_life.h"
#include "streams/stream_position.h"

namespace quincewick::node {
namespace {

constexpr size_t kWorkerThreadsPerCallerThread = 2;  // an answer may have a hedged attempt beside its first
constexpr absl::Duration kRetryAfterLeaving = absl::Seconds(1);
constexpr absl::Duration kDrainPollInterval = absl::Milliseconds(20);
constexpr absl::Duration kTakeAnswerTimeout = absl::Seconds(2);

std::function<absl::Time()> realClock() {
  return [] { return absl::Now(); };
}

uint64_t randomSeed() {
  return std::random_device{}();
}

routing::RouterSettings routerSettings(const configuration::NodeSettings& settings) {
  routing::RouterSettings router;
  router.directory.zone = settings.zone;
  router.directory.regions[settings.zone] = settings.region;
  return router;
}

platform::HttpPlatformOptions platformOptions(const configuration::NodeSettings& settings) {
  return {settings.platform.connect_timeout, settings.platform.call_timeout, settings.node_id, settings.zone};
}

engine::CallerIdentity identityOf(const configuration::NodeSettings& settings) {
  return {settings.node_id, settings.zone};
}

engine::HttpEngineOptions engineOptions(const configuration::NodeSettings& settings) {
  engine::HttpEngineOptions options;
  options.identity = identityOf(settings);
  return options;
}

engine::HttpActionOptions actionOptions(const configuration::NodeSettings& settings) {
  engine::HttpActionOptions options;
  options.identity = identityOf(settings);
  return options;
}

http::HttpServerOptions callerServerOptions(const configuration::NodeSettings& settings) {
  http::HttpServerOptions options;
  options.worker_threads = settings.http.caller_threads;
  options.maximum_body_bytes = settings.http.body_bytes;
  options.input_bytes = settings.http.input_bytes;
  if (settings.tls.callers.has_value()) {
    options.tls =
        http::TlsFiles{settings.tls.callers->certificate_file, settings.tls.callers->private_key_file};
  }
  return options;
}

http::HttpServerOptions operatorServerOptions(const configuration::NodeSettings& settings) {
  http::HttpServerOptions options;
  options.worker_threads = settings.http.operator_threads;
  options.maximum_body_bytes = settings.http.body_bytes;
  if (settings.tls.operators.has_value()) {
    options.tls =
        http::TlsFiles{settings.tls.operators->certificate_file, settings.tls.operators->private_key_file};
  }
  return options;
}

}  // namespace

Node::Node(const configuration::NodeSettings& settings, std::optional<configuration::Policy> initial_policy)
    : settings_(settings),
      initial_policy_(std::move(initial_policy)),
      platform_(settings.platform.address, platformOptions(settings)),
      engines_(engineOptions(settings)),
      action_channel_(actionOptions(settings)),
      router_(routerSettings(settings), realClock(), randomSeed()),
      gate_(admission::AdmissionConfiguration(), realClock(), randomSeed()),
      health_(realClock()),
      kept_answers_(streams::StreamStoreOptions(), realClock()),
      monitor_(BackEndMonitorOptions(), platform_, engines_, router_, health_, realClock()),
      workers_(settings.http.caller_threads * kWorkerThreadsPerCallerThread),
      completions_(CompletionServiceOptions{prefix::SaltSecret{settings.salt_secret}},
                   CompletionResources{policies_, router_, gate_, engines_, workers_, health_, kept_answers_,
                                       metrics_, realClock()}) {}

Node::~Node() {
  stop();
}

Result<NodePorts> Node::start() {
  const Incarnation incarnation = firstIncarnation(absl::Now());
  BOOST_OUTCOME_TRYV(openNetwork(incarnation));
  makeHosts(incarnation);
  monitor_.start();
  NodePorts ports;
  ports.peers = network_->localAddress().port;
  BOOST_OUTCOME_TRY(operators, startOperatorServer());
  ports.operators = operators;
  BOOST_OUTCOME_TRY(callers, startCallerServer());
  ports.callers = callers;
  LOG(INFO) << "event=serving node=" << settings_.node_id << " zone=" << settings_.zone
            << " callers=" << ports.callers << " operators=" << ports.operators << " peers=" << ports.peers;
  return ports;
}

Result<void> Node::openNetwork(Incarnation incarnation) {
  BOOST_OUTCOME_TRY(network, PeerNetwork::open(settings_, incarnation, subscriptions()));
  network_ = std::move(network);
  return outcome::success();
}

std::vector<PeerSubscription> Node::subscriptions() {
  const auto when_ready = [this](auto handle) {
    return [this, handle](const NodeId& from, const std::string& bytes) {
      if (const UseGate::Use use(hosts_); use) {
        handle(from, bytes);
      }
    };
  };
  return {
      {peer::PeerModule::kMembership, when_ready([this](const NodeId& from, const std::string& bytes) {
         membership_->receive(from, bytes);
       }),
       nullptr},
      {peer::PeerModule::kConfiguration, when_ready([this](const NodeId& from, const std::string& bytes) {
         configuration_->receive(from, bytes);
       }),
       nullptr},
      {peer::PeerModule::kLedger,
       when_ready([this](const NodeId& from, const std::string& bytes) { ledger_->receive(from, bytes); }),
       nullptr},
      {peer::PeerModule::kRouting, nullptr,
       [this](const NodeId& /*from*/, const std::string& bytes) { return giveAnswer(bytes); }},
  };
}

void Node::makeHosts(Incarnation incarnation) {
  const Address peer_address = settings_.advertised_peer_address.value_or(
      Address{settings_.listen.peers.host, network_->localAddress().port});
  ledger_ =
      std::make_unique<LedgerHost>(ledger::Member{settings_.node_id, lifeOf(incarnation), settings_.zone},
                                   platform_, LedgerHooks{[this](const NodeId& to, std::string bytes) {
                                     sendToPeer(to, peer::PeerModule::kLedger, std::move(bytes));
                                   }});
  actions_ = std::make_unique<ActionService>(
      ActionResources{policies_, router_, *ledger_, action_channel_, monitor_, metrics_});

  configuration::ReplicaSettings replica;
  replica.node = settings_.node_id;
  replica.zone = settings_.zone;
  replica.initial_policy = initial_policy_;
  ConfigurationHooks configuration_hooks;
  configuration_hooks.send = [this](const NodeId& to, std::string bytes, bool /*bulk*/) {
    sendToPeer(to, peer::PeerModule::kConfiguration, std::move(bytes));
  };
  configuration_hooks.in_force = [this](ConfigurationVersion version, const configuration::Policy& policy) {
    onPolicyInForce(version, policy);
  };
  configuration_ = std::make_unique<ConfigurationHost>(std::move(replica), platform_, configuration_hooks);
  policy_operations_ = std::make_unique<PolicyOperations>(*configuration_);
  operator_service_ = std::make_unique<OperatorService>(OperatorResources{
      settings_, *policy_operations_, completions_, router_, monitor_, [this] { return ready(); }});

  membership_ = std::make_unique<MembershipHost>(
      membership::SelfDescription{settings_.node_id, settings_.zone, settings_.region, peer_address,
                                  incarnation},
      platform_,
      MembershipHooks{[this](const NodeId& to, const Address& address, std::string bytes) {
                        network_->send(to, address, peer::PeerModule::kMembership, std::move(bytes));
                      },
                      [this](const std::vector<MemberView>& members) { onMembersChanged(members); }});
  hosts_.open();
  onMembersChanged(membership_->members());
  // What was in force before the hooks could act on it.
  const ConfigurationView view = configuration_->view();
  if (view.ready) {
    onPolicyInForce(view.version, view.policy);
  }
}

Result<uint16_t> Node::startCallerServer() {
  caller_server_ = std::make_unique<http::HttpServer>(callerServerOptions(settings_));
  http::registerCallerApi(caller_server_->routes(), *this);
  return caller_server_->start(settings_.listen.callers);
}

Result<uint16_t> Node::startOperatorServer() {
  operator_server_ = std::make_unique<http::HttpServer>(operatorServerOptions(settings_));
  http::addOperatorRoutes(*operator_service_, operator_server_->routes());
  return operator_server_->start(settings_.listen.operators);
}

void Node::sendToPeer(const NodeId& to, peer::PeerModule module, std::string bytes) {
  const UseGate::Use use(hosts_);
  if (!use) {
    return;
  }
  const std::optional<Address> address = membership_->addressOf(to);
  if (address.has_value()) {
    network_->send(to, *address, module, std::move(bytes));
  }
}

void Node::onMembersChanged(const std::vector<MemberView>& members) {
  const UseGate::Use use(hosts_);
  if (!use) {
    return;
  }
  std::vector<configuration::PeerNode> peers;
  for (const MemberView& member : members) {
    if (member.usable) {
      peers.push_back({member.record.id, member.record.zone});
    }
  }
  configuration_->setPeers(std::move(peers));
  ledger_->setPeers(members);
}

void Node::onPolicyInForce(ConfigurationVersion version, const configuration::Policy& policy) {
  const UseGate::Use use(hosts_);
  if (!use) {
    return;
  }
  const Result<bool> installed = policies_.install(version, policy);
  if (installed.has_error()) {
    LOG(ERROR) << "event=policy_unusable version=" << version << " reason=\"" << installed.error().message
               << "\"";
    return;
  }
  if (!installed.value()) {
    return;
  }
  LOG(INFO) << "event=policy_in_force version=" << version;
  policy_operations_->onInForce(policy);
  gate_.reconfigure(configuration::admissionConfiguration(policy));
  health_.configure(policy.retries);
  router_.handle(routing::RoutesChanged{policies_.current()->routes});
}

void Node::drain(const membership::DrainSettings& settings) {
  drainUntilIdle(settings);
  refusing_ = true;
}

void Node::drainUntilIdle(const membership::DrainSettings& settings) {
  membership::DrainCoordinator coordinator(settings);
  membership::DrainEvent event = membership::StopRequested{};
  while (true) {
    for (const membership::DrainAction& action : coordinator.handle(event, absl::Now())) {
      if (std::holds_alternative<membership::AnnounceLeaving>(action)) {
        membership_->announceLeaving();
      } else if (std::holds_alternative<membership::BecomeUnready>(action)) {
        unready_ = true;
      } else if (std::holds_alternative<membership::CutStreams>(action)) {
        LOG(WARNING) << "event=streams_cut in_flight=" << std::get<membership::CutStreams>(action).in_flight;
        return;
      } else {
        membership_->announceLeft();
        return;
      }
    }
    refusing_ = coordinator.admit(absl::Now()).has_error();
    absl::SleepFor(kDrainPollInterval);
    event = membership::InFlightChanged{inFlight()};
  }
}

uint32_t Node::inFlight() {
  return static_cast<uint32_t>(gate_.inFlight() + gate_.waiting()) + actions_in_flight_;
}

void Node::stop() {
  refusing_ = true;
  unready_ = true;
  if (caller_server_ != nullptr) {
    caller_server_->stop();
  }
  if (operator_server_ != nullptr) {
    operator_server_->stop();
  }
  hosts_.close();
  // Their threads end before the network that they send by.
  operator_service_.reset();
  policy_operations_.reset();
  membership_.reset();
  configuration_.reset();
  actions_.reset();
  ledger_.reset();
  network_.reset();
}

Result<void> Node::refuseWhileLeaving() const {
  if (refusing_) {
    Error error{ErrorCode::kUnavailable, "this node is leaving", Execution::kNotRun};
    error.retry_after = kRetryAfterLeaving;
    return outcome::failure(error);
  }
  return outcome::success();
}

Result<TenantId> Node::authenticate(std::string_view key) {
  const std::shared_ptr<const PolicyInForce> policy = policies_.current();
  if (policy == nullptr) {
    return fail(ErrorCode::kUnavailable, "no policy is in force yet");
  }
  return policy->access.authenticateCaller(key, absl::Now());
}

RequestId Node::newRequestId() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return streams::makeRequestId(settings_.node_id, generator());
}

Result<std::shared_ptr<http::ResponseReader>> Node::complete(const http::CompletionCall& call) {
  BOOST_OUTCOME_TRYV(refuseWhileLeaving());
  Result<std::shared_ptr<http::ResponseReader>> answer = completions_.complete(call);
  if (answer.has_error()) {
    metrics_.requestRefused(answer.error());
  }
  return answer;
}

Result<std::shared_ptr<http::ResponseReader>> Node::reconnect(const RequestId& request,
                                                              const TenantId& tenant,
                                                              std::optional<uint64_t> last_offset) {
  BOOST_OUTCOME_TRYV(refuseWhileLeaving());
  BOOST_OUTCOME_TRY(answer, takeAnswer(request, tenant));
  const uint64_t from_offset = last_offset.has_value() ? *last_offset + 1 : 0;
  return completions_.resume(std::move(answer), from_offset);
}

Result<streams::RecentAnswer> Node::takeAnswer(const RequestId& request, const TenantId& tenant) {
  Result<streams::RecentAnswer> held = kept_answers_.take(request, tenant);
  if (held.has_value()) {
    return held;
  }
  BOOST_OUTCOME_TRY(serving_node, streams::servingNode(request));
  const std::optional<Address> address = membership_->addressOf(serving_node);
  if (serving_node == settings_.node_id || !address.has_value()) {
    return held;
  }
  BOOST_OUTCOME_TRY(bytes, network_->call(serving_node, *address, peer::PeerModule::kRouting,
                                          encodeTakeAnswer({request, tenant}), kTakeAnswerTimeout));
  return decodeRecentAnswer(bytes);
}

Result<std::string> Node::giveAnswer(const std::string& request) {
  BOOST_OUTCOME_TRY(wanted, decodeTakeAnswer(request));
  BOOST_OUTCOME_TRY(answer, kept_answers_.take(wanted.request, wanted.tenant));
  return encodeRecentAnswer(answer);
}

Result<http::ActionAnswer> Node::runAction(const http::ActionCall& call) {
  BOOST_OUTCOME_TRYV(refuseWhileLeaving());
  ++actions_in_flight_;
  Result<http::ActionAnswer> answer = actions_->run(call);
  --actions_in_flight_;
  if (answer.has_error()) {
    metrics_.requestRefused(answer.error());
  }
  return answer;
}

std::vector<ModelName> Node::models(const TenantId& /*tenant*/) {
  std::vector<ModelName> names;
  const std::shared_ptr<const PolicyInForce> policy = policies_.current();
  if (policy != nullptr) {
    for (const auto& [name, model] : policy->policy.models) {
      names.push_back(name);
    }
  }
  return names;
}

bool Node::ready() {
  return !unready_ && policies_.current() != nullptr && monitor_.answeringEngines() > 0;
}

std::string Node::metricsText() {
  const peer::UdpCounters counters = network_->counters();
  metrics_.setPeerTraffic(counters.bytes_sent, counters.bytes_received);
  const std::shared_ptr<const PolicyInForce> policy = policies_.current();
  metrics_.setConfigurationVersion(policy == nullptr ? ConfigurationVersion() : policy->version);
  return metrics_.text();
}

}  // namespace quincewick::node
