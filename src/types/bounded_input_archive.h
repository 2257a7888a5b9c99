// A cereal archive that reads what cereal::PortableBinaryOutputArchive wrote, from bytes that aren't trusted.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <memory>
#include <string_view>
#include <type_traits>

namespace quincewick {

// Checks each length against the bytes that are left before cereal allocates for it: cereal resizes a text or
// list to the length that it reads, whatever follows. Every element takes one byte at least, so a false
// length allocates at most as many elements as the message has bytes. Throws cereal::Exception where bytes
// are missing, a length is false or a truth value is neither 0 nor 1.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
 public:
  // `bytes` outlive the archive.
  explicit BoundedInputArchive(std::string_view bytes) : InputArchive(this), left_(bytes) {
    uint8_t is_little_endian = 0;
    readBytes(&is_little_endian, 1);
    swaps_bytes_ = is_little_endian != cereal::portable_binary_detail::is_little_endian();
  }

  bool isAtEnd() const { return left_.empty(); }

  void checkLength(uint64_t length) const {
    if (length > left_.size()) {
      throw cereal::Exception("a length exceeds the bytes that follow");
    }
  }

  // Reads `size` bytes of values that take kValueSize bytes each.
  template <size_t kValueSize>
  void readValues(void* data, size_t size) {
    readBytes(data, size);
    if (swaps_bytes_) {
      auto* const bytes = static_cast<uint8_t*>(data);
      for (size_t offset = 0; offset < size; offset += kValueSize) {
        cereal::portable_binary_detail::swap_bytes<kValueSize>(bytes + offset);
      }
    }
  }

 private:
  void readBytes(void* data, size_t size) {
    checkLength(size);
    std::memcpy(data, left_.data(), size);
    left_.remove_prefix(size);
  }

  std::string_view left_;
  bool swaps_bytes_ = false;
};

// Functions that cereal finds by their names.
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>> load(BoundedInputArchive& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    uint8_t byte = 0;  // a bool that holds another byte than 0 or 1 has no defined value
    archive.template readValues<1>(&byte, 1);
    if (byte > 1) {
      throw cereal::Exception("a truth value is neither 0 nor 1");
    }
    value = byte == 1;
  } else {
    archive.readValues<sizeof(T)>(std::addressof(value), sizeof(value));
  }
}

template <class T>
void load(BoundedInputArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <class T>
void load(BoundedInputArchive& archive, cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.checkLength(tag.size);
}

template <class T>
void load(BoundedInputArchive& archive, cereal::BinaryData<T>& data) {
  archive.readValues<sizeof(std::remove_pointer_t<T>)>(data.data, static_cast<size_t>(data.size));
}

}  // namespace quincewick

// cereal asks by which archive the bytes were written.
template <>
struct cereal::traits::detail::get_output_from_input<quincewick::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};
