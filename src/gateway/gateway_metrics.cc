#include "gateway/gateway_metrics.h"

#include <prometheus/text_serializer.h>

#include <utility>

namespace quincewick::gateway {
namespace {

using forwarding::AttemptOutcome;
using forwarding::RepeatKind;

const prometheus::Histogram::BucketBoundaries& latencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3,
                                                                  0.5,   0.8,  1.5,   3,    6,   15};
  return buckets;
}

prometheus::Family<prometheus::Counter>& counters(prometheus::Registry& registry, const char* name,
                                                  const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Counter* counter(prometheus::Registry& registry, const char* name, const char* help) {
  return &counters(registry, name, help).Add({});
}

prometheus::Histogram* histogram(prometheus::Registry& registry, const char* name, const char* help) {
  return &prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, latencyBuckets());
}

const char* nameOf(std::optional<RepeatKind> kind) {
  if (!kind) {
    return "none";
  }
  switch (*kind) {
    case RepeatKind::kRepeatable:
      return "repeatable";
    case RepeatKind::kOnce:
      return "once";
    case RepeatKind::kStream:
      return "stream";
  }
  return "none";
}

const char* nameOf(AttemptOutcome end) {
  switch (end) {
    case AttemptOutcome::kNeverSent:
      return "never_sent";
    case AttemptOutcome::kDeclined:
      return "declined";
    case AttemptOutcome::kRefused:
      return "refused";
    case AttemptOutcome::kUnknown:
      return "unknown";
    case AttemptOutcome::kFailed:
      return "failed";
  }
  return "unknown";
}

void addGauge(std::vector<prometheus::MetricFamily>& families, const char* name, const char* help,
              double value) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = prometheus::MetricType::Gauge;
  prometheus::ClientMetric metric;
  metric.gauge.value = value;
  family.metric.push_back(std::move(metric));
  families.push_back(std::move(family));
}

}  // namespace

