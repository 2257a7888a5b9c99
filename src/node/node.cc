#include "node/node.h"

#include <absl/time/clock.h>
#include <glog/logging.h>

#include <random>
#include <utility>

#include "http/caller_api.h"
#include "streams/stream_position.h"

namespace quincewick::node {
namespace {

constexpr size_t kWorkerThreadsPerCallerThread = 2;  // an answer may have a hedged attempt beside its first
constexpr absl::Duration kRetryAfterLeaving = absl::Seconds(1);

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
  return {settings.platform.connect_timeout, settings.platform.call_timeout};
}

http::HttpServerOptions callerServerOptions(const configuration::NodeSettings& settings) {
  http::HttpServerOptions options;
  options.worker_threads = settings.http.caller_threads;
  options.maximum_body_bytes = settings.http.body_bytes;
  if (settings.tls.callers.has_value()) {
    options.tls =
        http::TlsFiles{settings.tls.callers->certificate_file, settings.tls.callers->private_key_file};
  }
  return options;
}

}  // namespace

Node::Node(const configuration::NodeSettings& settings)
    : settings_(settings),
      platform_(settings.platform.address, platformOptions(settings)),
      engines_(engine::HttpEngineOptions()),
      action_channel_(engine::HttpActionOptions()),
      router_(routerSettings(settings), realClock(), randomSeed()),
      gate_(admission::AdmissionConfiguration(), realClock(), randomSeed()),
      health_(realClock()),
      kept_answers_(streams::StreamStoreOptions(), realClock()),
      monitor_(BackEndMonitorOptions(), platform_, engines_, router_, health_, realClock()),
      workers_(settings.http.caller_threads * kWorkerThreadsPerCallerThread),
      completions_(CompletionServiceOptions{prefix::SaltSecret{settings.salt_secret}},
                   CompletionResources{policies_, router_, gate_, engines_, workers_, health_, kept_answers_,
                                       metrics_, realClock()}),
      actions_(ActionResources{policies_, router_, platform_, action_channel_, monitor_, metrics_}) {}

Node::~Node() {
  stop();
}

Result<void> Node::installPolicy(ConfigurationVersion version, configuration::Policy policy) {
  const admission::AdmissionConfiguration admission = configuration::admissionConfiguration(policy);
  BOOST_OUTCOME_TRY(installed, policies_.install(version, std::move(policy)));
  if (installed) {
    LOG(INFO) << "event=policy_in_force version=" << version;
    gate_.reconfigure(admission);
    health_.configure(policies_.current()->policy.retries);
    router_.handle(routing::RoutesChanged{policies_.current()->routes});
  }
  return outcome::success();
}

Result<void> Node::installInitialPolicy(configuration::Policy policy) {
  // Version 0 comes before every accepted version.
  return installPolicy(ConfigurationVersion(), std::move(policy));
}

Result<uint16_t> Node::start() {
  monitor_.start();
  caller_server_ = std::make_unique<http::HttpServer>(callerServerOptions(settings_));
  http::registerCallerApi(caller_server_->routes(), *this);
  BOOST_OUTCOME_TRY(port, caller_server_->start(settings_.listen.callers));
  LOG(INFO) << "event=serving node=" << settings_.node_id << " zone=" << settings_.zone
            << " address=" << settings_.listen.callers.host << ":" << port;
  return port;
}

void Node::stop() {
  if (caller_server_ == nullptr) {
    return;
  }
  leaving_ = true;
  caller_server_->stop();
  caller_server_.reset();
  LOG(INFO) << "event=stopped node=" << settings_.node_id;
}

Result<void> Node::refuseWhileLeaving() const {
  if (leaving_) {
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

Result<std::shared_ptr<http::AnswerReader>> Node::complete(const http::CompletionCall& call) {
  BOOST_OUTCOME_TRYV(refuseWhileLeaving());
  Result<std::shared_ptr<http::AnswerReader>> answer = completions_.complete(call);
  if (answer.has_error()) {
    metrics_.requestRefused(answer.error());
  }
  return answer;
}

RequestId Node::newRequestId() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return streams::makeRequestId(settings_.node_id, generator());
}

Result<std::shared_ptr<http::AnswerReader>> Node::reconnect(const RequestId& request, const TenantId& tenant,
                                                            std::optional<uint64_t> last_offset) {
  BOOST_OUTCOME_TRY(answer, kept_answers_.take(request, tenant));
  const uint64_t from_offset = last_offset.has_value() ? *last_offset + 1 : 0;
  return completions_.resume(std::move(answer), from_offset);
}

Result<http::ActionAnswer> Node::runAction(const http::ActionCall& call) {
  BOOST_OUTCOME_TRYV(refuseWhileLeaving());
  Result<http::ActionAnswer> answer = actions_.run(call);
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
  return !leaving_ && policies_.current() != nullptr && monitor_.answeringEngines() > 0;
}

std::string Node::metricsText() {
  return metrics_.text();
}

}  // namespace quincewick::node
