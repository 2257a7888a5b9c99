#include "admission/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <limits>
#include <sstream>

namespace quincewick::admission {
namespace {

constexpr size_t kLargestMessageBytes = 60'000;  // one datagram
constexpr size_t kLargestBatch = 4096;

// Short strings and lists with one- and two-byte sizes: the messages are many and small.
struct ShortText {
  std::string& text;

  template <class Archive>
  void save(Archive& archive) const {
    archive(static_cast<uint8_t>(text.size()));
    archive(cereal::binary_data(text.data(), text.size()));
  }
  template <class Archive>
  void load(Archive& archive) {
    uint8_t size = 0;
    archive(size);
    text.resize(size);
    archive(cereal::binary_data(text.data(), size));
  }
};

template <class Archive>
void transfer(Archive& archive, TenantId& tenant) {
  std::string text = tenant.value();
  archive(ShortText{text});
  tenant = TenantId(std::move(text));
}

template <class Archive>
void transfer(Archive& archive, LimitAsk& ask) {
  transfer(archive, ask.tenant);
  archive(ask.tokens, ask.minimum_tokens, ask.requests, ask.permits, ask.in_use);
}

template <class Archive>
void transfer(Archive& archive, LimitGrant& grant) {
  transfer(archive, grant.tenant);
  archive(grant.tokens, grant.requests, grant.permits, grant.retry_after_milliseconds);
}

template <class Archive, class Item>
void transferList(Archive& archive, std::vector<Item>& items) {
  auto count = static_cast<uint16_t>(items.size());
  archive(count);
  if (count > kLargestBatch) {
    throw cereal::Exception("too many items in a batch");
  }
  items.resize(count);
  for (Item& item : items) {
    transfer(archive, item);
  }
}

template <class Archive>
void transfer(Archive& archive, LimitAskBatch& batch) {
  archive(batch.sequence);
  transferList(archive, batch.asks);
}

template <class Archive>
void transfer(Archive& archive, LimitGrantBatch& batch) {
  archive(batch.sequence);
  transferList(archive, batch.grants);
}

template <class Archive>
void transfer(Archive& archive, RightsRequest& request) {
  archive(request.level, request.renewal, request.sequence, request.slots);
}

template <class Archive>
void transfer(Archive& archive, RightsLease& lease) {
  archive(lease.level, lease.sequence, lease.slots, lease.rights);
}

template <class Archive>
void transfer(Archive& archive, RightsRelease& release) {
  archive(release.sequence, release.slots);
}

// Reads the alternative with the given index into `message`.
template <size_t kIndex = 0>
void readAlternative(cereal::PortableBinaryInputArchive& archive, size_t index, LimitMessage& message) {
  if constexpr (kIndex < std::variant_size_v<LimitMessage>) {
    if (index == kIndex) {
      transfer(archive, message.emplace<kIndex>());
      return;
    }
    readAlternative<kIndex + 1>(archive, index, message);
  } else {
    throw cereal::Exception("unknown kind of message");
  }
}

bool hasKnownLevel(const LimitMessage& message) {
  const auto known = [](RightsLevel level) {
    return level == RightsLevel::kNode || level == RightsLevel::kZone;
  };
  if (const auto* request = std::get_if<RightsRequest>(&message)) {
    return known(request->level);
  }
  const auto* lease = std::get_if<RightsLease>(&message);
  return lease == nullptr || known(lease->level);
}

}  // namespace

std::string encodeLimitMessage(const LimitMessage& message) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(static_cast<uint8_t>(message.index()));
    LimitMessage copy = message;
    std::visit([&](auto& concrete) { transfer(archive, concrete); }, copy);
  }
  return stream.str();
}

Result<LimitMessage> decodeLimitMessage(std::string_view bytes) {
  if (bytes.size() > kLargestMessageBytes) {
    return fail(ErrorCode::kInvalidArgument, "limit message: too long");
  }
  std::istringstream stream{std::string(bytes)};
  LimitMessage message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    uint8_t index = 0;
    archive(index);
    readAlternative(archive, index, message);
  } catch (const cereal::Exception& exception) {
    return fail(ErrorCode::kInvalidArgument, std::string("limit message: ") + exception.what());
  }
  const bool consumed = stream.peek() == std::istringstream::traits_type::eof();
  if (!consumed || !hasKnownLevel(message)) {
    return fail(ErrorCode::kInvalidArgument, "limit message: malformed");
  }
  return message;
}

}  // namespace quincewick::admission
