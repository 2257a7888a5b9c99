#include "gateway/relay_messages.h"

#include "types/bounded_archive.h"
#include "types/cereal_time.h"

namespace quincewick::forwarding {

namespace {

constexpr uint32_t kLongestKey = 1024;
constexpr uint32_t kLongestValue = 8U << 20;

}  // namespace

template <class Archive>
void serialize(Archive& archive, StoreRow& row) {
  archiveText(archive, row.key, kLongestKey);
  archiveText(archive, row.value, kLongestValue);
  archive(row.version, row.is_gone);
}

}  // namespace quincewick::forwarding

namespace quincewick::gateway {
namespace {

constexpr uint32_t kLongestTable = 256;
constexpr uint32_t kRowsAtMost = 100'000;

}  // namespace

template <class Archive>
void serialize(Archive& archive, RelayQuestion& question) {
  archiveText(archive, question.table, kLongestTable);
  archive(question.after, question.readings, question.wait);
}

template <class Archive>
void serialize(Archive& archive, RelayAnswer& answer) {
  archiveList(archive, answer.rows, kRowsAtMost);
  archive(answer.is_whole, answer.version, answer.readings, answer.confirmed_ago, answer.as_of_ago,
          answer.held_for);
}

std::string encodeRelayQuestion(const RelayQuestion& question) {
  return encodeArchive(question);
}

std::string encodeRelayAnswer(const RelayAnswer& answer) {
  return encodeArchive(answer);
}

Result<RelayQuestion> decodeRelayQuestion(std::string_view bytes) {
  return decodeArchive<RelayQuestion>(bytes);
}

Result<RelayAnswer> decodeRelayAnswer(std::string_view bytes) {
  return decodeArchive<RelayAnswer>(bytes);
}

}  // namespace quincewick::gateway
