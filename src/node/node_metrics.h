// The node's metrics, in the Prometheus text format.
#pragma once

#include <absl/time/time.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/summary.h>

#include <memory>
#include <string>

#include "types/error.h"
#include "types/identifiers.h"
#include "types/token_event.h"
#include "types/urgency.h"

namespace quincewick::node {

// Thread-safe. Label values come from closed sets only, so that callers can't make series.
class NodeMetrics {
 public:
  NodeMetrics();

  void requestAdmitted(Urgency urgency);
  void requestRefused(const Error& error);
  void firstToken(Urgency urgency, absl::Duration time_to_first_token);
  // Tokens of prompts, and how many of them engines found in their caches.
  void answerFinished(const Usage& usage);
  void attemptLost(const Error& error);
  void actionFinished(bool is_repeat);

  // Bytes of datagrams to and from other nodes since the start.
  void setPeerTraffic(uint64_t bytes_sent, uint64_t bytes_received);
  void setConfigurationVersion(ConfigurationVersion version);

  std::string text() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Counter>& answered_;
  prometheus::Family<prometheus::Counter>& refused_;
  prometheus::Family<prometheus::Counter>& attempts_lost_;
  prometheus::Family<prometheus::Counter>& actions_;
  prometheus::Family<prometheus::Counter>& prompt_tokens_;
  prometheus::Family<prometheus::Gauge>& peer_bytes_;
  prometheus::Family<prometheus::Gauge>& configuration_version_;
  prometheus::Family<prometheus::Summary>& first_token_seconds_;
};

}  // namespace quincewick::node
