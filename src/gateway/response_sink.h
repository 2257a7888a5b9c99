// Receiver of one request's response: the caller's connection.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "types/http_message.h"

namespace quincewick::gateway {

// How the caller is told where the body ends.
struct BodyFraming {
  std::optional<uint64_t> length;  // in bytes, if known; otherwise the body is sent in chunks
  // The body ends with the connection, as the server's does: a length or a last chunk would state that it is
  // whole, which isn't known.
  bool ends_at_close = false;
};

class ResponseSink {
 public:
  ResponseSink() = default;
  ResponseSink(const ResponseSink&) = delete;
  ResponseSink& operator=(const ResponseSink&) = delete;
  virtual ~ResponseSink() = default;

  virtual void sendHead(int status, const std::string& reason, HeaderFields fields,
                        const BodyFraming& framing) = 0;
  virtual void sendBody(std::string_view bytes) = 0;
  // The response is complete.
  virtual void finish() = 0;
  // The response can't be completed: closes the connection so that the caller can detect it.
  virtual void truncate() = 0;
  // Bytes not yet written to the caller's socket.
  virtual size_t unsentBytes() const = 0;
};

}  // namespace quincewick::gateway
