// Handles one caller's request from its complete receipt to the final response: route and key checks, limits,
// choice of a server, attempts, and forwarding of the response.
#pragma once

#include <absl/strings/cord.h>
#include <absl/time/time.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "forwarding/attempt_ledger.h"
#include "forwarding/event_splitter.h"
#include "forwarding/part_quarantine.h"
#include "forwarding/stream_origin_messages.h"
#include "gateway/back_end_pool.h"
#include "gateway/core.h"
#include "gateway/delegations.h"
#include "gateway/occupancy_exchange.h"
#include "gateway/permit_exchange.h"
#include "gateway/quota_exchange.h"
#include "gateway/response_sink.h"
#include "gateway/rollout_exchange.h"
#include "gateway/server_rates.h"
#include "reactor/buffer_budget.h"

namespace quincewick::gateway {

// A whole body in pieces that all its attempts share.
struct RequestBody {
  absl::Cord bytes;
  reactor::BufferBudget::Charge charge;
};

class Exchange final : public AttemptListener, public std::enable_shared_from_this<Exchange> {
 public:
  // `terms`: of a request that another gateway handed on.
  Exchange(Core& core, BackEndPool& pool, HttpHead head, RequestBody body, ResponseSink* sink,
           std::optional<DelegationTerms> terms = std::nullopt);
  ~Exchange() override;

  // Starts processing. The response may be sent before this returns.
  void begin();
  // Cancels the work, except an attempt of a request that may run only once: it goes on without its caller.
  void onCallerDisconnected();
  // All bytes sent so far have been written to the caller's socket: resumes reading from the server.
  void onCallerDrained();

 private:
  void onSending() override;
  void onNeverSent() override;
  void onResponseHead(const HttpHead& head, const forwarding::ResponseFacts& facts,
                      reactor::EndOfBody end) override;
  void onResponseBody(std::string bytes) override;
  void onResponseEnd() override;
  void onResponseBroken() override;

  // How a server's response is treated, decided by its head.
  enum class Verdict : uint8_t { kForward, kRefused, kFailed, kBroken };

  // Least Retry-After for a request that was not run.
  static constexpr absl::Duration kRetryAfter = absl::Milliseconds(250);
  static constexpr std::string_view kNoServer = "no_server";

