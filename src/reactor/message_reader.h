// Reads HTTP/1.1 messages incrementally from the bytes of one connection. Beast's parser rejects ambiguous
// framing; heads are kept as received, bodies without their framing. Interim responses are skipped, up to a
// number.
#pragma once

#include <absl/strings/cord.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "types/http_message.h"

namespace quincewick::reactor {

enum class MessageKind : uint8_t { kRequest, kResponse };

// Limits on the size of one message.
struct MessageLimits {
  uint32_t header_bytes = 16384;  // also of a chunk's size with its extension, and of trailers
  uint64_t body_bytes = 4194304;

  friend bool operator==(const MessageLimits&, const MessageLimits&) = default;
};

enum class ReadStatus : uint8_t {
  kNeedsMore,
  kDone,            // the message is complete; `next` begins the one after it
  kMalformed,       // not valid HTTP/1.1, or a response that is no answer to a request
  kHeaderTooLarge,  // over MessageLimits::header_bytes; trailers and chunk extensions, too
  kBodyTooLarge,    // over MessageLimits::body_bytes
};

// How it is known that a body ended where it did.
enum class EndOfBody : uint8_t {
  kProven,    // by its length or last chunk, or because the message has no body
  kInferred,  // from the end of the connection: the sender may have stopped earlier than it meant to
};

class MessageReader {
 public:
  MessageReader(MessageKind kind, const MessageLimits& limits);
  ~MessageReader();
  MessageReader(const MessageReader&) = delete;
  MessageReader& operator=(const MessageReader&) = delete;

  // Appends bytes of the connection and parses on. Holds at most MessageLimits::header_bytes beside the body
  // and the bytes of this call. After kDone further bytes are only buffered.
  ReadStatus take(std::string_view bytes);

  // Signals that the peer closed the connection in order. Gives kDone only for a response that is delimited
  // by the close of the connection.
  ReadStatus takeEnd();

  // Begins the next message with the buffered bytes. `without_body`: the response to a HEAD request.
  void next(bool without_body = false);

  ReadStatus status() const { return status_; }
  // Why bytes were refused: that of `fieldsFault` or `responseFault`, "interim_responses",
  // "framing_too_long", "body_too_long", or "malformed" for any other reason.
  std::string_view refusalCause() const;
  bool headComplete() const;
  const HttpHead& head() const;
  // The body's bytes since the last call; `takeBodyPieces` doesn't copy them.
  std::string takeBody();
  absl::Cord takeBodyPieces();
  // Whether any byte of the current message was received.
  bool started() const;
  // kInferred for a body that is delimited by the close of the connection: neither Content-Length nor
  // chunked.
  EndOfBody endOfBody() const;
  // The value of Content-Length; nullopt for chunked bodies and those delimited by the close.
  std::optional<uint64_t> contentLength() const;
  // Whether the message lets the connection be used again.
  bool keepsAlive() const;
  // Buffered bytes that were not parsed yet: those after the current message or of an incomplete element.
  size_t unreadBytes() const { return unread_.size(); }
  // All bytes that are held: those of the head, of the body that wasn't taken, and unread ones.
  size_t heldBytes() const;
  // Those of the current message's head, with its fields.
  size_t headBytes() const;
  const MessageLimits& limits() const { return limits_; }
  // Limits of the messages from the following `next` on.
  void setLimits(const MessageLimits& limits) { next_limits_ = limits; }

 private:
  class Parser;
  void beginMessage();
  // Parses on from the beginning of `bytes` and removes what was parsed.
  ReadStatus readOn(std::string_view& bytes);
  bool isInterimComplete() const;

  MessageKind kind_;
  MessageLimits limits_;
  MessageLimits next_limits_;
  std::string unread_;
  std::unique_ptr<Parser> parser_;
  ReadStatus status_ = ReadStatus::kNeedsMore;
  size_t head_bytes_ = 0;  // parsed so far, of the current message
  bool without_body_ = false;
  uint32_t interim_responses_ = 0;  // before the current message
};

}  // namespace quincewick::reactor
