#include "configuration/yaml_codec.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <cmath>

namespace quincewick::configuration {
namespace {

constexpr std::string_view kNamePunctuation = "_-./:";

// Words that YAML readers take for something else than text.
constexpr std::array<std::string_view, 8> kReservedWords = {"null", "true", "false", "yes",
                                                            "no",   "on",   "off",   "y"};

bool isNumericHost(const std::string& host) {
  std::array<unsigned char, sizeof(in6_addr)> buffer{};
  return inet_pton(AF_INET, host.c_str(), buffer.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), buffer.data()) == 1;
}

bool isPlainWord(const std::string& text) {
  if (!isName(text) || !absl::ascii_isalpha(static_cast<unsigned char>(text[0])) || text.back() == ':') {
    return false;
  }
  const std::string lower = absl::AsciiStrToLower(text);
  for (const std::string_view word : kReservedWords) {
    if (lower == word) {
      return false;
    }
  }
  return true;
}

// Splits "HOST:PORT" or "[HOST]:PORT"; false if the text has no such form.
bool splitAddress(const std::string& text, Address& address) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string::npos) {
    return false;
  }
  uint32_t port = 0;
  const std::string port_text = text.substr(colon + 1);
  if (!absl::SimpleAtoi(port_text, &port) || port > std::numeric_limits<uint16_t>::max() ||
      !isNumericHost(host)) {
    return false;
  }
  address = {std::move(host), static_cast<uint16_t>(port)};
  return true;
}

}  // namespace

bool isName(std::string_view text) {
  if (text.empty() || text.size() > kMaximumNameLength ||
      !absl::ascii_isalnum(static_cast<unsigned char>(text[0]))) {
    return false;
  }
  for (const char character : text) {
    if (!absl::ascii_isalnum(static_cast<unsigned char>(character)) &&
        kNamePunctuation.find(character) == std::string_view::npos) {
      return false;
    }
  }
  return true;
}

void writeText(YAML::Emitter& out, const std::string& text) {
  if (isPlainWord(text)) {
    out << text;
    return;
  }
  out << YAML::DoubleQuoted << text;
}

bool YamlCodec<std::string>::read(const YamlCursor& cursor, std::string& value) {
  if (!cursor.node().IsScalar()) {
    return cursor.expected("text");
  }
  value = cursor.node().Scalar();
  return true;
}

bool YamlCodec<bool>::read(const YamlCursor& cursor, bool& value) {
  const bool is_scalar = cursor.node().IsScalar();
  if (is_scalar && (cursor.node().Scalar() == "true" || cursor.node().Scalar() == "false")) {
    value = cursor.node().Scalar() == "true";
    return true;
  }
  return cursor.expected("true or false");
}

bool YamlCodec<double>::read(const YamlCursor& cursor, double& value) {
  double number = 0;
  if (!cursor.node().IsScalar() || !absl::SimpleAtod(cursor.node().Scalar(), &number) ||
      !std::isfinite(number)) {
    return cursor.expected("a number");
  }
  value = number;
  return true;
}

void YamlCodec<double>::write(YAML::Emitter& out, double value) {
  // The shortest text that reads back as the same number.
  std::array<char, 64> buffer{};
  const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
  out << std::string(buffer.data(), end.ptr);
}

bool YamlCodec<absl::Duration>::read(const YamlCursor& cursor, absl::Duration& value) {
  absl::Duration duration;
  if (!cursor.node().IsScalar() || !absl::ParseDuration(cursor.node().Scalar(), &duration) ||
      duration < absl::ZeroDuration() || duration == absl::InfiniteDuration()) {
    return cursor.expected("a length of time, such as 250ms, 1.5s or 2m");
  }
  value = duration;
  return true;
}

bool YamlCodec<absl::Time>::read(const YamlCursor& cursor, absl::Time& value) {
  absl::Time time;
  std::string error;
  if (!cursor.node().IsScalar() ||
      !absl::ParseTime(absl::RFC3339_full, cursor.node().Scalar(), &time, &error) ||
      time == absl::InfiniteFuture() || time == absl::InfinitePast()) {
    return cursor.expected("a moment, such as 2027-12-31T23:59:59Z");
  }
  value = time;
  return true;
}

bool YamlCodec<Address>::read(const YamlCursor& cursor, Address& value) {
  if (!cursor.node().IsScalar() || !splitAddress(cursor.node().Scalar(), value)) {
    return cursor.expected("a numeric address and port, such as 10.0.0.1:8080 or [fd00::1]:8080");
  }
  return true;
}

void YamlCodec<Address>::write(YAML::Emitter& out, const Address& value) {
  const bool is_version_6 = value.host.find(':') != std::string::npos;
  const std::string host = is_version_6 ? "[" + value.host + "]" : value.host;
  out << YAML::DoubleQuoted << absl::StrCat(host, ":", value.port);
}

bool YamlCodec<Labels>::read(const YamlCursor& cursor, Labels& value) {
  absl::btree_map<std::string, std::string> entries;
  if (!YamlCodec<absl::btree_map<std::string, std::string>>::read(cursor, entries)) {
    return false;
  }
  bool ok = true;
  for (auto& [key, text] : entries) {
    if (!isName(key) || (!text.empty() && !isName(text))) {
      ok = cursor.fault(absl::StrCat("label \"", key, "\": expected names (letters, digits and _-./:)"));
      continue;
    }
    value.set(key, std::move(text));
  }
  return ok;
}

void YamlCodec<Labels>::write(YAML::Emitter& out, const Labels& value) {
  using Entries = std::decay_t<decltype(value.entries())>;
  YamlCodec<Entries>::write(out, value.entries());
}

bool readUnsigned(const YamlCursor& cursor, uint64_t maximum, uint64_t& value) {
  uint64_t number = 0;
  if (!cursor.node().IsScalar() || !absl::SimpleAtoi(cursor.node().Scalar(), &number) || number > maximum) {
    return cursor.expected(absl::StrCat("a whole number from 0 to ", maximum));
  }
  value = number;
  return true;
}

bool readSigned(const YamlCursor& cursor, int64_t minimum, int64_t maximum, int64_t& value) {
  int64_t number = 0;
  if (!cursor.node().IsScalar() || !absl::SimpleAtoi(cursor.node().Scalar(), &number) || number < minimum ||
      number > maximum) {
    return cursor.expected(absl::StrCat("a whole number from ", minimum, " to ", maximum));
  }
  value = number;
  return true;
}

}  // namespace quincewick::configuration