GatewayMetrics::GatewayMetrics()
    : requests_(counters(registry_, "quincewick_requests_total", "Requests by kind and outcome.")),
      shed_(counters(registry_, "quincewick_connections_shed_total",
                     "Connections that were closed for want of memory or of places.")),
      refusals_(counters(registry_, "quincewick_refusals_total", "Final answers of this gateway's own.")),
      attempts_(counters(registry_, "quincewick_attempts_total", "Attempts that gave no answer to pass on.")),
      prompt_tokens_(counters(registry_, "quincewick_prompt_tokens_total",
                              "Tokens of prompts by what was expected when the engine was chosen.")),
      confirmations_(counters(registry_, "quincewick_configuration_confirmations_total",
                              "Questions whether the configuration is the newest, past the zone's reader.")),
      rows_refused_(
          counters(registry_, "quincewick_rows_refused_total",
                   "Rows of the store that can't be used, by table; a row counts again for another reason.")),
      rows_passed_over_(counters(
          registry_, "quincewick_rows_passed_over_total",
          "Rows in responses that weren't applied because the known ones have later versions, by table.")),
      back_pressure_(counters(registry_, "quincewick_back_pressure_total",
                              "Answers in which a server's demands on its callers changed.")),
      rate_decisions_(counters(registry_, "quincewick_server_rate_decisions_total",
                               "Requests for servers that named a rate, by whether it let them go there.")),
      permit_decisions_(counters(registry_, "quincewick_permit_decisions_total",
                                 "Requests for permits of brittle servers, by whether one was granted.")),
      responses_refused_(counters(registry_, "quincewick_responses_refused_total",
                                  "Bytes of servers that are no answer, by cause.")),
      delegated_(counters(registry_, "quincewick_delegated_requests_total",
                          "Requests handed to other gateways, by what came of them.")),
      stream_lookups_(counters(registry_, "quincewick_stream_lookups_total",
                               "Streams that callers take up, by whether their software version is known.")),
      forecast_(prometheus::BuildHistogram()
                    .Name("quincewick_first_piece_forecast_error_seconds")
                    .Help("How far first pieces came from their forecasts, by route.")
                    .Register(registry_)),
      retries_(counter(registry_, "quincewick_retries_total", "Requests sent to a further server.")),
      streams_resumed_(
          counter(registry_, "quincewick_streams_resumed_total", "Streams that went on elsewhere.")),
      responses_truncated_(counter(registry_, "quincewick_streams_cut_total", "Answers broken off midway.")),
      ends_inferred_(
          counter(registry_, "quincewick_ends_inferred_total",
                  "Servers' answers that ended with their connection, without a length or chunks.")),
      datagrams_refused_(counter(registry_, "quincewick_datagrams_refused_total",
                                 "Messages of peers that were forged or can't be read.")),
      datagrams_sent_(counter(registry_, "quincewick_datagrams_sent_total", "Messages sent to peers.")),
      datagram_bytes_sent_(
          counter(registry_, "quincewick_datagram_bytes_sent_total", "Bytes of messages sent to peers.")),
      datagrams_oversized_(counter(registry_, "quincewick_datagrams_oversized_total",
                                   "Messages to peers that fit into no datagram and were not sent.")),
      store_went_back_(counter(registry_, "quincewick_store_went_back_total",
                               "Times that an answer showed that the store lost what it had acknowledged.")),
      outdated_decisions_(
          counter(registry_, "quincewick_outdated_decisions_total",
                  "Requests decided by a configuration that was confirmed longer ago than its bound.")),
      services_cut_off_(counter(registry_, "quincewick_services_cut_off_total",
                                "Times that no server of a service could be reached.")),
      server_crashes_(counter(registry_, "quincewick_server_ends_total",
                              "Servers that ended while requests of this gateway were there.")),
      crashes_unreported_(counter(registry_, "quincewick_server_ends_untold_total",
                                  "Ends that peers were not told of, for there were too many.")),
      to_base_(&counters(registry_, "quincewick_rollout_requests_total",
                         "Requests by the side of a rollout that they went to.")
                    .Add({{"side", "base"}})),
      to_target_(&counters(registry_, "quincewick_rollout_requests_total",
                           "Requests by the side of a rollout that they went to.")
                      .Add({{"side", "target"}})),
      configuration_age_(histogram(registry_, "quincewick_decision_configuration_age_seconds",
                                   "Since the configuration was confirmed that a request was decided by.")),
      withdrawn_(
          counter(registry_, "quincewick_withdrawn_total",
                  "Requests withdrawn from engines that hadn't begun them before their weights' bound.")),
      begun_on_old_weights_(counter(registry_, "quincewick_begun_on_old_weights_total",
                                    "Requests that began at weights that were past their bound.")),
      engine_wait_seconds_(histogram(registry_, "quincewick_engine_wait_seconds",
                                     "From a request's sending to an engine to its first event.")),
      first_piece_seconds_(
          histogram(registry_, "quincewick_first_piece_seconds", "Until a stream's first piece.")),
      answer_seconds_(histogram(registry_, "quincewick_answer_seconds", "Until an answer was whole.")),
      store_call_seconds_(
          histogram(registry_, "quincewick_store_call_seconds", "Store calls, waits for changes apart.")),
      tick_delay_seconds_(histogram(registry_, "quincewick_tick_delay_seconds",
                                    "How late a timer of every 0.2 s ran: the longest turns.")) {}

void GatewayMetrics::countDatagram(size_t bytes) {
  datagrams_sent_->Increment();
  datagram_bytes_sent_->Increment(static_cast<double>(bytes));
}

void GatewayMetrics::countRequest(std::optional<RepeatKind> kind, std::string_view outcome) {
  requests_.Add({{"kind", nameOf(kind)}, {"outcome", std::string(outcome)}}).Increment();
}

void GatewayMetrics::observeConfigurationAge(absl::Duration age, bool is_current) {
  configuration_age_->Observe(absl::ToDoubleSeconds(age));
  if (!is_current) {
    outdated_decisions_->Increment();
  }
}

void GatewayMetrics::countConfirmation(bool is_answered) {
  confirmations_.Add({{"answered", is_answered ? "true" : "false"}}).Increment();
}

void GatewayMetrics::countRefusal(int status, std::string_view why) {
  refusals_.Add({{"status", std::to_string(status)}, {"reason", std::string(why)}}).Increment();
}

void GatewayMetrics::countShed(std::string_view what) {
  shed_.Add({{"holding", std::string(what)}}).Increment();
}

void GatewayMetrics::countAttempt(AttemptOutcome end) {
  attempts_.Add({{"end", nameOf(end)}}).Increment();
}

// One time series for each route of the configuration.
void GatewayMetrics::observeForecast(std::string_view route, absl::Duration error) {
  forecast_.Add({{"route", std::string(route)}}, latencyBuckets())
      .Observe(absl::ToDoubleSeconds(absl::AbsDuration(error)));
}

