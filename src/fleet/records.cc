#include "fleet/records.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace quincewick::fleet {
namespace {

// More than a window of all engines of the largest site; stops absurd counts before they allocate.
constexpr size_t kMaximumRecordBytes = size_t{1} << 20U;

constexpr size_t kChecksumBytes = 16;

// Stands before the bytes, so that nothing but what encode() made is ever decoded: counts in garbage would
// otherwise be trusted.
std::string checksum(std::string_view bytes) {
  return absl::StrCat(absl::Hex(XXH3_64bits(bytes.data(), bytes.size()), absl::kZeroPad16));
}

template <class Record>
std::string encode(const Record& record) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(record);
  const std::string bytes = stream.str();
  return checksum(bytes) + bytes;
}

template <class Record>
Result<Record> decode(const std::string& bytes) {
  Record record;
  if (bytes.empty()) {
    return record;
  }
  if (bytes.size() > kMaximumRecordBytes) {
    return fail(ErrorCode::kInternal, "a record of the fleet in the table is too long");
  }
  const std::string payload = bytes.substr(std::min(bytes.size(), kChecksumBytes));
  if (bytes.substr(0, kChecksumBytes) != checksum(payload)) {
    return fail(ErrorCode::kInternal, "a record of the fleet in the table is damaged");
  }
  try {
    std::istringstream stream(payload);
    cereal::PortableBinaryInputArchive archive(stream);
    archive(record);
  } catch (const cereal::Exception&) {
    return fail(ErrorCode::kInternal, "a record of the fleet in the table is malformed");
  }
  return record;
}

}  // namespace

std::string_view rolloutPhaseName(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::kRunning:
      return "running";
    case RolloutPhase::kPaused:
      return "paused";
    case RolloutPhase::kRollingBack:
      return "rolling_back";
    case RolloutPhase::kDone:
      return "done";
    case RolloutPhase::kRolledBack:
      return "rolled_back";
  }
  return "running";
}

void RolloutRecord::addOperation(const OperationId& operation) {
  constexpr size_t most_kept = 16;
  if (operations.size() == most_kept) {
    operations.erase(operations.begin());
  }
  operations.push_back(operation);
}

std::string encodeLease(const LeaseRecord& record) {
  return encode(record);
}

std::string encodeWindow(const WindowRecord& record) {
  return encode(record);
}

std::string encodeRollout(const RolloutRecord& record) {
  return encode(record);
}

Result<LeaseRecord> decodeLease(const std::string& bytes) {
  return decode<LeaseRecord>(bytes);
}

Result<WindowRecord> decodeWindow(const std::string& bytes) {
  return decode<WindowRecord>(bytes);
}

Result<RolloutRecord> decodeRollout(const std::string& bytes) {
  return decode<RolloutRecord>(bytes);
}

}  // namespace quincewick::fleet
