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
#include <vector>

#include "forwarding/request_identity.h"

namespace quincewick::forwarding {

// A server ended while these requests were in hand there.
struct ServerEnd {
  uint64_t life = 0;     // the server's identity hash
  uint64_t service = 0;  // the hash of its service's name
  std::vector<RequestIdentity> there;
};

// What may be done with a request now.
enum class CrashVerdict : uint8_t {
  kSend,
  kWait,    // it is about to be blamed, but for another gateway's objection
  kReject,  // it ends the servers that run it
};

class CrashRegister {
 public:
  // Takes an end that was seen here or told by a peer; one that is known takes the requests it lacks.
  // Returns the requests that are to blame from now on.
  std::vector<RequestIdentity> noteEnd(const ServerEnd& end, absl::Time now);
  // It was served whole, here or at a peer: what was held against it is void. Returns whether there was any.
  bool noteServed(const RequestIdentity& identity, absl::Time now);
  // A peer, or a record of earlier, tells that it is to blame. Returns whether that is news.
  bool noteBlamed(const RequestIdentity& identity, absl::Time now);

  CrashVerdict verdictOn(const RequestIdentity& identity, absl::Time now);
  // Whether a server has ended under it, so that another end must be known before it is tried again.
  bool isSuspect(const RequestIdentity& identity) const { return suspects_.contains(identity); }
  // Whether it was served whole lately.
  bool wasServed(const RequestIdentity& identity, absl::Time now) const;
  // Those to blame, the latest asked for first, `most` at most.
  std::vector<RequestIdentity> blamed(size_t most) const;
  size_t blamedCount() const { return blamed_.size(); }
  size_t suspectCount() const { return suspects_.size(); }
  // Distinct ends that are held against the request.
  size_t endsUnder(const RequestIdentity& identity) const;
  // Forgets what is too old to count.
  void forgetOld(absl::Time now);

  // Three ends are what the site allows a request.
  static constexpr size_t kEndsToBlame = 3;
  // Where others are as bad, or servers fall anyway. The site allows three more tries after the third end.
  static constexpr size_t kEndsToBlameAmongOthers = 5;
  // Until others have objected: twice the time between the farthest regions and the gathering of news, and as
  // much again for a busy gateway.
  static constexpr absl::Duration kObjectionTime = absl::Milliseconds(150);

 private:
  struct End {
    uint64_t life = 0;
    uint64_t service = 0;
    absl::Time at;
    std::vector<RequestIdentity> there;
  };
  struct Blame {
    absl::Time since;
    absl::Time asked;  // when the request came last
  };
  struct Served {
    RequestIdentity identity;
    absl::Time at = absl::InfinitePast();
  };
  using EndNumber = uint64_t;

  EndNumber numberOf(const ServerEnd& end, absl::Time now);
  bool isToBlame(const RequestIdentity& identity) const;
  bool doServersFallAnyway(const RequestIdentity& identity, const std::vector<EndNumber>& ends) const;
  // The most ends of a request that was there, other than `identity`.
  size_t worstBeside(const End& end, const RequestIdentity& identity) const;
  void dropEvidence(const RequestIdentity& identity);
  void dropOldestEnd();
  void makeRoomForBlame();
  Served& servedSlot(const RequestIdentity& identity) { return served_[identity.low % served_.size()]; }
  const Served& servedSlot(const RequestIdentity& identity) const {
    return served_[identity.low % served_.size()];
  }

  // A gateway of the largest planned site serves some 30 requests a second: over a minute of them.
  static constexpr size_t kServedKept = 2048;

  absl::flat_hash_map<EndNumber, End> ends_;
  std::deque<EndNumber> ends_in_order_;
  absl::flat_hash_map<uint64_t, EndNumber> last_of_life_;
  size_t presences_ = 0;  // requests over all ends
  absl::flat_hash_map<RequestIdentity, std::vector<EndNumber>> suspects_;
  absl::flat_hash_map<RequestIdentity, Blame> blamed_;
  std::array<Served, kServedKept> served_{};
  EndNumber last_number_ = 0;
};

}  // namespace quincewick::forwarding
