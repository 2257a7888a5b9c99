// Seals and opens the messages between nodes under the site's keys.
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peer/envelope.h"
#include "peer/key_ring.h"
#include "peer/replay_window.h"
#include "types/error.h"
#include "types/identifiers.h"

namespace quincewick::peer {

// Why a message was dropped.
enum class DropReason : uint8_t {
  kTooLong,
  kMalformed,
  kUnknownKey,
  kBadMac,  // a foreign key, another receiver or channel, or damage on the way
  kReplayed,
  kOldIncarnation,
};
inline constexpr size_t kDropReasonCount = 6;

// Returns a stable lower-case name for metrics, such as "bad_mac".
std::string_view dropReasonName(DropReason reason);

// Dropped messages by reason, indexed by DropReason.
using DropCounts = std::array<uint64_t, kDropReasonCount>;

// Thread-safe. One for each process.
class Authenticator {
 public:
  // `incarnation` must be greater than at the process's earlier starts, or peers drop what it sends.
  Authenticator(NodeId self, Incarnation incarnation, KeyRing keys);

  // Replaces the keys at once, for sealing and opening.
  void setKeyRing(KeyRing keys);
  // Seals with these keys from now on, and goes on opening what is sealed with the last few rings before:
  // nodes learn of new keys at different times.
  void addKeyRing(KeyRing keys);

  // A sealed message and the sequence number it got.
  struct Sealed {
    std::string bytes;
    Sequence sequence;
  };
  // Wraps `payload` for `recipient`, who alone will accept it. `in_answer_to`: for responses, the request's
  // sequence number.
  Sealed seal(Channel channel, const NodeId& recipient, PeerModule module, std::string payload,
              Sequence in_answer_to = Sequence());

  // Checks and unwraps untrusted bytes. kUnauthenticated for whatever reason, which is counted but told to
  // nobody. A response isn't looked up in the replay window: it must answer the very request.
  Result<Envelope> open(Channel channel, std::string_view bytes, Sequence in_answer_to = Sequence());

  const NodeId& self() const { return self_; }
  DropCounts dropCounts() const;

 private:
  using Mac = std::array<unsigned char, kMacSize>;
  struct SignedMessage {
    Channel channel;
    Sequence in_answer_to;
    KeyId key;
    std::string_view bytes;
    std::string_view mac;  // as claimed
  };

  Mac macOf(const std::string& secret, Channel channel, const NodeId& recipient, Sequence in_answer_to,
            std::string_view bytes) const;
  // Why the message isn't accepted under the ring's keys; nothing if it is.
  std::optional<DropReason> refusalUnder(const KeyRing& ring, const SignedMessage& message) const;
  // The same under the present ring or an earlier one.
  std::optional<DropReason> refusalOf(const SignedMessage& message) const;
  std::shared_ptr<const KeyRing> keys() const;
  std::vector<std::shared_ptr<const KeyRing>> earlierKeys() const;
  ReplayVerdict checkReplay(Channel channel, const Envelope& envelope);
  Error drop(DropReason reason);

  const NodeId self_;
  const Incarnation incarnation_;
  mutable absl::Mutex mutex_;
  std::shared_ptr<const KeyRing> keys_ ABSL_GUARDED_BY(mutex_);
  std::vector<std::shared_ptr<const KeyRing>> earlier_keys_ ABSL_GUARDED_BY(mutex_);  // the latest first
  Sequence last_datagram_ ABSL_GUARDED_BY(mutex_);
  Sequence last_body_ ABSL_GUARDED_BY(mutex_);
  ReplayWindow datagrams_ ABSL_GUARDED_BY(mutex_);
  ReplayWindow requests_ ABSL_GUARDED_BY(mutex_);
  DropCounts drops_ ABSL_GUARDED_BY(mutex_) = {};
};

}  // namespace quincewick::peer
