// Which requests end the servers that run them, as far as this gateway knows: its own evidence and what
// others tell (docs/design/crashing_requests.md). Pure; `now` never goes back.
//
// All that was in hand at a server ends with it, so evidence against the request that ended it is evidence
// against those beside it, too: what was served whole elsewhere is sound, and an end that a worse request
// explains isn't held against others.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "forwarding/request_identity.h"

namespace quincewick::forwarding {

// A server ended while these requests were in hand there.
struct ServerCrash {
  uint64_t incarnation = 0;  // the server's identity hash
  uint64_t service = 0;      // the hash of its service's name
  std::vector<RequestIdentity> in_flight;
  absl::Duration ago = absl::ZeroDuration();  // since it ended, when this is told
};

struct QuarantinedRequest {
  RequestIdentity identity;
  bool had_trial = false;  // once more, since it was blamed

  friend bool operator==(const QuarantinedRequest&, const QuarantinedRequest&) = default;
};

// What may be done with a request now.
enum class CrashVerdict : uint8_t {
  kSend,
  kWait,    // for another gateway's objection, or for the end of another suspect's run
  kReject,  // it ends the servers that run it
};

class CrashRegister {
 public:
  // `started`: nothing is known of ends before it.
  explicit CrashRegister(absl::Time started) : started_(started) {}

  // Takes an end that was seen here or told by a peer; one that is known takes the requests it lacks. Returns
  // whether a request is about to be blamed: then `settle` is due after kEvidenceDelay.
  bool noteCrash(const ServerCrash& end, absl::Time now);
  // Decides on what was about to be blamed for kEvidenceDelay, by all evidence that came meanwhile. Returns
  // the requests that are to blame from now on.
  std::vector<RequestIdentity> settle(absl::Time now);
  // It was served whole, here or at a peer: what was held against it is void. Returns whether there was any.
  bool noteServed(const RequestIdentity& identity, absl::Time now);
  // A peer, or a record of earlier, tells that it is to blame. Returns whether that is news.
  bool noteQuarantined(const QuarantinedRequest& blamed, absl::Time now);
  // Whether it is to blame and should be tried once more, for it may have stood beside others all the time:
  // one gateway of the site does so, and tells it before (`takeTrial`).
  bool isTrialDue(const RequestIdentity& identity, absl::Time now) const;
  void takeTrial(const RequestIdentity& identity, absl::Time now);

  CrashVerdict verdictOn(const RequestIdentity& identity, absl::Time now);
  // An attempt at a server begins, and is over. Of requests under which two servers ended, this gateway has
  // one at a time under way: so what ends the next server is told apart from what stood beside it.
  void noteSent(const RequestIdentity& identity, absl::Time now);
  void noteOver(const RequestIdentity& identity);
  // Whether a server has ended under it, so that another end must be known before it is tried again.
  bool isSuspect(const RequestIdentity& identity) const { return suspects_.contains(identity); }
  // Whether it was served whole lately.
  bool wasServed(const RequestIdentity& identity, absl::Time now) const;
  // Those that are rejected, the latest asked for first, `most` at most.
  std::vector<QuarantinedRequest> blamed(size_t most) const;
  // All ends under the requests that are nearest to be blamed, of those under which a server ended within the
  // last minute: what a gateway that starts must know to count on. As many as hold `most` requests.
  std::vector<ServerCrash> unresolvedCrashes(size_t most, absl::Time now) const;
  bool isQuarantined(const RequestIdentity& identity) const { return blamed_.contains(identity); }
  size_t quarantinedCount() const { return blamed_.size(); }
  size_t suspectCount() const { return suspects_.size(); }
  // Distinct ends that are held against the request.
  size_t crashCount(const RequestIdentity& identity) const;
  // Forgets what is too old to count.
  void dropExpired(absl::Time now);

