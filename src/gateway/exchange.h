// One caller's request, from its whole reading to its final answer: route, key, attempts, and what is passed
// on.
#pragma once

#include <absl/time/time.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "forwarding/attempt_ledger.h"
#include "forwarding/event_splitter.h"
#include "forwarding/request_identity.h"
#include "gateway/answer_sink.h"
#include "gateway/back_end_pool.h"
#include "gateway/core.h"
#include "gateway/occupancy_exchange.h"
#include "gateway/quota_exchange.h"
#include "gateway/rollout_exchange.h"
#include "gateway/server_rates.h"

namespace quincewick::gateway {

class Exchange final : public AttemptListener, public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Core& core, BackEndPool& pool, HttpHead head, std::string body, AnswerSink* sink);
  ~Exchange() override;

  // Decides on the request; the answer may be given before this returns.
  void begin();
  // The caller left: work that nobody waits for is ended, but for what must not be broken off.
  void callerLeft();
  // The caller has taken all that was sent.
  void callerCaughtUp();

 private:
  void onSending() override;
  void onNeverSent() override;
  void onAnswerHead(const HttpHead& head, const forwarding::AnswerFacts& facts) override;
  void onAnswerBody(std::string bytes) override;
  void onAnswerEnd() override;
  void onAnswerBroken() override;

  // What a server's answer is worth, by its head.
  enum class Verdict : uint8_t { kPassOn, kRefused, kFailed, kBroken };

  // When a caller whose request was not run may come again.
  static constexpr absl::Duration kRetryAfter = absl::Milliseconds(250);
  static constexpr std::string_view kNoServer = "no_server";

  bool admit();
  void rejectUnknown(int status, std::string_view why);
  void noteConfigurationAge();
  // Of the configuration that decides on the request; 0: none is known.
  int64_t configurationVersion() const;
  quota::LimitName limitName() const;
  void askQuota();
  void takeQuota(const quota::QuotaDecision& decision);
  void settleQuota();
  void setDeadline();
  void chooseService();
  void tryNext();
  bool mayBeSent();
  // Whether the request may reach a server, as far as ends of servers under it go; else it waits or is
  // rejected.
  bool mayReachServers();
  void rejectForCrashes();
  void askForPlace();
  void takePlace(const PlaceAnswer& answer);
  void askForRate();
  void takeRate(const RateAnswer& answer);
  void settleRate();
  absl::Duration retryAfter() const;
  void sendChosen();
  // Whether the site's budget lets the request go to a further server; it is counted if so.
  bool mayRepeat(absl::Time now);
  bool chooseTarget();
  using Servers = std::vector<forwarding::ServerDirectory::ServerPointer>;
  bool chooseAmong(const Servers& servers, absl::Time now);
  bool choosePlainServer(const Servers& servers, absl::Time now);
  bool chooseEngine(const Servers& servers, absl::Time now);
  bool chooseAmongVersions(absl::Time now);
  bool chooseSoftware();
  double placeAmongPrompts() const;
  bool mayStillUseServer() const;
  void noteRolloutSent();
  void noteRolloutEnd(RolloutExchange::AttemptOutcome end);
  void settleRollout();
  bool isForetoldLate() const;
  uint32_t levelAtEngine() const;
  void notePlacement(absl::Time now);
  void sendAttempt();
  Verdict judge(const HttpHead& head, const forwarding::AnswerFacts& facts) const;
  void endAttempt(forwarding::AttemptEnd end);
  void releaseServer();
  void passEvents(std::string_view bytes);
  void notePiece();
  absl::Duration longestPauseNow() const;
  void noteReading();
  void reserveBegun();
  void passHead();
  void noteServersAnswer(absl::Time now);
  void passKeptAnswer();
  void keepOrPass(std::string bytes);
  void outOfTime();
  void refuse(int status, std::string_view why, absl::Duration retry_after);
  void giveUp(bool out_of_time, std::string_view why);
  void complete(std::string_view outcome);

  Core& core_;
  BackEndPool& pool_;
  HttpHead head_;
  std::string body_;
  AnswerSink* sink_;
  std::shared_ptr<const forwarding::SiteConfiguration> configuration_;
  absl::Duration configuration_age_;  // when the request came
  const forwarding::Route* route_ = nullptr;
  const forwarding::Tenant* tenant_ = nullptr;
  forwarding::RequestFacts facts_;
  forwarding::RequestIdentity identity_;
  forwarding::ServiceName service_;
  forwarding::AttemptLedger ledger_;
  absl::Time began_;
  absl::Time deadline_ = absl::InfiniteFuture();
  reactor::TimerQueue::Key deadline_timer_;
  reactor::TimerQueue::Key crash_timer_;                 // while it waits for what is found of a server's end
  absl::Time crash_wait_ends_ = absl::InfiniteFuture();  // once it has begun
  std::vector<uint64_t> tried_;                          // identity hashes of servers

  // The tenant's limit.
  std::optional<uint64_t> quota_question_;  // while its keeper is asked
  bool is_quota_decided_ = false;
  absl::Duration quota_took_;  // until it was
  double quota_cost_ = 0;      // what was granted, in the limit's unit
  NodeId quota_keeper_;        // by whom

  // The version of the servers that this attempt may go to, where versions are moved in stages.
  std::optional<SoftwareVersion> software_;
  Servers servers_of_software_;
  std::optional<RolloutExchange::AttemptOutcome> rollout_end_;  // while an attempt counts as under way
  bool was_crowded_ = false;                                    // its server, when it was sent there

  // The attempt under way.
  forwarding::ServerDirectory::ServerPointer server_;
  std::optional<forwarding::EngineChoice> engine_;
  std::optional<uint64_t> place_question_;  // while the keeper of the engine's books is asked
  uint32_t place_turn_ = 0;                 // counts these questions
  bool is_place_answered_ = false;
  uint32_t places_asked_ = 0;                        // for this attempt
  bool is_read_ = false;                             // its prompt, by the engine under way
  absl::Time attempt_piece_ = absl::InfinitePast();  // its last one
  uint32_t attempt_pieces_ = 0;
  absl::Duration attempt_pause_ = absl::ZeroDuration();  // between its pieces, the longest
  std::optional<Place> place_;                           // that is held
  forwarding::ServerLoad counted_;                       // as this attempt counts at the server
  std::optional<uint64_t> rate_question_;                // while the keeper of the server's rate is asked
  uint32_t rate_turn_ = 0;                               // counts these questions
  bool is_rate_answered_ = false;
  uint32_t rates_asked_ = 0;             // for this attempt
  std::optional<RateGrant> rate_grant_;  // until the request is sent
  std::unique_ptr<Attempt> attempt_;
  bool is_at_server_ = false;  // it was sent there, and is not known to be over
  absl::Time attempt_began_;
  absl::Duration foretold_first_;  // of the first try: until its first piece
  bool gives_way_ = false;         // it is expected too late anyway: more punctual ones go before it
  Verdict verdict_ = Verdict::kBroken;
  HttpHead answer_;
  std::optional<uint64_t> answer_length_;
  std::string kept_body_;  // of an answer that is passed on once it is whole
  bool keeps_answer_ = true;
  bool has_failure_ = false;  // the last attempt's answer is a failure that may be passed on
  forwarding::EventSplitter events_;

  // Of the answer to the caller.
  bool head_passed_ = false;
  std::optional<uint64_t> last_event_;
  absl::Time first_piece_ = absl::InfiniteFuture();  // when the first one was passed on
  absl::Time last_piece_ = absl::InfinitePast();
  absl::Duration longest_pause_ = absl::ZeroDuration();  // between pieces
  bool done_ = false;
  std::shared_ptr<Exchange> keep_alive_;  // while it goes on without its caller
};

}  // namespace quincewick::gateway