  bool admit();
  void rejectUnknown(int status, std::string_view why);
  void noteConfigurationAge();
  // Version of the configuration that applies to the request; 0 if there is none.
  int64_t configurationVersion() const;
  quota::LimitName limitName() const;
  void requestQuota();
  void onQuotaDecision(const quota::QuotaDecision& decision);
  void releaseQuota();
  void setDeadline();
  void chooseService();
  // Counts the request for its service and goes on with the tenant's limit.
  void acceptForService();
  void identify();
  void tryNext();
  bool maySend();
  // Whether server crashes attributed to the request let it be sent now. Otherwise it waits or is rejected.
  bool mayReachServers();
  void rejectForCrashes();
  void reserveSlot();
  void onReservationResponse(const ReservationResponse& answer);
  void requestRate();
  void onRateDecision(const RateDecision& decision);
  void releaseRate();
  double permitShare() const;
  bool needsPermit() const;
  void requestPermit();
  void onPermitResult(const PermitResult& result);
  void awaitPermit();
  void noteUnaccepted();
  void endUnaccepted(quota::PermitEnd how);
  void releasePermit();
  void onPermitLost();
  // Servers of earlier attempts, and those without a free permit.
  std::vector<uint64_t> excludedServers() const;
  void onNoServer();
  absl::Duration retryAfter() const;
  void sendToChosenServer();
  // Takes one retry from the site's retry budget; false if none is left.
  bool mayRepeat(absl::Time now);
  // Whether any server of the service is brittle, as far as this gateway or one that it asked knows.
  bool isKnownBrittle() const;
  bool prefersDelegate() const;
  bool isHeldBackByPath() const;
  bool mayStillDelegate() const;
  // Hands the request to another gateway, waits for one to offer, or ends it. Returns false if none takes it.
  bool delegate();
  bool awaitOffer();
  bool sendToDelegate(const Delegate& chosen);
  Verdict judgeDelegated(const HttpHead& head, const forwarding::ResponseFacts& facts);
  void endDelegatedRefusal();
  void noteDelegateFailed();
  void releaseDelegate();
  void beginDelegated();
  DelegationOutcome outcomeOfRejection(int status) const;
  bool chooseTarget();
  using Servers = std::vector<forwarding::ServerDirectory::ServerPointer>;
  bool chooseServerAmong(const Servers& servers, absl::Time now);
  bool choosePlainServer(const Servers& servers, absl::Time now);
  bool chooseEngine(const Servers& servers, absl::Time now);
  bool chooseServerByVersion(absl::Time now);
  bool chooseSoftware();
  bool chooseServerOfStream(const SoftwareVersion& software, absl::Time now);
  bool mayGoOnElsewhere() const;
  bool isTakenUp() const;
  // Finds the version that began the stream that the caller takes up, then goes on with acceptForService.
  void findOrigin();
  void findOriginByRecord();
  void findOriginByHistory();
  void onOriginFound(const std::optional<forwarding::StreamOrigin>& origin);
  void cancelFindOrigin();
  forwarding::StreamKey streamKey() const;
  void noteStreamBegun();
  // The version that further attempts have to keep to; nothing: any.
  std::optional<SoftwareVersion> boundSoftware() const;
  bool mayBeginAt(const forwarding::Server& server) const;
  const Servers& serversForStream(const Servers& servers);
  bool needsStoredRecord() const;
  // Has the store record the version that the stream may begin at. Returns false if the attempt waits for it.
  bool recordInStore();
  void onRecordStored(bool is_stored);
  // Whether the choice of the next server waits until the store has answered, which it may do for a moment.
  bool awaitRecord();
  bool isFirstEventHeld() const;
  void deliverEvents(std::string_view events);
  void releaseFirstEvent();
  void finishServed();
  double promptFraction() const;
  bool mayStillUseServer() const;
  void noteRolloutSent();
  void noteRolloutEnd(RolloutExchange::AttemptOutcome end);
  void settleRollout();
  bool isPredictedLate() const;
  uint32_t enginePriority() const;
  void notePlacement(absl::Time now);
  void sendAttempt();
  void resetAttempt();
  Verdict judge(const HttpHead& head, const forwarding::ResponseFacts& facts) const;
  void endAttempt(forwarding::AttemptOutcome end);
  void logAttemptEnd(forwarding::AttemptOutcome end);
  void releaseServer();
  void forwardEvents(std::string_view bytes);
  void recordPiece();
  absl::Duration longestPauseNow() const;
  void onPromptRead();
  // At the chosen engine, or at any.
  absl::Duration expectedWait() const;
  // The lowest version of the weights that is in force when the wait is over.
  WeightsVersion requiredWeights(absl::Time now) const;
  bool areWeightsInForce(absl::Time now) const;
  // Until when the current attempt may begin at its engine, also if newer weights may not be known yet.
  absl::Time beginBy() const;
  absl::Time deadlineAtServer(absl::Time now) const;
  void limitStart();
  void onStartLimit();
  void withdraw();
  // The first event of an attempt at an engine arrived.
  void noteBegun();
  void reserveStarted();
  void forwardHead();
  BodyFraming framingForCaller() const;
  void recordServerResult(absl::Time now);
  void noteServed();
  void noteInferredEnd();
  // Whether the response is a stream of events.
  bool isEventStream() const;
  // Whether a stream's end shows that its server broke it off.
  bool isBrokenOff() const;
  void forwardBufferedBody();
  // Takes bytes of a response that isn't forwarded, or not yet.
  void keepOrDiscard(std::string_view bytes);
  bool mayForwardFailure() const;
  // Drops bytes of a response that isn't forwarded, up to a limit.
  void discard(size_t bytes);
  // Breaks off the attempt, whose server sends what is no answer.
  void refuseResponse(std::string_view cause);
  void bufferOrForward(std::string bytes);
  void onDeadline();
  void reject(int status, std::string_view why, absl::Duration retry_after);
  void giveUp(bool out_of_time, std::string_view why);
  std::string lastServerId() const;
  void complete(std::string_view outcome);