  // Three ends are what the site allows a request.
  static constexpr size_t kCrashesToQuarantine = 3;
  // Where in each of its ends another request is as bad; where all came at once, as where part of a service
  // falls; and where this gateway hasn't been there long enough to know whether servers fall anyway. The site
  // allows three more tries after the third end: this one, the trial below, and one that was under way.
  static constexpr size_t kCrashesToQuarantineIfContested = 4;
  static constexpr absl::Duration kBurstWindow = absl::Seconds(1);
  // Where servers of its service have fallen without it lately, and without another to blame, so often at
  // least:
  static constexpr size_t kCrashesToQuarantineAmidUnrelated = 4;
  static constexpr size_t kMinUnrelatedCrashes = 2;
  // From so many on a request runs apart from others like it.
  static constexpr size_t kCrashesToIsolate = 2;
  // A run of longer lets the next one begin: what ends servers does so sooner.
  static constexpr absl::Duration kMaxIsolationTime = absl::Seconds(2);
  // From its blame until a request is tried once more. By then its culprit, if it was another, is rejected
  // everywhere.
  static constexpr absl::Duration kTrialDelay = absl::Seconds(5);
  // Until others have told who else was there, and objected: twice the time between the farthest regions and
  // the gathering of news, and as much again for a busy gateway. Without it a request beside the culprit was
  // blamed, for the culprit's presence at the last end was told 60 ms later.
  static constexpr absl::Duration kEvidenceDelay = absl::Milliseconds(150);

 private:
  struct End {
    uint64_t incarnation = 0;
    uint64_t service = 0;
    absl::Time at;
    std::vector<RequestIdentity> in_flight;
  };
  struct Blame {
    absl::Time since;
    absl::Time asked;  // when the request came last
    bool is_settled = false;
    bool had_trial = false;  // or is about to be
    // Its trial was taken here and has not been sent yet: it is asked for several times on a request's way.
    bool may_be_sent = false;
  };
  struct Apart {
    RequestIdentity identity;
    absl::Time since;
  };
  struct Served {
    RequestIdentity identity;
    absl::Time at = absl::InfinitePast();
  };
  using EndNumber = uint64_t;

  EndNumber numberOf(const ServerCrash& end, absl::Time at);
  bool isToBlame(const RequestIdentity& identity) const;
  size_t endsToBlame(const RequestIdentity& identity, bool is_contested) const;
  // How many of its service fell lately without it, and without another to blame.
  size_t fallsWithout(const RequestIdentity& identity, const std::vector<EndNumber>& ends) const;
  // The most ends of a request that was there, other than `identity`.
  size_t worstBeside(const End& end, const RequestIdentity& identity) const;
  // Those to run apart that are not blamed, the worst first.
  std::vector<RequestIdentity> worstSuspects(absl::Time now) const;
  void dropEvidence(const RequestIdentity& identity);
  void dropOldestEnd();
  void addBlame(const RequestIdentity& identity, const Blame& blame);
  Served& servedSlot(const RequestIdentity& identity) { return served_[identity.low % served_.size()]; }
  const Served& servedSlot(const RequestIdentity& identity) const {
    return served_[identity.low % served_.size()];
  }

  // A gateway of the largest planned site serves some 30 requests a second: over a minute of them.
  static constexpr size_t kServedKept = 2048;

  absl::Time started_;

  absl::flat_hash_map<EndNumber, End> ends_;
  std::deque<EndNumber> ends_in_order_;
  absl::flat_hash_map<uint64_t, EndNumber> last_of_life_;
  size_t presences_ = 0;  // requests over all ends
  absl::flat_hash_map<RequestIdentity, std::vector<EndNumber>> suspects_;
  absl::flat_hash_map<RequestIdentity, Blame> blamed_;
  std::optional<Apart> apart_;  // the suspect under way
  std::array<Served, kServedKept> served_{};
  EndNumber last_number_ = 0;
};

}  // namespace quincewick::forwarding
