#include "peer/authenticator.h"

#include <absl/strings/str_cat.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <utility>

namespace quincewick::peer {
namespace {

constexpr size_t kEarlierRings = 3;

}  // namespace

std::string_view dropReasonName(DropReason reason) {
  switch (reason) {
    case DropReason::kTooLong:
      return "too_long";
    case DropReason::kMalformed:
      return "malformed";
    case DropReason::kUnknownKey:
      return "unknown_key";
    case DropReason::kBadMac:
      return "bad_mac";
    case DropReason::kReplayed:
      return "replayed";
    case DropReason::kOldIncarnation:
      return "old_incarnation";
  }
  return "unknown";
}

Authenticator::Authenticator(NodeId self, Incarnation incarnation, KeyRing keys)
    : self_(std::move(self)),
      incarnation_(incarnation),
      keys_(std::make_shared<const KeyRing>(std::move(keys))) {}

void Authenticator::setKeyRing(KeyRing keys) {
  auto replacement = std::make_shared<const KeyRing>(std::move(keys));
  const absl::MutexLock lock(&mutex_);
  keys_ = std::move(replacement);
  earlier_keys_.clear();
}

void Authenticator::addKeyRing(KeyRing keys) {
  auto replacement = std::make_shared<const KeyRing>(std::move(keys));
  const absl::MutexLock lock(&mutex_);
  earlier_keys_.insert(earlier_keys_.begin(), std::exchange(keys_, std::move(replacement)));
  earlier_keys_.resize(std::min(earlier_keys_.size(), kEarlierRings));
}

Authenticator::Sealed Authenticator::seal(Channel channel, const NodeId& recipient, PeerModule module,
                                          std::string payload, Sequence in_answer_to) {
  const std::shared_ptr<const KeyRing> ring = keys();
  Envelope envelope{module, self_, incarnation_, ring->signingKey(), Sequence(), std::move(payload)};
  {
    const absl::MutexLock lock(&mutex_);
    Sequence& last = channel == Channel::kDatagram ? last_datagram_ : last_body_;
    last = last.next();
    envelope.sequence = last;
  }
  std::string bytes = encodeEnvelope(envelope);
  const Mac mac = macOf(ring->signingSecret(), channel, recipient, in_answer_to, bytes);
  bytes.append(mac.begin(), mac.end());
  return {std::move(bytes), envelope.sequence};
}

Result<Envelope> Authenticator::open(Channel channel, std::string_view bytes, Sequence in_answer_to) {
  const size_t maximum = channel == Channel::kDatagram ? kMaximumDatagramSize : kMaximumBodySize;
  if (bytes.size() > maximum) {
    return drop(DropReason::kTooLong);
  }
  if (bytes.size() < kMacSize) {
    return drop(DropReason::kMalformed);
  }
  const std::string_view signed_bytes = bytes.substr(0, bytes.size() - kMacSize);
  const std::string_view claimed_mac = bytes.substr(signed_bytes.size());
  Result<Envelope> envelope = decodeEnvelope(signed_bytes);
  if (!envelope) {
    return drop(DropReason::kMalformed);
  }
  const SignedMessage message{channel, in_answer_to, envelope.value().key, signed_bytes, claimed_mac};
  if (const std::optional<DropReason> refusal = refusalOf(message)) {
    return drop(*refusal);
  }
  const ReplayVerdict verdict = checkReplay(channel, envelope.value());
  if (verdict != ReplayVerdict::kFresh) {
    return drop(verdict == ReplayVerdict::kReplayed ? DropReason::kReplayed : DropReason::kOldIncarnation);
  }
  return envelope;
}

DropCounts Authenticator::dropCounts() const {
  const absl::MutexLock lock(&mutex_);
  return drops_;
}

Authenticator::Mac Authenticator::macOf(const std::string& secret, Channel channel, const NodeId& recipient,
                                        Sequence in_answer_to, std::string_view bytes) const {
  // The fixed-size fields first and the id ended by a zero: no two inputs give the same text.
  std::string text = absl::StrCat(absl::Hex(static_cast<unsigned>(channel), absl::kZeroPad2),
                                  absl::Hex(in_answer_to.value(), absl::kZeroPad16), recipient.value());
  text.push_back('\0');
  text.append(bytes);
  std::array<unsigned char, EVP_MAX_MD_SIZE> full{};
  HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), full.data(), nullptr);
  Mac mac{};
  std::copy_n(full.begin(), kMacSize, mac.begin());
  return mac;
}

std::optional<DropReason> Authenticator::refusalUnder(const KeyRing& ring,
                                                      const SignedMessage& message) const {
  const std::string* secret = ring.find(message.key);
  if (secret == nullptr) {
    return DropReason::kUnknownKey;
  }
  const Mac mac = macOf(*secret, message.channel, self_, message.in_answer_to, message.bytes);
  return CRYPTO_memcmp(mac.data(), message.mac.data(), kMacSize) == 0 ? std::nullopt
                                                                      : std::optional(DropReason::kBadMac);
}

std::optional<DropReason> Authenticator::refusalOf(const SignedMessage& message) const {
  const std::optional<DropReason> refusal = refusalUnder(*keys(), message);
  if (!refusal) {
    return std::nullopt;
  }
  const std::vector<std::shared_ptr<const KeyRing>> earlier = earlierKeys();
  const bool is_accepted = std::any_of(earlier.begin(), earlier.end(),
                                       [&](const auto& ring) { return !refusalUnder(*ring, message); });
  return is_accepted ? std::nullopt : refusal;
}

std::shared_ptr<const KeyRing> Authenticator::keys() const {
  const absl::MutexLock lock(&mutex_);
  return keys_;
}

std::vector<std::shared_ptr<const KeyRing>> Authenticator::earlierKeys() const {
  const absl::MutexLock lock(&mutex_);
  return earlier_keys_;
}

ReplayVerdict Authenticator::checkReplay(Channel channel, const Envelope& envelope) {
  if (channel == Channel::kResponse) {
    return ReplayVerdict::kFresh;
  }
  const absl::MutexLock lock(&mutex_);
  ReplayWindow& window = channel == Channel::kDatagram ? datagrams_ : requests_;
  return window.accept(envelope.sender, envelope.sender_incarnation, envelope.sequence);
}

Error Authenticator::drop(DropReason reason) {
  const absl::MutexLock lock(&mutex_);
  ++drops_[static_cast<size_t>(reason)];
  return {ErrorCode::kUnauthenticated, "peer message refused", Execution::kNotRun};
}

}  // namespace quincewick::peer
