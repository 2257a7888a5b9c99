#include "streams/transcript.h"

namespace quincewick::streams {

void Transcript::append(std::string_view token) {
  text_.append(token);
  ends_.push_back(static_cast<uint32_t>(text_.size()));
}

std::string_view Transcript::token(uint64_t offset) const {
  const uint64_t begin = beginOf(offset);
  return std::string_view(text_).substr(begin, ends_[offset] - begin);
}

uint64_t Transcript::bytesFrom(uint64_t offset) const {
  return text_.size() - beginOf(offset);
}

}  // namespace quincewick::streams
