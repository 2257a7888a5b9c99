#include "gateway/relay_messages.h"

#include "gateway/packed_rows.h"
#include "types/bounded_archive.h"
#include "types/cereal_time.h"

namespace quincewick::forwarding {

namespace {

constexpr uint32_t kMaxKeyBytes = 1024;
constexpr uint32_t kMaxValueBytes = 8U << 20;

}  // namespace

template <class Archive>
void serialize(Archive& archive, StoreRow& row) {
  archiveText(archive, row.key, kMaxKeyBytes);
  archiveText(archive, row.value, kMaxValueBytes);
  archive(row.version, row.is_gone);
}

}  // namespace quincewick::forwarding

namespace quincewick::gateway {
namespace {

constexpr uint32_t kMaxTableName = 256;
constexpr uint32_t kMaxRows = 100'000;
constexpr uint32_t kMaxPackedBytes = 4U << 20;
// Distinct from the first byte of a plain archive, which is its byte order, 0 or 1.
constexpr char kPackedMark = 'P';
constexpr char kCopyStateMark = 'S';  // packed, with the copy's state

}  // namespace

template <class Archive>
void serialize(Archive& archive, RelayRequest& request) {
  archiveText(archive, request.table, kMaxTableName);
  archive(request.after, request.update_count, request.wait);
}

template <class Archive>
void serialize(Archive& archive, RelayResponse& response) {
  archiveList(archive, response.rows, kMaxRows);
  archive(response.is_whole, response.version, response.update_count, response.confirmed_ago,
          response.as_of_ago, response.held_for);
}

template <class Archive>
void serialize(Archive& archive, PackedRelayResponse& response) {
  archive(response.response);
  archiveText(archive, response.packed, kMaxPackedBytes);
}

template <class Archive>
void serialize(Archive& archive, CopyState& copy) {
  archive(copy.digest, copy.restores);
}

struct CopyStateResponse {
  PackedRelayResponse packed;
  CopyState copy;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(packed, copy);
  }
};

// Rows as a separate archive.
struct RowList {
  std::vector<forwarding::StoreRow> rows;

  template <class Archive>
  void serialize(Archive& archive) {
    archiveList(archive, rows, kMaxRows);
  }
};

std::string encodeRows(const std::vector<forwarding::StoreRow>& rows) {
  return encodeArchive(RowList{rows});
}

Result<std::vector<forwarding::StoreRow>> decodeRows(std::string_view bytes) {
  BOOST_OUTCOME_TRY(list, decodeArchive<RowList>(bytes));
  return std::move(list.rows);
}

std::string encodePackedResponse(const PackedRelayResponse& response) {
  if (response.response.copy) {
    return kCopyStateMark + encodeArchive(CopyStateResponse{response, *response.response.copy});
  }
  return kPackedMark + encodeArchive(response);
}

Result<RelayResponse> unpacked(PackedRelayResponse response) {
  BOOST_OUTCOME_TRY(rows, unpackRows(response.packed));
  response.response.rows = std::move(rows);
  return std::move(response.response);
}

Result<RelayResponse> decodeAnyRelayResponse(std::string_view bytes) {
  if (bytes.starts_with(kCopyStateMark)) {
    BOOST_OUTCOME_TRY(with_state, decodeArchive<CopyStateResponse>(bytes.substr(1)));
    with_state.packed.response.copy = with_state.copy;
    return unpacked(std::move(with_state.packed));
  }
  if (bytes.starts_with(kPackedMark)) {
    BOOST_OUTCOME_TRY(packed, decodeArchive<PackedRelayResponse>(bytes.substr(1)));
    return unpacked(std::move(packed));
  }
  return decodeRelayResponse(bytes);
}

std::string encodeRelayRequest(const RelayRequest& request) {
  return encodeArchive(request);
}

std::string encodeRelayResponse(const RelayResponse& response) {
  return encodeArchive(response);
}

Result<RelayRequest> decodeRelayRequest(std::string_view bytes) {
  return decodeArchive<RelayRequest>(bytes);
}

Result<RelayResponse> decodeRelayResponse(std::string_view bytes) {
  return decodeArchive<RelayResponse>(bytes);
}

}  // namespace quincewick::gateway
