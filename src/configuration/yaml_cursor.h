// A place in a YAML text, with its path, to which faults can be pinned. Internal to the schemas.
#pragma once

#include <yaml-cpp/yaml.h>

#include <string>
#include <string_view>
#include <vector>

#include "configuration/diagnostics.h"

namespace quincewick::configuration {

// Limits on a text before it is looked at in detail.
struct YamlLimits {
  size_t bytes = size_t{4} << 20;
  size_t depth = 16;       // nested maps and lists
  size_t nodes = 400'000;  // values in all
};

// Reads one YAML document within the limits. Anchors, aliases, tags and second documents are faults: they let
// a short text stand for a huge one, and nothing here needs them. An empty text is an empty map.
Parsed<YAML::Node> loadYaml(const std::string& text, const YamlLimits& limits = {});

// A node of a document, where it stands, and the list that takes its faults. The list must outlive it.
class YamlCursor {
 public:
  YamlCursor(const YAML::Node& node, std::string path, std::vector<Diagnostic>& diagnostics)
      : node_(node), path_(std::move(path)), diagnostics_(&diagnostics) {}

  const YAML::Node& node() const { return node_; }
  const std::string& path() const { return path_; }

  // The value of a key of this map.
  YamlCursor child(const YAML::Node& node, std::string_view key) const;
  // An element of this list.
  YamlCursor element(const YAML::Node& node, size_t index) const;

  // Notes a fault at this place. Returns false, so that readers can `return cursor.fault(...)`.
  bool fault(std::string message) const;
  // Notes a fault at the place of `node`, which belongs to this path.
  bool faultAt(const YAML::Node& node, std::string message) const;
  // Notes "expected WHAT, found ...".
  bool expected(std::string_view what) const;

 private:
  YAML::Node node_;
  std::string path_;
  std::vector<Diagnostic>* diagnostics_;
};

}  // namespace quincewick::configuration
