// What this gateway and its peers know of requests that end servers: takes what is seen here, tells the
// others, and says what may be done with a request (docs/design/crashing_requests.md).
#pragma once

#include <absl/container/btree_set.h>
#include <absl/time/time.h>

#include <deque>
#include <functional>
#include <string_view>
#include <vector>

#include "forwarding/crash_register.h"
#include "gateway/core.h"
#include "gateway/crash_message.h"
#include "gateway/peer_directory.h"
#include "gateway/peer_exchange.h"
#include "gateway/quarantine_record.h"
#include "routing/keeper_ranks.h"

namespace quincewick::gateway {

class CrashExchange {
 public:
  CrashExchange(Core& core, PeerDirectory& directory, PeerExchange& peers);

  // `reads_store`: whether this gateway reads the store for its zone now.
  void start(std::function<bool()> reads_store);

  // A server ended while these requests of this gateway were there.
  void noteEnd(forwarding::ServerEnd end);
  // A request was served whole here.
  void noteServed(const forwarding::RequestIdentity& identity);
  // An attempt at a server begins, and is over.
  void noteSent(const forwarding::RequestIdentity& identity);
  void noteOver(const forwarding::RequestIdentity& identity) { register_.noteOver(identity); }
  // What may be done with the request now. Where it is sent though it is to blame, that is its trial.
  forwarding::CrashVerdict verdictOn(const forwarding::RequestIdentity& identity);
  bool isSuspect(const forwarding::RequestIdentity& identity) const { return register_.isSuspect(identity); }
  size_t blamedCount() const { return register_.blamedCount(); }
  size_t suspectCount() const { return register_.suspectCount(); }

 private:
  struct EndNews {
    forwarding::ServerEnd end;
    absl::Time seen;
    absl::Time due;
    int rounds = 1;  // in which it is still to be told
  };

  Result<void> take(const NodeId& from, std::string_view payload);
  void takeEnd(const forwarding::ServerEnd& end, bool is_own);
  void settle(bool writes_record);
  void takeSound(const forwarding::RequestIdentity& identity, bool is_own);
  void takeBlamed(const forwarding::BlamedRequest& blamed);
  void noteBlamed(const forwarding::RequestIdentity& identity, std::string_view by);
  // Whether a request that is charged was served here: then the others hear that.
  bool objects(const forwarding::RequestIdentity& identity);
  void addNews(const forwarding::ServerEnd& end);
  void scheduleTelling(absl::Time at);
  void tellNews();
  // What is due now, as much as a datagram holds.
  CrashMessage takeDue(absl::Time now);
  void tellAll(const CrashMessage& message);
  bool isTrialHere(const forwarding::RequestIdentity& identity);
  void beat();
  void tellSome();
  void readRecordOnce();

  Core& core_;
  PeerDirectory& directory_;
  PeerExchange& peers_;
  QuarantineRecord record_;
  forwarding::CrashRegister register_;
  std::function<bool()> reads_store_ = [] { return false; };
  bool was_reading_ = false;
  std::deque<EndNews> news_;
  absl::btree_set<forwarding::RequestIdentity> sound_news_;
  reactor::TimerQueue::Key timer_;
  absl::Time timer_at_ = absl::InfiniteFuture();
  double rounds_left_ = 0;  // of telling all, saved up
  absl::Time rounds_counted_ = absl::InfinitePast();
};

}  // namespace quincewick::gateway
