// Distinct types for identifiers that share a representation, so that one kind can't be passed for another.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace quincewick {

// An identifier held as text. `Tag` only makes the type distinct.
template <class Tag>
class StrongString {
 public:
  StrongString() = default;
  explicit StrongString(std::string value) : value_(std::move(value)) {}
  explicit StrongString(std::string_view value) : value_(value) {}
  explicit StrongString(const char* value) : value_(value) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  friend auto operator<=>(const StrongString&, const StrongString&) = default;  // NOLINT
  friend bool operator==(const StrongString&, const StrongString&) = default;

  template <class Hasher>
  friend Hasher AbslHashValue(Hasher state, const StrongString& id) {
    return Hasher::combine(std::move(state), id.value_);
  }
  friend std::ostream& operator<<(std::ostream& out, const StrongString& id) { return out << id.value_; }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  std::string value_;
};

// An identifier or counter held as a 64-bit number, ordered. `Tag` only makes the type distinct.
template <class Tag>
class StrongNumber {
 public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(uint64_t value) : value_(value) {}

  constexpr uint64_t value() const { return value_; }
  // The number after this one, for counters that only rise.
  constexpr StrongNumber next() const { return StrongNumber(value_ + 1); }

  friend constexpr auto operator<=>(const StrongNumber&, const StrongNumber&) = default;  // NOLINT
  friend constexpr bool operator==(const StrongNumber&, const StrongNumber&) = default;

  template <class Hasher>
  friend Hasher AbslHashValue(Hasher state, const StrongNumber& number) {
    return Hasher::combine(std::move(state), number.value_);
  }
  friend std::ostream& operator<<(std::ostream& out, const StrongNumber& number) {
    return out << number.value_;
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(value_);
  }

 private:
  uint64_t value_ = 0;
};

}  // namespace quincewick
