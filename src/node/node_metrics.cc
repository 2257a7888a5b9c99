#include "node/node_metrics.h"

#include <prometheus/text_serializer.h>

#include <algorithm>

namespace quincewick::node {
namespace {

const prometheus::Summary::Quantiles& firstTokenQuantiles() {
  static const auto& quantiles =
      *new prometheus::Summary::Quantiles{{0.5, 0.02}, {0.95, 0.005}, {0.99, 0.001}};
  return quantiles;
}

prometheus::Family<prometheus::Counter>& counterFamily(prometheus::Registry& registry, const char* name,
                                                       const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

}  // namespace

NodeMetrics::NodeMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      answered_(
          counterFamily(*registry_, "quincewick_requests_admitted_total", "Completions started, by urgency")),
      refused_(counterFamily(*registry_, "quincewick_requests_refused_total",
                             "Requests answered by an error, by type and whether they ran")),
      attempts_lost_(counterFamily(*registry_, "quincewick_attempts_lost_total",
                                   "Attempts at engines that ended without an end marker, by type")),
      actions_(counterFamily(*registry_, "quincewick_actions_total", "Actions answered, repeats told apart")),
      prompt_tokens_(
          counterFamily(*registry_, "quincewick_prompt_tokens_total",
                        "Prompt tokens of finished answers, by whether the engine had them cached")),
      peer_bytes_(prometheus::BuildGauge()
                      .Name("quincewick_peer_datagram_bytes")
                      .Help("Bytes of datagrams to and from other nodes since the start")
                      .Register(*registry_)),
      configuration_version_(prometheus::BuildGauge()
                                 .Name("quincewick_configuration_version")
                                 .Help("The version of the policy in force")
                                 .Register(*registry_)),
      first_token_seconds_(prometheus::BuildSummary()
                               .Name("quincewick_first_token_seconds")
                               .Help("From a request's arrival to its first token, by urgency")
                               .Register(*registry_)) {}

void NodeMetrics::requestAdmitted(Urgency urgency) {
  answered_.Add({{"urgency", std::string(urgencyName(urgency))}}).Increment();
}

void NodeMetrics::requestRefused(const Error& error) {
  refused_
      .Add({{"type", std::string(errorCodeName(error.code))},
            {"ran", std::string(executionName(error.execution))}})
      .Increment();
}

void NodeMetrics::firstToken(Urgency urgency, absl::Duration time_to_first_token) {
  first_token_seconds_.Add({{"urgency", std::string(urgencyName(urgency))}}, firstTokenQuantiles())
      .Observe(absl::ToDoubleSeconds(time_to_first_token));
}

void NodeMetrics::answerFinished(const Usage& usage) {
  const uint64_t cached = std::min(usage.cached_tokens, usage.prompt_tokens);
  prompt_tokens_.Add({{"cached", "yes"}}).Increment(static_cast<double>(cached));
  prompt_tokens_.Add({{"cached", "no"}}).Increment(static_cast<double>(usage.prompt_tokens - cached));
}

void NodeMetrics::attemptLost(const Error& error) {
  attempts_lost_.Add({{"type", std::string(errorCodeName(error.code))}}).Increment();
}

void NodeMetrics::actionFinished(bool is_repeat) {
  actions_.Add({{"repeat", is_repeat ? "yes" : "no"}}).Increment();
}

void NodeMetrics::setPeerTraffic(uint64_t bytes_sent, uint64_t bytes_received) {
  peer_bytes_.Add({{"direction", "sent"}}).Set(static_cast<double>(bytes_sent));
  peer_bytes_.Add({{"direction", "received"}}).Set(static_cast<double>(bytes_received));
}

void NodeMetrics::setConfigurationVersion(ConfigurationVersion version) {
  configuration_version_.Add({}).Set(static_cast<double>(version.value()));
}

std::string NodeMetrics::text() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace quincewick::node