  Core& core_;
  BackEndPool& pool_;
  HttpHead head_;
  RequestBody body_;
  reactor::BufferBudget::Charge sealed_charge_;  // of the copy that goes to another gateway
  ResponseSink* sink_;
  std::shared_ptr<const forwarding::SiteConfiguration> configuration_;
  absl::Duration configuration_age_;  // at the request's arrival
  const forwarding::Route* route_ = nullptr;
  const forwarding::Tenant* tenant_ = nullptr;
  forwarding::RequestFacts facts_;
  forwarding::CrashSubject subject_;
  forwarding::ServiceName service_;
  forwarding::AttemptLedger ledger_;
  absl::Time began_;
  absl::Time deadline_ = absl::InfiniteFuture();
  reactor::TimerQueue::Key deadline_timer_;
  reactor::TimerQueue::Key crash_timer_;                 // set while the request waits for a crash verdict
  absl::Time crash_wait_ends_ = absl::InfiniteFuture();  // finite once the wait has begun
  std::vector<uint64_t> tried_;                          // identity hashes of the servers of earlier attempts

  // Delegation to another gateway.
  std::optional<DelegationTerms> terms_;  // this gateway is the delegate
  std::optional<NodeId> delegate_;        // of the current attempt
  Sequence delegated_sequence_;           // of the sealed request
  std::vector<NodeId> declined_by_;       // gateways that don't get it again
  bool has_declined_ = false;
  std::optional<absl::Duration> retry_after_of_delegate_;
  reactor::TimerQueue::Key offer_timer_;                 // set while the request waits for an offer
  absl::Time offer_wait_ends_ = absl::InfiniteFuture();  // finite once the wait has begun

  // The tenant's limit.
  std::optional<uint64_t> pending_quota_;  // request to the limit's owner that is in flight
  bool is_quota_decided_ = false;
  absl::Duration quota_wait_;  // from arrival to the decision
  double quota_cost_ = 0;      // granted amount, in the limit's unit
  NodeId quota_owner_;         // node that granted it

  // Software version of the server that began the stream. All further attempts go to servers of this version.
  std::optional<SoftwareVersion> begun_software_;
  bool is_stream_begun_ = false;            // an event was forwarded
  std::optional<uint64_t> pending_origin_;  // lookup of the stream that the caller takes up
  std::string_view origin_proof_;           // by what its version was to be proven, for the log
  // The version that the store's record of the stream names, if it needs one.
  std::optional<SoftwareVersion> recorded_software_;
  enum class RecordState : uint8_t {
    kPending,    // the store hasn't answered
    kStored,     // the store has the record
    kUncertain,  // it may have it, or get it later
  };
  RecordState record_state_ = RecordState::kStored;
  bool sends_once_recorded_ = false;     // the attempt waits to be sent until the store has answered
  bool tries_once_recorded_ = false;     // so does the choice of the next server
  bool holds_events_ = false;            // the first event waits for it
  std::string held_events_;              // of the current attempt
  bool is_end_held_ = false;             // the response has ended meanwhile
  reactor::TimerQueue::Key hold_timer_;  // set while events are held, or a choice waits
  // Software version of the servers that this attempt may use, if the site stages rollouts.
  std::optional<SoftwareVersion> software_;
  Servers servers_of_software_;
  Servers servers_of_history_;  // at which the stream may begin
  std::optional<RolloutExchange::AttemptOutcome>
      rollout_end_;        // set while the attempt is counted as in progress
  bool was_busy_ = false;  // over half of the server's slots were in use when it was sent

