#include "configuration/policy_objects.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <map>

#include "configuration/policy_check.h"
#include "configuration/policy_schema.h"

namespace quincewick::configuration {
namespace {

template <class T>
std::string printObject(const T& value) {
  YAML::Emitter out;
  out.SetMapFormat(YAML::Flow);
  out.SetSeqFormat(YAML::Flow);
  YamlCodec<T>::write(out, value);
  return out.c_str();
}

template <class T>
bool readObject(const ObjectChange& change, std::vector<Diagnostic>& diagnostics, T& value) {
  Parsed<YAML::Node> document = loadYaml(*change.text);
  for (Diagnostic& diagnostic : document.diagnostics) {
    diagnostic.path = change.key.value();
    diagnostics.push_back(std::move(diagnostic));
  }
  return document.ok() &&
         YamlCodec<T>::read(YamlCursor(*document.value, change.key.value(), diagnostics), value);
}

// How one section of the policy is taken apart and put together.
struct Section {
  std::string name;
  bool is_single = false;
  void (*print)(const std::string& section, const Policy& policy,
                std::vector<PolicyObject>& objects) = nullptr;
  bool (*set)(const ObjectChange& change, const std::string& name, Policy& policy,
              std::vector<Diagnostic>& diagnostics) = nullptr;
  void (*erase)(const std::string& name, Policy& policy) = nullptr;
};

template <auto kMember>
Section singleSection(std::string name) {
  Section section;
  section.name = std::move(name);
  section.is_single = true;
  section.print = [](const std::string& key, const Policy& policy, std::vector<PolicyObject>& objects) {
    if (policy.*kMember != Policy{}.*kMember) {
      objects.push_back({ObjectKey(key), printObject(policy.*kMember)});
    }
  };
  section.set = [](const ObjectChange& change, const std::string& /*name*/, Policy& policy,
                   std::vector<Diagnostic>& diagnostics) {
    auto value = Policy{}.*kMember;
    const bool ok = readObject(change, diagnostics, value);
    if (ok) {
      policy.*kMember = std::move(value);
    }
    return ok;
  };
  section.erase = [](const std::string& /*name*/, Policy& policy) { policy.*kMember = Policy{}.*kMember; };
  return section;
}

template <auto kMember>
Section mapSection(std::string name) {
  using Map = std::decay_t<decltype(std::declval<Policy>().*kMember)>;
  using Name = typename Map::key_type;
  using Value = typename Map::mapped_type;
  Section section;
  section.name = std::move(name);
  section.print = [](const std::string& key, const Policy& policy, std::vector<PolicyObject>& objects) {
    for (const auto& [name, value] : policy.*kMember) {
      objects.push_back({ObjectKey(absl::StrCat(key, "/", nameText(name))), printObject(value)});
    }
  };
  section.set = [](const ObjectChange& change, const std::string& name, Policy& policy,
                   std::vector<Diagnostic>& diagnostics) {
    Value value{};
    if (!readObject(change, diagnostics, value)) {
      return false;
    }
    if constexpr (std::is_same_v<Value, routing::RouteSpecification>) {
      value.name = name;
    }
    (policy.*kMember).insert_or_assign(Name(name), std::move(value));
    return true;
  };
  section.erase = [](const std::string& name, Policy& policy) { (policy.*kMember).erase(Name(name)); };
  return section;
}

// In the order of their names, so that objects come in the order of their keys.
const std::array<Section, 9>& sections() {
  static const auto* const table = new std::array<Section, 9>{
      singleSection<&Policy::admission>("admission"),
      mapSection<&Policy::groups>("groups"),
      mapSection<&Policy::models>("models"),
      mapSection<&Policy::operators>("operators"),
      mapSection<&Policy::request_kinds>("request_kinds"),
      singleSection<&Policy::retries>("retries"),
      mapSection<&Policy::routes>("routes"),
      singleSection<&Policy::site>("site"),
      mapSection<&Policy::tenants>("tenants"),
  };
  return *table;
}

struct SplitKey {
  const Section* section = nullptr;  // null: the key names nothing that a policy has
  std::string name;
};

SplitKey splitKey(const ObjectKey& key) {
  const std::string& text = key.value();
  const size_t slash = text.find('/');
  const std::string section_name = text.substr(0, slash);
  const std::string name = slash == std::string::npos ? "" : text.substr(slash + 1);
  for (const Section& section : sections()) {
    const bool fits = section.is_single ? slash == std::string::npos : isName(name);
    if (section.name == section_name && fits) {
      return {&section, name};
    }
  }
  return {};
}

}  // namespace

std::vector<PolicyObject> policyObjects(const Policy& policy) {
  std::vector<PolicyObject> objects;
  for (const Section& section : sections()) {
    section.print(section.name, policy, objects);
  }
  return objects;
}

std::vector<ObjectChange> policyDifference(const Policy& from, const Policy& to) {
  std::map<ObjectKey, std::string> before;
  for (PolicyObject& object : policyObjects(from)) {
    before.emplace(std::move(object.key), std::move(object.text));
  }
  std::map<ObjectKey, std::optional<std::string>> changes;
  for (PolicyObject& object : policyObjects(to)) {
    const auto old = before.find(object.key);
    if (old == before.end() || old->second != object.text) {
      changes[object.key] = std::move(object.text);
    }
    if (old != before.end()) {
      before.erase(old);
    }
  }
  for (const auto& [key, text] : before) {
    changes[key] = std::nullopt;
  }
  std::vector<ObjectChange> list;
  list.reserve(changes.size());
  for (auto& [key, text] : changes) {
    list.push_back({key, std::move(text)});
  }
  return list;
}

std::vector<Diagnostic> applyChanges(const std::vector<ObjectChange>& changes, Policy& policy) {
  std::vector<Diagnostic> diagnostics;
  for (const ObjectChange& change : changes) {
    const SplitKey key = splitKey(change.key);
    if (key.section == nullptr) {
      diagnostics.push_back({0, 0, change.key.value(), "a policy has no such object"});
    } else if (change.text) {
      key.section->set(change, key.name, policy, diagnostics);
    } else {
      key.section->erase(key.name, policy);
    }
  }
  return diagnostics;
}

Parsed<Policy> changedPolicy(Policy policy, const std::vector<ObjectChange>& changes) {
  Parsed<Policy> result;
  result.diagnostics = applyChanges(changes, policy);
  if (result.diagnostics.empty()) {
    for (const PolicyFault& fault : checkPolicy(policy)) {
      std::string path;
      for (const std::string& key : fault.path) {
        path += (path.empty() ? "" : ".") + key;
      }
      result.diagnostics.push_back({0, 0, std::move(path), fault.message});
    }
  }
  if (result.diagnostics.empty()) {
    result.value = std::move(policy);
  }
  return result;
}

}  // namespace quincewick::configuration
