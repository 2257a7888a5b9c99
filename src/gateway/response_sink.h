// Where one request's answer goes: the caller's connection.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "types/http_message.h"

namespace quincewick::gateway {

class ResponseSink {
 public:
  ResponseSink() = default;
  ResponseSink(const ResponseSink&) = delete;
  ResponseSink& operator=(const ResponseSink&) = delete;
  virtual ~ResponseSink() = default;

  // `length`: of the body, where it is known; otherwise the body goes in chunks.
  virtual void sendHead(int status, const std::string& reason, HeaderFields fields,
                        std::optional<uint64_t> length) = 0;
  virtual void sendBody(std::string_view bytes) = 0;
  // The answer is whole.
  virtual void finish() = 0;
  // The answer can't be finished: the caller sees that it is cut.
  virtual void truncate() = 0;
  // Bytes that the caller has not taken yet.
  virtual size_t unsentBytes() const = 0;
};

}  // namespace quincewick::gateway
