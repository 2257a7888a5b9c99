#include "gateway/relay_messages.h"

#include "gateway/packed_rows.h"
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
constexpr uint32_t kLargestPacked = 4U << 20;
// An archive begins with its byte order, 0 or 1.
constexpr char kPackedMark = 'P';

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

template <class Archive>
void serialize(Archive& archive, PackedRelayAnswer& answer) {
  archive(answer.answer);
  archiveText(archive, answer.packed, kLargestPacked);
}

// Rows alone, as an archive of their own.
struct RowList {
  std::vector<forwarding::StoreRow> rows;

  template <class Archive>
  void serialize(Archive& archive) {
    archiveList(archive, rows, kRowsAtMost);
  }
};

std::string encodeRows(const std::vector<forwarding::StoreRow>& rows) {
  return encodeArchive(RowList{rows});
}

Result<std::vector<forwarding::StoreRow>> decodeRows(std::string_view bytes) {
  BOOST_OUTCOME_TRY(list, decodeArchive<RowList>(bytes));
  return std::move(list.rows);
}

std::string encodePackedAnswer(const PackedRelayAnswer& answer) {
  return kPackedMark + encodeArchive(answer);
}

Result<RelayAnswer> decodeEitherAnswer(std::string_view bytes) {
  if (!bytes.starts_with(kPackedMark)) {
    return decodeRelayAnswer(bytes);
  }
  BOOST_OUTCOME_TRY(packed, decodeArchive<PackedRelayAnswer>(bytes.substr(1)));
  BOOST_OUTCOME_TRY(rows, unpackRows(packed.packed));
  packed.answer.rows = std::move(rows);
  return std::move(packed.answer);
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