void GatewayMetrics::countRefusedRow(std::string_view table) {
  rows_refused_.Add({{"table", std::string(table)}}).Increment();
}

void GatewayMetrics::countPassedOverRows(std::string_view table, size_t rows) {
  rows_passed_over_.Add({{"table", std::string(table)}}).Increment(static_cast<double>(rows));
}

void GatewayMetrics::countBackPressure(std::string_view change) {
  back_pressure_.Add({{"what", std::string(change)}}).Increment();
}

void GatewayMetrics::countRefusedResponse(std::string_view cause) {
  responses_refused_.Add({{"cause", std::string(cause)}}).Increment();
}

void GatewayMetrics::countPermitDecision(bool is_granted) {
  permit_decisions_.Add({{"granted", is_granted ? "true" : "false"}}).Increment();
}

void GatewayMetrics::countStreamLookup(bool is_found) {
  stream_lookups_.Add({{"found", is_found ? "true" : "false"}}).Increment();
}

void GatewayMetrics::countDelegated(DelegationOutcome outcome) {
  const auto name = [outcome] {
    switch (outcome) {
      case DelegationOutcome::kServed:
        return "served";
      case DelegationOutcome::kDeclined:
        return "declined";
      case DelegationOutcome::kNotRun:
        return "not_run";
      case DelegationOutcome::kUnknown:
        break;
    }
    return "unknown";
  };
  delegated_.Add({{"outcome", name()}}).Increment();
}

void GatewayMetrics::countRateDecision(bool is_granted) {
  rate_decisions_.Add({{"granted", is_granted ? "true" : "false"}}).Increment();
}

void GatewayMetrics::countPromptTokens(uint64_t cached, uint64_t fetched, uint64_t prefilled) {
  prompt_tokens_.Add({{"how", "kept"}}).Increment(static_cast<double>(cached));
  prompt_tokens_.Add({{"how", "moved"}}).Increment(static_cast<double>(fetched));
  prompt_tokens_.Add({{"how", "read"}}).Increment(static_cast<double>(prefilled));
}

std::string GatewayMetrics::print(const Gauges& gauges) {
  auto families = registry_.Collect();
  addGauge(families, "quincewick_configuration_version", "In force here.", gauges.configuration_version);
  addGauge(families, "quincewick_configuration_age_seconds", "Since the store confirmed it.",
           gauges.configuration_age_seconds);
  addGauge(families, "quincewick_holds_lease", "1: gives orders to engines.", gauges.holds_lease);
  addGauge(families, "quincewick_peers", "Gateways heard of lately.", gauges.peers);
  addGauge(families, "quincewick_servers", "Servers listed.", gauges.servers);
  addGauge(families, "quincewick_servers_age_seconds", "Since the list of servers was as it is known here.",
           gauges.servers_age_seconds);
  addGauge(families, "quincewick_repeats_left",
           "Requests that may go to a further server now, of the service with the fewest.",
           gauges.repeats_left);
  addGauge(families, "quincewick_requests_suspect", "Requests under which servers ended.",
           gauges.requests_suspect);
  addGauge(families, "quincewick_requests_blamed", "Requests that are rejected, for they end servers.",
           gauges.requests_blamed);
  addGauge(families, "quincewick_prompt_parts_suspect",
           "Parts under which servers ended since they were served.", gauges.parts_suspect);
  addGauge(families, "quincewick_prompt_parts_blamed",
           "Sets of parts whose requests are rejected, for they end servers.", gauges.parts_blamed);
  addGauge(families, "quincewick_rollouts_running", "1: traffic of a service moves to another version.",
           gauges.rollouts_running);
  addGauge(families, "quincewick_caller_connections", "Open.", gauges.caller_connections);
  addGauge(families, "quincewick_buffered_bytes", "Of callers' requests and of responses to them.",
           gauges.buffered_bytes);
  addGauge(families, "quincewick_server_connections_opened", "Since the start.",
           gauges.server_connections_opened);
  addGauge(families, "quincewick_requests_under_way", "Read and not ended.", gauges.requests_under_way);
  addGauge(families, "quincewick_engine_updates_pending", "Not sent to all peers yet.",
           gauges.engine_updates_pending);
  addGauge(families, "quincewick_engine_update_oldest_seconds", "Age of the oldest of these.",
           gauges.engine_update_oldest_seconds);
  addGauge(families, "quincewick_log_lines_dropped", "Since the start.", gauges.log_lines_dropped);
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace quincewick::gateway