  // The current attempt.
  forwarding::ServerDirectory::ServerPointer server_;
  std::optional<forwarding::EngineChoice> engine_;
  std::optional<uint64_t> pending_reservation_;  // request to the owner of the engine's occupancy
  uint32_t reservation_turn_ = 0;                // counts these requests
  bool has_reservation_response_ = false;
  uint32_t reservations_requested_ = 0;                   // for this attempt
  bool is_prompt_read_ = false;                           // prefill is done at the current engine
  absl::Time attempt_last_piece_ = absl::InfinitePast();  // time of its latest piece
  uint32_t attempt_pieces_ = 0;
  absl::Duration attempt_longest_pause_ = absl::ZeroDuration();  // longest gap between its pieces
  std::optional<Reservation> reservation_;                       // the slot held at the engine
  forwarding::ServerLoad counted_;        // what this attempt added to the server's load, until it ends
  std::optional<uint64_t> pending_rate_;  // request to the owner of the server's rate limit
  uint32_t rate_turn_ = 0;                // counts these requests
  bool has_rate_decision_ = false;
  uint32_t rates_requested_ = 0;            // for this attempt
  std::optional<RateGrant> rate_grant_;     // held until the request is sent
  std::optional<uint64_t> pending_permit_;  // request to the holders of the server's permits
  uint32_t permit_turn_ = 0;                // counts these requests
  bool has_permit_result_ = false;
  uint32_t permits_requested_ = 0;         // since the last wait
  bool has_permit_ = false;                // a permit was granted, or is unneeded
  bool skips_permit_ = false;              // sent without one
  bool is_permit_unavailable_ = false;     // the last result said so
  bool is_told_brittle_ = false;           // any result said that a server of the service is brittle
  std::optional<uint64_t> permit_;         // held until the request is sent
  std::optional<uint64_t> unaccepted_;     // sent, and not yet accepted by the server
  absl::Duration permit_retry_after_;      // of the last result
  std::vector<uint64_t> without_permit_;   // servers without a free permit, passed over until the next wait
  reactor::TimerQueue::Key permit_timer_;  // set while the request waits for a permit
  absl::Time permit_wait_ends_ = absl::InfiniteFuture();  // finite once the wait has begun
  std::unique_ptr<Attempt> attempt_;
  bool is_at_server_ = false;                        // sent, and not known to have ended there
  std::optional<SoftwareVersion> attempt_software_;  // of its server when the request was sent, if proven
  absl::Time engine_chosen_;                         // when the placement of the current attempt was chosen
  absl::Time attempt_began_;
  absl::Time attempt_sent_;               // InfiniteFuture until its bytes leave
  reactor::TimerQueue::Key start_timer_;  // set until the first event of an attempt at an engine
  absl::Duration predicted_first_piece_;  // from arrival to the first piece, for the first attempt
  bool yields_ = false;                   // predicted to miss its target latency: runs at lower priority
  Verdict verdict_ = Verdict::kBroken;
  HttpHead response_head_;
  std::optional<uint64_t> response_length_;
  size_t discarded_bytes_ = 0;  // of the current response
  reactor::EndOfBody response_end_ = reactor::EndOfBody::kProven;
  std::string buffered_body_;  // of a response that is forwarded once complete
  bool is_buffering_ = true;
  bool has_failure_ = false;  // the last response is a failure that may be forwarded
  forwarding::EventSplitter events_;

  // The response to the caller.
  bool is_head_forwarded_ = false;
  std::optional<uint64_t> last_event_;
  bool is_position_known_ = true;  // the last forwarded event has an id, or none was forwarded
  absl::Time first_piece_ = absl::InfiniteFuture();  // when the first piece was forwarded
  absl::Time last_piece_ = absl::InfinitePast();
  absl::Duration longest_pause_ = absl::ZeroDuration();  // longest gap between pieces
  bool is_done_ = false;
  std::shared_ptr<Exchange> keep_alive_;  // set while it runs on without its caller
};

}  // namespace quincewick::gateway
