#include "forwarding/soundness.h"

#include <utility>

#include "forwarding/brittleness.h"
#include "types/bounded_archive.h"

namespace quincewick::forwarding {
namespace {

constexpr uint32_t kMaxServices = 4096;

}  // namespace

template <class Archive>
void serialize(Archive& archive, SoundStatement& statement) {
  archiveText(archive, statement.service);
  int64_t heard_ms = absl::ToInt64Milliseconds(statement.heard);
  archive(heard_ms);
  statement.heard = absl::Milliseconds(heard_ms);
}

template <class Archive>
void serialize(Archive& archive, SoundRecord& record) {
  archiveList(archive, record.statements, kMaxServices);
}

std::string encodeSoundRecord(const SoundRecord& record) {
  return encodeArchive(record);
}

Result<SoundRecord> decodeSoundRecord(std::string_view bytes) {
  return decodeArchive<SoundRecord>(bytes);
}

std::vector<SoundStatement> withoutBrittle(std::vector<SoundStatement> sound,
                                           const absl::flat_hash_map<ServiceName, absl::Duration>& brittle) {
  std::erase_if(sound, [&brittle](const SoundStatement& statement) {
    const auto found = brittle.find(statement.service);
    return found != brittle.end() && statement.heard <= found->second + BrittlenessRegister::kBrittleValidity;
  });
  return sound;
}

}  // namespace quincewick::forwarding
