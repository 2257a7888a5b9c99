// Tables of fields from which structures are read and printed. Internal to the policy and the settings.
//
// A structure T has one function, found by its argument: `const YamlSchema<T>& schemaOf(const T*)`. Unknown
// keys, keys that stand twice and missing required ones are faults; all faults of a text are listed.
#pragma once

#include <concepts>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "configuration/yaml_codec.h"

namespace quincewick::configuration {

enum class Presence { kRequired, kOptional };

// Checks a value that could be read: returns what was expected instead, or nothing where it is fine.
template <class Value>
using ValueCheck = std::function<std::optional<std::string>(const Value&)>;

// A check that a value lies within limits, both included.
template <class Value>
ValueCheck<Value> within(Value minimum, Value maximum) {
  return [minimum, maximum](const Value& value) -> std::optional<std::string> {
    if (value < minimum || maximum < value) {
      YAML::Emitter out;
      out << YAML::Flow << YAML::BeginSeq;
      YamlCodec<Value>::write(out, minimum);
      YamlCodec<Value>::write(out, maximum);
      out << YAML::EndSeq;
      return "expected a value within " + std::string(out.c_str());
    }
    return std::nullopt;
  };
}

template <class T>
class YamlSchema {
 public:
  // Adds a field. A field that holds the value of a fresh T is left out when printing, unless required.
  template <class Value>
  YamlSchema& add(const std::string& name, Value T::*member, Presence presence,
                  ValueCheck<Value> check = nullptr) {
    Field field;
    field.name = name;
    field.presence = presence;
    field.read = [member, check = std::move(check)](const YamlCursor& cursor, T& object) {
      if (!YamlCodec<Value>::read(cursor, object.*member)) {
        return false;
      }
      const std::optional<std::string> wrong = check ? check(object.*member) : std::nullopt;
      return wrong ? cursor.fault(*wrong) : true;
    };
    field.write = [member](YAML::Emitter& out, const T& object) {
      YamlCodec<Value>::write(out, object.*member);
    };
    field.is_default = [member](const T& object) { return object.*member == T{}.*member; };
    fields_.push_back(std::move(field));
    return *this;
  }

  bool read(const YamlCursor& cursor, T& object) const {
    if (!cursor.node().IsMap()) {
      return cursor.expected("a map with " + names());
    }
    bool ok = true;
    std::vector<bool> seen(fields_.size(), false);
    for (const auto& entry : cursor.node()) {
      ok = readEntry(cursor, entry.first, entry.second, seen, object) && ok;
    }
    for (size_t index = 0; index < fields_.size(); ++index) {
      if (fields_[index].presence == Presence::kRequired && !seen[index]) {
        ok = cursor.fault("\"" + fields_[index].name + "\" is missing");
      }
    }
    return ok;
  }

  void write(YAML::Emitter& out, const T& object) const {
    out << YAML::BeginMap;
    for (const Field& field : fields_) {
      if (field.presence == Presence::kRequired || !field.is_default(object)) {
        out << YAML::Key << field.name << YAML::Value;
        field.write(out, object);
      }
    }
    out << YAML::EndMap;
  }

 private:
  struct Field {
    std::string name;
    Presence presence = Presence::kOptional;
    std::function<bool(const YamlCursor&, T&)> read;
    std::function<void(YAML::Emitter&, const T&)> write;
    std::function<bool(const T&)> is_default;
  };

  bool readEntry(const YamlCursor& cursor, const YAML::Node& key, const YAML::Node& value,
                 std::vector<bool>& seen, T& object) const {
    for (size_t index = 0; index < fields_.size(); ++index) {
      if (!key.IsScalar() || key.Scalar() != fields_[index].name) {
        continue;
      }
      if (seen[index]) {
        return cursor.faultAt(key, "\"" + fields_[index].name + "\" stands twice");
      }
      seen[index] = true;
      return fields_[index].read(cursor.child(value, fields_[index].name), object);
    }
    const std::string found = key.IsScalar() ? "\"" + key.Scalar() + "\"" : "key";
    return cursor.faultAt(key, "unknown " + found + ", expected one of " + names());
  }

  std::string names() const {
    std::string out;
    for (const Field& field : fields_) {
      out += (out.empty() ? "" : ", ") + field.name;
    }
    return out;
  }

  std::vector<Field> fields_;
};

template <class T>
concept HasYamlSchema = requires(const T* object) {
  { schemaOf(object) } -> std::same_as<const YamlSchema<T>&>;
};

template <HasYamlSchema T>
struct YamlCodec<T> {
  static bool read(const YamlCursor& cursor, T& value) {
    return schemaOf(static_cast<const T*>(nullptr)).read(cursor, value);
  }
  static void write(YAML::Emitter& out, const T& value) {
    schemaOf(static_cast<const T*>(nullptr)).write(out, value);
  }
};

// Reads a whole text as a T, with all its faults.
template <class T>
Parsed<T> parseYaml(const std::string& text) {
  Parsed<T> result;
  Parsed<YAML::Node> document = loadYaml(text);
  result.diagnostics = std::move(document.diagnostics);
  if (!document.ok()) {
    return result;
  }
  T value{};
  if (YamlCodec<T>::read(YamlCursor(*document.value, "", result.diagnostics), value)) {
    result.value = std::move(value);
  }
  return result;
}

// Prints a value as one YAML document with a line break at its end.
template <class T>
std::string printYaml(const T& value) {
  YAML::Emitter out;
  YamlCodec<T>::write(out, value);
  return std::string(out.c_str()) + "\n";
}

}  // namespace quincewick::configuration
