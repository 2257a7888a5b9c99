// The tokens of one answer so far, for repeated delivery and for continuing the answer at another engine.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace quincewick::streams {

// Token texts in one string, with the end position of each. Not thread-safe.
class Transcript {
 public:
  // Adds the token at offset `tokenCount()`.
  void append(std::string_view token);

  // Number of tokens held; also the offset of the next one.
  uint64_t tokenCount() const { return ends_.size(); }
  // All tokens joined.
  const std::string& text() const { return text_; }
  // The token at `offset` < tokenCount(). The view lives until the next append.
  std::string_view token(uint64_t offset) const;
  // Bytes of text from the token at `offset` <= tokenCount() to the end.
  uint64_t bytesFrom(uint64_t offset) const;
  // Bytes of memory allocated for the tokens.
  uint64_t memoryBytes() const { return text_.capacity() + ends_.capacity() * sizeof(uint32_t); }

 private:
  // Where the token at `offset` begins; `offset` <= tokenCount().
  uint64_t beginOf(uint64_t offset) const { return offset == 0 ? 0 : ends_[offset - 1]; }

  std::string text_;
  std::vector<uint32_t> ends_;  // ends_[i]: bytes of text up to and with token i
};

}  // namespace quincewick::streams
