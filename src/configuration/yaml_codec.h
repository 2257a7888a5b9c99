// How single values are read from YAML and printed to it. Internal to the schemas.
//
// A codec has `static bool read(const YamlCursor&, T&)`, which notes faults at the cursor and returns whether
// there were none, and `static void write(YAML::Emitter&, const T&)`, whose output reads back as the same
// value.
#pragma once

#include <absl/container/btree_map.h>
#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <concepts>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "configuration/yaml_cursor.h"
#include "types/back_end.h"
#include "types/labels.h"
#include "types/strong_id.h"

namespace quincewick::configuration {

template <class T>
struct YamlCodec;

// The longest name of a thing in a policy.
inline constexpr size_t kMaximumNameLength = 128;

// Whether the text names a thing: letters, digits and "_-./:", starting with a letter or digit.
bool isName(std::string_view text);

// Prints text so that it reads back as it is, in double quotes unless it is a plain word.
void writeText(YAML::Emitter& out, const std::string& text);

// The name under which a list of named things prints or is looked up.
inline const std::string& nameText(const std::string& name) {
  return name;
}
template <class Tag>
const std::string& nameText(const StrongString<Tag>& name) {
  return name.value();
}

template <>
struct YamlCodec<std::string> {
  static bool read(const YamlCursor& cursor, std::string& value);
  static void write(YAML::Emitter& out, const std::string& value) { writeText(out, value); }
};

template <>
struct YamlCodec<bool> {
  static bool read(const YamlCursor& cursor, bool& value);
  static void write(YAML::Emitter& out, bool value) { out << (value ? "true" : "false"); }
};

template <>
struct YamlCodec<double> {
  static bool read(const YamlCursor& cursor, double& value);
  static void write(YAML::Emitter& out, double value);
};

// A length of time with its unit, such as 250ms, 1.5s or 2m.
template <>
struct YamlCodec<absl::Duration> {
  static bool read(const YamlCursor& cursor, absl::Duration& value);
  static void write(YAML::Emitter& out, absl::Duration value) { out << absl::FormatDuration(value); }
};

// A moment, as 2026-12-31T23:59:59Z.
template <>
struct YamlCodec<absl::Time> {
  static bool read(const YamlCursor& cursor, absl::Time& value);
  static void write(YAML::Emitter& out, absl::Time value) {
    out << absl::FormatTime(absl::RFC3339_full, value, absl::UTCTimeZone());
  }
};

// A numeric address with its port: 10.0.0.1:8080 or [fd00::1]:8080.
template <>
struct YamlCodec<Address> {
  static bool read(const YamlCursor& cursor, Address& value);
  static void write(YAML::Emitter& out, const Address& value);
};

template <>
struct YamlCodec<Labels> {
  static bool read(const YamlCursor& cursor, Labels& value);
  static void write(YAML::Emitter& out, const Labels& value);
};

// Reads a whole number without sign; false if the text is none or exceeds `maximum`.
bool readUnsigned(const YamlCursor& cursor, uint64_t maximum, uint64_t& value);
// Reads a whole number within the limits.
bool readSigned(const YamlCursor& cursor, int64_t minimum, int64_t maximum, int64_t& value);

template <std::integral Integer>
struct YamlCodec<Integer> {
  static bool read(const YamlCursor& cursor, Integer& value) {
    std::conditional_t<std::unsigned_integral<Integer>, uint64_t, int64_t> wide = 0;
    if constexpr (std::unsigned_integral<Integer>) {
      if (!readUnsigned(cursor, std::numeric_limits<Integer>::max(), wide)) {
        return false;
      }
    } else if (!readSigned(cursor, std::numeric_limits<Integer>::min(), std::numeric_limits<Integer>::max(),
                           wide)) {
      return false;
    }
    value = static_cast<Integer>(wide);
    return true;
  }
  static void write(YAML::Emitter& out, Integer value) { out << absl::StrCat(value); }
};

template <class Tag>
struct YamlCodec<StrongString<Tag>> {
  static bool read(const YamlCursor& cursor, StrongString<Tag>& value) {
    std::string text;
    if (!YamlCodec<std::string>::read(cursor, text)) {
      return false;
    }
    if (!isName(text)) {
      return cursor.expected("a name (letters, digits and _-./:)");
    }
    value = StrongString<Tag>(std::move(text));
    return true;
  }
  static void write(YAML::Emitter& out, const StrongString<Tag>& value) { writeText(out, value.value()); }
};

template <class Tag>
struct YamlCodec<StrongNumber<Tag>> {
  static bool read(const YamlCursor& cursor, StrongNumber<Tag>& value) {
    uint64_t number = 0;
    if (!YamlCodec<uint64_t>::read(cursor, number)) {
      return false;
    }
    value = StrongNumber<Tag>(number);
    return true;
  }
  static void write(YAML::Emitter& out, const StrongNumber<Tag>& value) {
    YamlCodec<uint64_t>::write(out, value.value());
  }
};

template <class T>
struct YamlCodec<std::optional<T>> {
  static bool read(const YamlCursor& cursor, std::optional<T>& value) {
    return YamlCodec<T>::read(cursor, value.emplace());
  }
  static void write(YAML::Emitter& out, const std::optional<T>& value) { YamlCodec<T>::write(out, *value); }
};

template <class T>
struct YamlCodec<std::vector<T>> {
  static bool read(const YamlCursor& cursor, std::vector<T>& value) {
    if (!cursor.node().IsSequence()) {
      return cursor.expected("a list");
    }
    bool ok = true;
    size_t index = 0;
    for (const YAML::Node& element : cursor.node()) {
      ok = YamlCodec<T>::read(cursor.element(element, index++), value.emplace_back()) && ok;
    }
    return ok;
  }
  static void write(YAML::Emitter& out, const std::vector<T>& value) {
    out << YAML::BeginSeq;
    for (const T& element : value) {
      YamlCodec<T>::write(out, element);
    }
    out << YAML::EndSeq;
  }
};

// A map from names to things, as `tenants: {NAME: {...}}`. Each name may stand once.
template <class Name, class T, class Compare>
struct YamlCodec<absl::btree_map<Name, T, Compare>> {
  static bool read(const YamlCursor& cursor, absl::btree_map<Name, T, Compare>& value) {
    if (!cursor.node().IsMap()) {
      return cursor.expected("a map of names");
    }
    bool ok = true;
    for (const auto& entry : cursor.node()) {
      Name name;
      if (!YamlCodec<Name>::read(cursor.child(entry.first, "name"), name)) {
        ok = false;
        continue;
      }
      auto [place, inserted] = value.try_emplace(name);
      if (!inserted) {
        ok = cursor.faultAt(entry.first, absl::StrCat("\"", nameText(name), "\" stands twice"));
        continue;
      }
      ok = YamlCodec<T>::read(cursor.child(entry.second, nameText(name)), place->second) && ok;
    }
    return ok;
  }
  static void write(YAML::Emitter& out, const absl::btree_map<Name, T, Compare>& value) {
    out << YAML::BeginMap;
    for (const auto& [name, element] : value) {
      out << YAML::Key;
      YamlCodec<Name>::write(out, name);
      out << YAML::Value;
      YamlCodec<T>::write(out, element);
    }
    out << YAML::EndMap;
  }
};

// One spelling of an enumeration's value.
template <class Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

// Reads one of the names; the fault lists them all.
template <class Enum, size_t kCount>
bool readEnum(const YamlCursor& cursor, const EnumName<Enum> (&names)[kCount], Enum& value) {
  std::string text;
  std::string all;
  const bool is_text = cursor.node().IsScalar();
  for (const EnumName<Enum>& entry : names) {
    if (is_text && cursor.node().Scalar() == entry.name) {
      value = entry.value;
      return true;
    }
    all += (all.empty() ? "" : ", ") + std::string(entry.name);
  }
  return cursor.expected("one of " + all);
}

template <class Enum, size_t kCount>
void writeEnum(YAML::Emitter& out, const EnumName<Enum> (&names)[kCount], Enum value) {
  for (const EnumName<Enum>& entry : names) {
    if (entry.value == value) {
      out << std::string(entry.name);
      return;
    }
  }
}

}  // namespace quincewick::configuration
