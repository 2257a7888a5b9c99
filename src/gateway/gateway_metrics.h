// Counts of what a gateway did, as Prometheus reads them. Labels have few values, whatever callers send.
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
#include "staged_rollout/answer_account.h"

namespace quincewick::gateway {

class GatewayMetrics {
 public:
  GatewayMetrics();

  // A request came to its end. `kind`: nothing where no route was found.
  void countRequest(std::optional<forwarding::RepeatKind> kind, std::string_view outcome);
  // How old the configuration was that a request was decided by, and whether it was past its bound.
  void observeConfigurationAge(absl::Duration age, bool is_current);
  // This gateway asked the store itself whether its configuration is the newest.
  void countConfirmation(bool is_answered);
  void countRefusal(int status, std::string_view why);
  void countAttempt(forwarding::AttemptEnd end);
  void countRetry() { retries_->Increment(); }
  void countResumed() { streams_resumed_->Increment(); }
  void countTruncated() { responses_truncated_->Increment(); }
  void countRefusedDatagram() { datagrams_refused_->Increment(); }
  void countStoreWentBack() { store_went_back_->Increment(); }
  // A request goes to a side of a rollout, or to the only version there is.
  void countRolloutRequest(staged_rollout::Side side) {
    (side == staged_rollout::Side::kTarget ? to_target_ : to_base_)->Increment();
  }
  // A server asked something of its callers in an answer, or no longer does.
  void countBackPressure(std::string_view change);
  // The keeper of a server's rate decided on a request.
  void countRateDecision(bool is_granted);
  void countServerCrash() { server_crashes_->Increment(); }
  // An end of a server that too many others crowd out is not told to peers.
  void countUnreportedCrash() { crashes_unreported_->Increment(); }
  // A row that others wrote can't be used.
  void countRefusedRow(std::string_view table);
  void countPromptTokens(uint64_t cached, uint64_t fetched, uint64_t prefilled);
  void observeFirstPiece(absl::Duration time) { first_piece_seconds_->Observe(absl::ToDoubleSeconds(time)); }
  // How far a first piece came from its forecast, by route.
  void observeForecast(std::string_view route, absl::Duration error);
  void observeResponse(absl::Duration time) { answer_seconds_->Observe(absl::ToDoubleSeconds(time)); }
  void observeStoreCall(absl::Duration time) { store_call_seconds_->Observe(absl::ToDoubleSeconds(time)); }

  // What is as of now, set just before it is told.
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
    double rollouts_running = 0;
    double caller_connections = 0;
    double server_connections_opened = 0;
    double requests_under_way = 0;
    double log_lines_dropped = 0;
  };
  // All figures in Prometheus' text format.
  std::string print(const Gauges& gauges);

 private:
  prometheus::Registry registry_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& refusals_;
  prometheus::Family<prometheus::Counter>& attempts_;
  prometheus::Family<prometheus::Counter>& prompt_tokens_;
  prometheus::Family<prometheus::Counter>& confirmations_;
  prometheus::Family<prometheus::Counter>& rows_refused_;
  prometheus::Family<prometheus::Counter>& back_pressure_;
  prometheus::Family<prometheus::Counter>& rate_decisions_;
  prometheus::Family<prometheus::Histogram>& forecast_;
  prometheus::Counter* retries_;
  prometheus::Counter* streams_resumed_;
  prometheus::Counter* responses_truncated_;
  prometheus::Counter* datagrams_refused_;
  prometheus::Counter* store_went_back_;
  prometheus::Counter* outdated_decisions_;
  prometheus::Counter* server_crashes_;
  prometheus::Counter* crashes_unreported_;
  prometheus::Counter* to_base_;
  prometheus::Counter* to_target_;
  prometheus::Histogram* configuration_age_;
  prometheus::Histogram* first_piece_seconds_;
  prometheus::Histogram* answer_seconds_;
  prometheus::Histogram* store_call_seconds_;
};

}  // namespace quincewick::gateway
