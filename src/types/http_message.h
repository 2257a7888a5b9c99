// The head of an HTTP/1.1 message as received: names, values and their order are kept.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quincewick {

struct HeaderField {
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

using HeaderFields = std::vector<HeaderField>;

// Start line and fields of a request (method, target) or a response (status, reason).
struct HttpHead {
  std::string method;
  std::string target;
  int status = 0;
  std::string reason;
  bool is_http_1_0 = false;
  HeaderFields fields;
};

// A complete HTTP request.
struct HttpCall {
  std::string method;
  std::string target;
  HeaderFields fields;
  std::string body;
};

// Returns the first value of the field, or null. The name is case-insensitive.
const std::string* findField(const HeaderFields& fields, std::string_view name);

// Whether the field's comma-separated list contains the word, case-insensitively.
bool fieldHasWord(const HeaderFields& fields, std::string_view name, std::string_view word);

// Whether a field is hop-by-hop, so that it is never forwarded. `connection_words` is the
// value of the message's Connection field.
bool isHopByHop(std::string_view name, std::string_view connection_words);

// Why a message with these fields can't be understood: "field_name" (a name that is no token) or
// "transfer_coding" (any but `chunked`: only the coding's end is the body's). Empty if it can be.
std::string_view fieldsFault(const HeaderFields& fields);

// Why the head of a response is no answer: the above, "unknown_status" (not from 100 to 599) or "upgrade"
// (101, which no request asks for). Empty for an answer, and for an interim response, which precedes one.
std::string_view responseFault(int status, const HeaderFields& fields);
bool isInterim(int status);
// Why a response can't be the final one: the above, or "interim". Empty for an answer.
template <class NamesAndValues>
std::string_view finalResponseFault(int status, const NamesAndValues& pairs) {
  HeaderFields fields;
  for (const auto& [name, value] : pairs) {
    fields.push_back({name, value});
  }
  const std::string_view fault = responseFault(status, fields);
  return fault.empty() && isInterim(status) ? "interim" : fault;
}

// Parses a decimal number without sign. Returns nothing if the text is anything else.
std::optional<uint64_t> parseUnsigned(std::string_view text);

// The reason phrase of a status that this project sends.
std::string_view reasonOf(int status);

// "METHOD TARGET HTTP/1.1" or "HTTP/1.1 STATUS REASON", the fields, and the empty line.
std::string printRequestHead(std::string_view method, std::string_view target, const HeaderFields& fields);
std::string printResponseHead(int status, std::string_view reason, const HeaderFields& fields);

// One chunk of a chunked body. `bytes` isn't empty.
std::string printChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace quincewick
