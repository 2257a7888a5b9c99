// Texts and lists for cereal whose lengths are checked before memory is allocated: for stored records and
// peer messages.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <exception>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "types/bounded_input_archive.h"
#include "types/error.h"
#include "types/strong_id.h"

namespace quincewick {

// Longest text in a record or message, in bytes.
inline constexpr uint32_t kMaximumArchivedText = 1U << 20;
// Largest number of elements in a list.
inline constexpr uint32_t kMaximumArchivedElements = 200'000;

template <class Archive>
void archiveText(Archive& archive, std::string& text, uint32_t maximum_size = kMaximumArchivedText) {
  auto size = static_cast<uint32_t>(text.size());
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
void archiveText(Archive& archive, StrongString<Tag>& name) {
  std::string text = name.value();
  archiveText(archive, text);
  if constexpr (Archive::is_loading::value) {
    name = StrongString<Tag>(std::move(text));
  }
}

// Grows the list as elements are read, so that a false length allocates nothing.
template <class Archive, class Element>
void archiveList(Archive& archive, std::vector<Element>& elements, uint32_t most = kMaximumArchivedElements) {
  auto count = static_cast<uint32_t>(elements.size());
  archive(count);
  if constexpr (Archive::is_loading::value) {
    if (count > most) {
      throw cereal::Exception("list is too long");
    }
    elements.clear();
    for (uint32_t index = 0; index < count; ++index) {
      archive(elements.emplace_back());
    }
  } else {
    for (Element& element : elements) {
      archive(element);
    }
  }
}

// Encodes a value by its `serialize` function.
template <class T>
std::string encodeArchive(const T& value) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(value);
  return out.str();
}

// Decodes untrusted bytes. Errors: kInvalidArgument if they aren't exactly one T.
template <class T>
Result<T> decodeArchive(std::string_view bytes) {
  try {
    BoundedInputArchive archive(bytes);
    T value{};
    archive(value);
    if (!archive.isAtEnd()) {
      return fail(ErrorCode::kInvalidArgument, "bytes follow the encoded value");
    }
    return value;
  } catch (const std::exception& exception) {
    return fail(ErrorCode::kInvalidArgument, exception.what());
  }
}

}  // namespace quincewick
