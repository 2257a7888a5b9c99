#include "types/http_message.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <utility>

namespace quincewick {
namespace {

constexpr std::array<std::string_view, 8> kHopByHopFields = {
    "connection", "keep-alive", "proxy-connection",   "transfer-encoding",
    "te",         "trailer",    "proxy-authenticate", "upgrade"};

// Abseil's own string_view differs from the standard one in Debian's build.
absl::string_view view(std::string_view text) {
  return {text.data(), text.size()};
}

bool listHasWord(std::string_view list, std::string_view word) {
  for (absl::string_view part : absl::StrSplit(view(list), ',')) {
    if (absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(part), view(word))) {
      return true;
    }
  }
  return false;
}

constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
constexpr int kFirstStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kFirstFinalStatus = 200;
constexpr int kEndOfStatuses = 600;

bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char byte) {
    return absl::ascii_isalnum(static_cast<unsigned char>(byte)) ||
           kTokenSymbols.find(byte) != std::string_view::npos;
  });
}

std::string printFields(const HeaderFields& fields) {
  std::string out;
  for (const HeaderField& field : fields) {
    absl::StrAppend(&out, field.name, ": ", field.value, "\r\n");
  }
  out += "\r\n";
  return out;
}

}  // namespace

const std::string* findField(const HeaderFields& fields, std::string_view name) {
  for (const HeaderField& field : fields) {
    if (absl::EqualsIgnoreCase(field.name, view(name))) {
      return &field.value;
    }
  }
  return nullptr;
}

bool fieldHasWord(const HeaderFields& fields, std::string_view name, std::string_view word) {
  return std::any_of(fields.begin(), fields.end(), [&](const HeaderField& field) {
    return absl::EqualsIgnoreCase(field.name, view(name)) && listHasWord(field.value, word);
  });
}

std::string_view fieldsFault(const HeaderFields& fields) {
  bool is_chunked = false;
  for (const HeaderField& field : fields) {
    if (!isToken(field.name)) {
      return "field_name";
    }
    if (absl::EqualsIgnoreCase(field.name, "Transfer-Encoding")) {
      const bool is_known = absl::EqualsIgnoreCase(absl::StripAsciiWhitespace(field.value), "chunked");
      if (!is_known || std::exchange(is_chunked, true)) {
        return "transfer_coding";
      }
    }
  }
  return "";
}

std::string_view responseFault(int status, const HeaderFields& fields) {
  if (status < kFirstStatus || status >= kEndOfStatuses) {
    return "unknown_status";
  }
  return status == kSwitchingProtocols ? "upgrade" : fieldsFault(fields);
}

bool isInterim(int status) {
  return status >= kFirstStatus && status < kFirstFinalStatus && status != kSwitchingProtocols;
}

bool isHopByHop(std::string_view name, std::string_view connection_words) {
  const bool known =
      std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(),
                  [name](std::string_view hop) { return absl::EqualsIgnoreCase(view(hop), view(name)); });
  return known || listHasWord(connection_words, name);
}

std::optional<uint64_t> parseUnsigned(std::string_view text) {
  uint64_t value = 0;
  const bool digits_only = !text.empty() && std::all_of(text.begin(), text.end(),
                                                        [](char sign) { return absl::ascii_isdigit(sign); });
  if (!digits_only || !absl::SimpleAtoi(view(text), &value)) {
    return std::nullopt;
  }
  return value;
}

std::string_view reasonOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Unknown";
  }
}

std::string printRequestHead(std::string_view method, std::string_view target, const HeaderFields& fields) {
  return absl::StrCat(view(method), " ", view(target), " HTTP/1.1\r\n", printFields(fields));
}

std::string printResponseHead(int status, std::string_view reason, const HeaderFields& fields) {
  return absl::StrCat("HTTP/1.1 ", status, " ", view(reason), "\r\n", printFields(fields));
}

std::string printChunk(std::string_view bytes) {
  return absl::StrCat(absl::Hex(bytes.size()), "\r\n", view(bytes), "\r\n");
}

}  // namespace quincewick
