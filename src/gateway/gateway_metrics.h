// A gateway's metrics in Prometheus' format. Label values are bounded, whatever callers send.
#pragma once

#include <absl/time/time.h>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>
#include <string_view>

#include "forwarding/attempt_ledger.h"
#include "forwarding/site_configuration.h"
#include "gateway/delegation_messages.h"
#include "staged_rollout/response_stats.h"

namespace quincewick::gateway {

class GatewayMetrics {
 public:
  GatewayMetrics();

  // A request ended. `kind`: empty if no route was found.
  void countRequest(std::optional<forwarding::RepeatKind> kind, std::string_view outcome);
  // Age of the configuration that applied to a request. `is_current`: the age was within its bound.
  void observeConfigurationAge(absl::Duration age, bool is_current);
  // This gateway asked the store itself whether its configuration is the newest.
  void countConfirmation(bool is_answered);
  void countRefusal(int status, std::string_view why);
  // A connection was closed for want of room. `what`: that it held, value of the label.
  void countShed(std::string_view what);
  void countAttempt(forwarding::AttemptOutcome end);
  void countRetry() { retries_->Increment(); }
  void countResumed() { streams_resumed_->Increment(); }
  void countTruncated() { responses_truncated_->Increment(); }
  // A response ended with its connection, without a length or chunks.
  void countInferredEnd() { ends_inferred_->Increment(); }
  void countRefusedDatagram() { datagrams_refused_->Increment(); }
  void countStoreWentBack() { store_went_back_->Increment(); }
  // A request goes to a variant of its service's rollout, as the traffic splitter chose it.
  void countRolloutRequest(staged_rollout::Variant side) {
    (side == staged_rollout::Variant::kTarget ? to_target_ : to_base_)->Increment();
  }
  // A server's back pressure changed. `change`: value of the label.
  void countBackPressure(std::string_view change);
  // The owner of a server's rate limit decided on a request.
  void countRateDecision(bool is_granted);
  // The holders of a brittle server's permits decided on a request.
  // A server's response that is no answer, by cause.
  void countRefusedResponse(std::string_view cause);
  void countPermitDecision(bool is_granted);
  // A service's servers can't be reached from this gateway any more.
  void countServiceCutOff() { services_cut_off_->Increment(); }
  // Another gateway responded to a request that this one handed on.
  void countDelegated(DelegationOutcome outcome);
  // The software version of a stream that a caller takes up was looked up.
  void countStreamLookup(bool is_found);
  void countServerCrash() { server_crashes_->Increment(); }
  // A server crash was not reported to peers because too many others were pending.
  void countUnreportedCrash() { crashes_unreported_->Increment(); }
  // A row of the store can't be used.
  void countRefusedRow(std::string_view table);
  // Rows of a response that weren't applied because the known ones have later versions.
  void countPassedOverRows(std::string_view table, size_t rows);
  void countPromptTokens(uint64_t cached, uint64_t fetched, uint64_t prefilled);
  void observeFirstPiece(absl::Duration time) { first_piece_seconds_->Observe(absl::ToDoubleSeconds(time)); }
  // From the sending of an attempt at an engine to its first event.
  void observeEngineWait(absl::Duration time) { engine_wait_seconds_->Observe(absl::ToDoubleSeconds(time)); }
  // An attempt began at weights whose bound is over.
  void countBegunOnOldWeights() { begun_on_old_weights_->Increment(); }
  // A request that hadn't begun was withdrawn from its engine.
  void countWithdrawn() { withdrawn_->Increment(); }
  // Difference between a first piece's predicted and actual time.
  void observeForecast(std::string_view route, absl::Duration error);
  // How late a periodic timer of the reactor ran.
  void observeTickDelay(absl::Duration delay) { tick_delay_seconds_->Observe(absl::ToDoubleSeconds(delay)); }
  void countDatagram(size_t bytes);
  // A message to a peer that fits into no datagram and isn't sent.
  void countOversizedDatagram() { datagrams_oversized_->Increment(); }
  void observeResponse(absl::Duration time) { answer_seconds_->Observe(absl::ToDoubleSeconds(time)); }
  void observeStoreCall(absl::Duration time) { store_call_seconds_->Observe(absl::ToDoubleSeconds(time)); }

  // Current values, set just before they are printed.
  struct Gauges {
    double configuration_version = 0;
    double configuration_age_seconds = 0;
    double holds_lease = 0;
    double peers = 0;
    double servers = 0;
    double servers_age_seconds = 0;
    double repeats_left = 0;
    double requests_suspect = 0;
    double requests_blamed = 0;
    double parts_suspect = 0;
    double parts_blamed = 0;
    double rollouts_running = 0;
    double caller_connections = 0;
    double buffered_bytes = 0;
    double server_connections_opened = 0;
    double requests_under_way = 0;
    double engine_updates_pending = 0;  // not sent to all peers yet
    double engine_update_oldest_seconds = 0;
    double log_lines_dropped = 0;
  };
  // All metrics in Prometheus' text format.
  std::string print(const Gauges& gauges);

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& shed_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Counter>& prompt_tokens_;
  prometheus::Family<prometheus::Counter>& confirmations_;
  prometheus::Family<prometheus::Counter>& rows_refused_;
  prometheus::Family<prometheus::Counter>& rows_passed_over_;
  prometheus::Family<prometheus::Counter>& back_pressure_;
  prometheus::Family<prometheus::Counter>& rate_decisions_;
  prometheus::Family<prometheus::Counter>& permit_decisions_;
  prometheus::Family<prometheus::Counter>& responses_refused_;
  prometheus::Family<prometheus::Counter>& delegated_;
  prometheus::Family<prometheus::Counter>& stream_lookups_;
  prometheus::Family<prometheus::Histogram>& forecast_;
  prometheus::Counter* retries_;
  prometheus::Counter* streams_resumed_;
  prometheus::Counter* responses_truncated_;
  prometheus::Counter* ends_inferred_;
  prometheus::Counter* datagrams_refused_;
  prometheus::Counter* datagrams_sent_;
  prometheus::Counter* datagram_bytes_sent_;
  prometheus::Counter* datagrams_oversized_;
  prometheus::Counter* store_went_back_;
  prometheus::Counter* outdated_decisions_;
  prometheus::Counter* services_cut_off_;
  prometheus::Counter* server_crashes_;
  prometheus::Counter* crashes_unreported_;
  prometheus::Counter* to_base_;
  prometheus::Counter* to_target_;
  prometheus::Histogram* configuration_age_;
  prometheus::Counter* withdrawn_;
  prometheus::Counter* begun_on_old_weights_;
  prometheus::Histogram* engine_wait_seconds_;
  prometheus::Histogram* first_piece_seconds_;
  prometheus::Histogram* answer_seconds_;
  prometheus::Histogram* store_call_seconds_;
  prometheus::Histogram* tick_delay_seconds_;
};

}  // namespace quincewick::gateway
