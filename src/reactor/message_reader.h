// Reads HTTP/1.1 messages from the bytes of one connection, piece by piece. Over Beast's parser, which
// refuses what could be read in two ways; heads are kept as they came, bodies without their framing.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "types/http_message.h"

namespace quincewick::reactor {

enum class MessageKind : uint8_t { kRequest, kResponse };

// What one message may take, in bytes.
struct MessageLimits {
  uint32_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
};

enum class ReadStatus : uint8_t {
  kNeedsMore,
  kDone,            // the message is whole; `next` begins the one after it
  kMalformed,       // no message in the protocol
  kHeaderTooLarge,  // over MessageLimits::header_bytes
  kBodyTooLarge,    // over MessageLimits::body_bytes
};

class MessageReader {
 public:
  MessageReader(MessageKind kind, const MessageLimits& limits);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // Takes bytes of the connection and reads on. After kDone further bytes are only kept.
  ReadStatus take(std::string_view bytes);

  // The connection ended in good order. Whole only for an answer that lasts to the connection's end.
  ReadStatus takeEnd();

  // Begins the next message with the bytes that are left. `without_body`: the answer to a HEAD request.
  void next(bool without_body = false);

  ReadStatus status() const { return status_; }
  bool headComplete() const;
  const HttpHead& head() const;
  // The body's bytes since the last call.
  std::string takeBody();
  // Whether any byte of the current message has come.
  bool started() const;
  // Whether the body's length is told neither by a length nor by chunks.
  bool bodyEndsAtClose() const;
  // The length that the head tells; nothing for chunked bodies and those that last to the end.
  std::optional<uint64_t> contentLength() const;
  // Whether the message lets the connection be used again.
  bool keepsAlive() const;
  // Bytes that came after the current message, or that its reading still waits for.
  size_t unreadBytes() const { return unread_.size(); }

 private:
  class Parser;
  ReadStatus readOn();

  MessageKind kind_;
  MessageLimits limits_;
  std::string unread_;
  std::unique_ptr<Parser> parser_;
  ReadStatus status_ = ReadStatus::kNeedsMore;
};

}  // namespace quincewick::reactor
