#include "gateway/packed_rows.h"

#include <zstd.h>

#include "gateway/relay_messages.h"

namespace quincewick::gateway {
namespace {

// Rows differ in only a few numbers, which a fast level compresses well.
constexpr int kCompressionLevel = 1;
// Limit of the unpacked rows, enough for 100,000 servers.
constexpr uint64_t kMaxUnpackedBytes = uint64_t{32} << 20;

}  // namespace

std::string packRows(const std::vector<forwarding::StoreRow>& rows) {
  const std::string plain = encodeRows(rows);
  std::string packed(ZSTD_compressBound(plain.size()), '\0');
  const size_t size =
      ZSTD_compress(packed.data(), packed.size(), plain.data(), plain.size(), kCompressionLevel);
  packed.resize(ZSTD_isError(size) == 0 ? size : 0);
  return packed;
}

Result<std::vector<forwarding::StoreRow>> unpackRows(std::string_view bytes) {
  const uint64_t size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
  if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > kMaxUnpackedBytes) {
    return fail(ErrorCode::kInvalidArgument, "the size of packed rows is missing or above the limit");
  }
  std::string plain(size, '\0');
  const size_t unpacked = ZSTD_decompress(plain.data(), plain.size(), bytes.data(), bytes.size());
  if (ZSTD_isError(unpacked) != 0 || unpacked != size) {
    return fail(ErrorCode::kInvalidArgument, "packed rows can't be decompressed");
  }
  return decodeRows(plain);
}

}  // namespace quincewick::gateway
