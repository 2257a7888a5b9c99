#include "staged_rollout/rollout_record.h"

#include <cmath>

#include "types/bounded_archive.h"
#include "types/cereal_time.h"

namespace quincewick::staged_rollout {
namespace {

constexpr uint8_t kFormatVersion = 1;
constexpr uint32_t kMaxNameBytes = 200;

}  // namespace

std::string_view nameOf(RolloutStage stage) {
  switch (stage) {
    case RolloutStage::kSettled:
      return "settled";
    case RolloutStage::kWatching:
      return "watching";
    case RolloutStage::kMoving:
      return "moving";
    case RolloutStage::kFinishing:
      return "finishing";
    case RolloutStage::kCompleted:
      return "completed";
    case RolloutStage::kRolledBack:
      return "rolled_back";
  }
  return "unknown";
}

template <class Archive, class Tag>
void archiveName(Archive& archive, StrongString<Tag>& name) {
  std::string text = name.value();
  archiveText(archive, text, kMaxNameBytes);
  if constexpr (Archive::is_loading::value) {
    name = StrongString<Tag>(std::move(text));
  }
}

template <class Archive>
void serialize(Archive& archive, RolloutRecord& record) {
  uint8_t format_version = kFormatVersion;
  archive(format_version);
  if (format_version != kFormatVersion) {
    throw cereal::Exception("unknown format version of a rollout record");
  }
  archiveName(archive, record.service);
  archiveName(archive, record.base);
  archiveName(archive, record.target);
  auto stage = static_cast<uint8_t>(record.stage);
  archive(stage, record.share, record.request_row, record.began, record.deadline, record.stage_began,
          record.base_until, record.fence, record.bad_responses);
  if constexpr (Archive::is_loading::value) {
    const bool is_sound =
        stage <= static_cast<uint8_t>(RolloutStage::kRolledBack) && record.share >= 0 && record.share <= 1;
    if (!is_sound) {
      throw cereal::Exception("rollout record has an invalid stage or share");
    }
    record.stage = static_cast<RolloutStage>(stage);
  }
}

std::string encodeRecord(const RolloutRecord& record) {
  return encodeArchive(record);
}

Result<RolloutRecord> decodeRecord(std::string_view bytes) {
  return decodeArchive<RolloutRecord>(bytes);
}

}  // namespace quincewick::staged_rollout
