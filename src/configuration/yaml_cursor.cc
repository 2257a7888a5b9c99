#include "configuration/yaml_cursor.h"

#include <absl/strings/str_cat.h>
#include <yaml-cpp/eventhandler.h>

#include <array>
#include <sstream>
#include <string_view>

namespace quincewick::configuration {
namespace {

// The text shown of a faulty value; longer ones are cut.
constexpr size_t kShownCharacters = 40;

Diagnostic makeDiagnostic(const YAML::Mark& mark, std::string path, std::string message) {
  if (mark.is_null()) {
    return {0, 0, std::move(path), std::move(message)};
  }
  return {static_cast<uint32_t>(mark.line + 1), static_cast<uint32_t>(mark.column + 1), std::move(path),
          std::move(message)};
}

// Length of the UTF-8 sequence that starts with this byte; 0: none does.
size_t sequenceLength(unsigned char first) {
  if (first < 0x80) {
    return 1;
  }
  return first < 0xC0 ? 0 : first < 0xE0 ? 2 : first < 0xF0 ? 3 : first < 0xF8 ? 4 : 0;
}

// Whether printing the code point of a sequence of this length reads back the same: the YAML emitter replaces
// overlong sequences, surrogates and noncharacters.
bool isPrintable(uint32_t code_point, size_t length) {
  constexpr std::array<uint32_t, 5> kLeast = {0, 0, 0x80, 0x800, 0x10000};
  const bool is_surrogate = code_point >= 0xD800 && code_point <= 0xDFFF;
  const bool is_noncharacter =
      (code_point & 0xFFFE) == 0xFFFE || (code_point >= 0xFDD0 && code_point <= 0xFDEF);
  return code_point >= kLeast.at(length) && code_point <= 0x10FFFF && !is_surrogate && !is_noncharacter;
}

// Whether the text is UTF-8 that reads back as the same text after it was printed.
bool isPrintableUtf8(std::string_view text) {
  for (size_t place = 0; place < text.size();) {
    const auto first = static_cast<unsigned char>(text[place]);
    const size_t length = sequenceLength(first);
    if (length == 0 || place + length > text.size()) {
      return false;
    }
    uint32_t code_point = length == 1 ? first : first & (0x7FU >> length);
    for (const char next : text.substr(place + 1, length - 1)) {
      const auto byte = static_cast<unsigned char>(next);
      if ((byte & 0xC0) != 0x80) {
        return false;
      }
      code_point = code_point << 6 | (byte & 0x3F);
    }
    if (!isPrintable(code_point, length)) {
      return false;
    }
    place += length;
  }
  return true;
}

// Sees the text as a stream of events, before any tree is built of it.
class StructureCheck : public YAML::EventHandler {
 public:
  StructureCheck(const YamlLimits& limits, std::vector<Diagnostic>& diagnostics)
      : limits_(limits), diagnostics_(diagnostics) {}

  void OnDocumentStart(const YAML::Mark& /*mark*/) override {}
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override { see(mark, "", anchor); }
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    fault(mark, "aliases are not allowed");
  }
  void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                const std::string& value) override {
    see(mark, tag, anchor);
    if (!isPrintableUtf8(value)) {
      fault(mark, "not UTF-8 text");
    }
  }
  void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    see(mark, tag, anchor);
    enter(mark);
  }
  void OnSequenceEnd() override { --depth_; }
  void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    see(mark, tag, anchor);
    enter(mark);
  }
  void OnMapEnd() override { --depth_; }

 private:
  void see(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t anchor) {
    if (anchor != 0) {
      fault(mark, "anchors are not allowed");
    }
    // "!" marks a quoted scalar and "?" a plain value: both are the parser's own.
    if (!tag.empty() && tag != "!" && tag != "?") {
      fault(mark, "tags are not allowed");
    }
    if (++nodes_ == limits_.nodes + 1) {
      fault(mark, absl::StrCat("more than ", limits_.nodes, " values"));
    }
  }

  void enter(const YAML::Mark& mark) {
    if (++depth_ == limits_.depth + 1) {
      fault(mark, absl::StrCat("nested deeper than ", limits_.depth, " levels"));
    }
  }

  void fault(const YAML::Mark& mark, std::string message) {
    if (diagnostics_.size() < kMaximumDiagnostics) {
      diagnostics_.push_back(makeDiagnostic(mark, "", std::move(message)));
    }
  }

  const YamlLimits& limits_;
  std::vector<Diagnostic>& diagnostics_;
  size_t depth_ = 0;
  size_t nodes_ = 0;
};

// Checks the structure of the first document, and that there is no second.
void checkStructure(const std::string& text, const YamlLimits& limits, std::vector<Diagnostic>& diagnostics) {
  std::istringstream input(text);
  YAML::Parser parser(input);
  StructureCheck check(limits, diagnostics);
  if (!parser.HandleNextDocument(check) || !diagnostics.empty()) {
    return;
  }
  if (parser.HandleNextDocument(check)) {
    diagnostics.push_back({0, 0, "", "expected a single document"});
  }
}

std::string describe(const YAML::Node& node) {
  switch (node.Type()) {
    case YAML::NodeType::Map:
      return "a map";
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Scalar:
      if (node.Scalar().size() > kShownCharacters) {
        return absl::StrCat("\"", node.Scalar().substr(0, kShownCharacters), "...\"");
      }
      return absl::StrCat("\"", node.Scalar(), "\"");
    default:
      return "nothing";
  }
}

}  // namespace

Parsed<YAML::Node> loadYaml(const std::string& text, const YamlLimits& limits) {
  Parsed<YAML::Node> result;
  if (text.size() > limits.bytes) {
    result.diagnostics.push_back({0, 0, "", absl::StrCat("larger than ", limits.bytes, " bytes")});
    return result;
  }
  if (text.find('\0') != std::string::npos) {
    result.diagnostics.push_back({0, 0, "", "contains a zero byte"});
    return result;
  }
  try {
    checkStructure(text, limits, result.diagnostics);
    if (result.diagnostics.empty()) {
      YAML::Node node = YAML::Load(text);
      result.value = node.IsNull() ? YAML::Node(YAML::NodeType::Map) : node;
    }
  } catch (const YAML::Exception& exception) {
    result.diagnostics.push_back(
        makeDiagnostic(exception.mark, "", absl::StrCat("not valid YAML: ", exception.msg)));
  }
  return result;
}

YamlCursor YamlCursor::child(const YAML::Node& node, std::string_view key) const {
  std::string path = path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  return {node, std::move(path), *diagnostics_};
}

YamlCursor YamlCursor::element(const YAML::Node& node, size_t index) const {
  return {node, absl::StrCat(path_, "[", index, "]"), *diagnostics_};
}

bool YamlCursor::fault(std::string message) const {
  return faultAt(node_, std::move(message));
}

bool YamlCursor::faultAt(const YAML::Node& node, std::string message) const {
  if (diagnostics_->size() < kMaximumDiagnostics) {
    diagnostics_->push_back(makeDiagnostic(node.Mark(), path_, std::move(message)));
  }
  return false;
}

bool YamlCursor::expected(std::string_view what) const {
  return fault(
      absl::StrCat("expected ", absl::string_view(what.data(), what.size()), ", found ", describe(node_)));
}

}  // namespace quincewick::configuration
