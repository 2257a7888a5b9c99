#include "membership/messages.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/variant.hpp>
#include <sstream>
#include <utility>

namespace quincewick::membership {
namespace {

// The greatest incarnation taken from a peer: a node that refutes must still be able to count on.
constexpr uint64_t kMaximumIncarnation = uint64_t{1} << 62;
// The bytes of a record besides its names: four lengths, port, incarnation, state.
constexpr size_t kRecordFixedSize = 4 + 2 + 8 + 1;
// The bytes of a beat besides its zone: length, counter.
constexpr size_t kBeatFixedSize = 1 + 4;

// Text with one byte for its length, where cereal's own would take eight.
template <class Archive>
void archiveText(Archive& archive, std::string& text, size_t maximum_size) {
  auto size = static_cast<uint8_t>(text.size());
  archive(size);
  if constexpr (Archive::is_loading::value) {
    if (size > maximum_size) {
      throw cereal::Exception("text is too long");
    }
    text.resize(size);
  }
  archive(cereal::binary_data(text.data(), size));
}

template <class Archive, class Tag>
void archiveName(Archive& archive, StrongString<Tag>& name) {
  std::string text = name.value();
  archiveText(archive, text, kMaximumNameSize);
  if constexpr (Archive::is_loading::value) {
    name = StrongString<Tag>(std::move(text));
  }
}

// A list with one byte for its length.
template <class Archive, class Item>
void archiveList(Archive& archive, std::vector<Item>& items) {
  auto size = static_cast<uint8_t>(items.size());
  archive(size);
  if constexpr (Archive::is_loading::value) {
    items.resize(size);
  }
  for (Item& item : items) {
    archive(item);
  }
}

}  // namespace

template <class Archive>
void serialize(Archive& archive, MemberRecord& record) {
  archiveName(archive, record.id);
  archiveName(archive, record.zone);
  archiveName(archive, record.region);
  archiveText(archive, record.address.host, kMaximumNameSize);
  uint64_t incarnation = record.incarnation.value();
  auto state = static_cast<uint8_t>(record.state);
  archive(record.address.port, incarnation, state);
  if constexpr (Archive::is_loading::value) {
    if (state > static_cast<uint8_t>(MemberState::kLeft) || incarnation > kMaximumIncarnation) {
      throw cereal::Exception("state or incarnation is out of range");
    }
    record.incarnation = Incarnation(incarnation);
    record.state = static_cast<MemberState>(state);
    if (!isEncodable(record)) {
      throw cereal::Exception("a name is missing");
    }
  }
}

template <class Archive>
void serialize(Archive& archive, Probe& probe) {
  archive(probe.sequence);
  archiveName(archive, probe.on_behalf_of);
}

template <class Archive>
void serialize(Archive& archive, ProbeAnswer& answer) {
  archive(answer.sequence);
  archiveName(archive, answer.on_behalf_of);
}

template <class Archive>
void serialize(Archive& archive, IndirectProbe& request) {
  archive(request.sequence, request.target);
}

template <class Archive>
void serialize(Archive& archive, IndirectAnswer& answer) {
  archive(answer.sequence);
  archiveName(archive, answer.target);
}

template <class Archive>
void serialize(Archive& /*archive*/, Gossip& /*gossip*/) {}

template <class Archive>
void serialize(Archive& /*archive*/, Exchange& /*exchange*/) {}

template <class Archive>
void serialize(Archive& archive, ZoneDigest& digest) {
  archiveName(archive, digest.zone);
  archive(digest.digest);
}

template <class Archive>
void serialize(Archive& archive, ZoneDigests& digests) {
  auto complete = static_cast<uint8_t>(digests.complete);
  archive(complete);
  digests.complete = complete != 0;
  archiveList(archive, digests.zones);
}

template <class Archive>
void serialize(Archive& archive, ZonePage& page) {
  archiveName(archive, page.zone);
  archiveName(archive, page.after);
  archiveName(archive, page.up_to);
}

template <class Archive>
void serialize(Archive& archive, PayloadUpdate& update) {
  uint64_t incarnation = update.payload.incarnation.value();
  archive(incarnation, update.payload.sequence);
  update.payload.incarnation = Incarnation(incarnation);
  archiveText(archive, update.payload.bytes, kMaximumPayloadSize);
}

template <class Archive>
void serialize(Archive& archive, ZoneBeat& beat) {
  archiveName(archive, beat.zone);
  archive(beat.beat);
}

template <class Archive>
void serialize(Archive& archive, Message& message) {
  archive(message.body);
  if (std::holds_alternative<PayloadUpdate>(message.body)) {
    return;
  }
  archive(message.sender, message.view_digest);
  archiveList(archive, message.beats);
  archiveList(archive, message.updates);
}

std::string encodeMessage(const Message& message) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    Message copy = message;  // one serialize() serves both directions and takes a mutable object
    archive(copy);
  }
  return std::move(stream).str();
}

Result<Message> decodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaximumMessageSize) {
    return fail(ErrorCode::kInvalidArgument, "membership message is too long");
  }
  std::istringstream stream{std::string(bytes)};
  Message message;
  try {
    cereal::PortableBinaryInputArchive archive(stream);
    archive(message);
  } catch (const cereal::Exception&) {
    return fail(ErrorCode::kInvalidArgument, "membership message is malformed");
  }
  if (stream.peek() != std::istringstream::traits_type::eof()) {
    return fail(ErrorCode::kInvalidArgument, "membership message has trailing bytes");
  }
  return message;
}

size_t encodedSize(const MemberRecord& record) {
  return kRecordFixedSize + record.id.value().size() + record.zone.value().size() +
         record.region.value().size() + record.address.host.size();
}

size_t encodedSize(const ZoneBeat& beat) {
  return kBeatFixedSize + beat.zone.value().size();
}

bool isEncodable(const MemberRecord& record) {
  const auto fits = [](const std::string& name) { return !name.empty() && name.size() <= kMaximumNameSize; };
  return fits(record.id.value()) && fits(record.zone.value()) && fits(record.address.host) &&
         record.region.value().size() <= kMaximumNameSize;
}

}  // namespace quincewick::membership
