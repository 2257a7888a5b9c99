#include "reactor/message_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>
#include <utility>
#include <variant>

namespace quincewick::reactor {
namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using BeastView = boost::beast::string_view;

constexpr uint32_t kMaxInterimResponses = 16;

std::string text(BeastView view) {
  return {view.data(), view.size()};
}

// Collects the head and body from Beast's parser, for requests or for responses.
template <bool kIsRequest>
class Collector final : public http::basic_parser<kIsRequest> {
 public:
  HttpHead head;
  absl::Cord body;
  bool head_complete = false;
  std::string_view fault;  // of the head

 private:
  void on_request_impl(http::verb /*method*/, BeastView method, BeastView target, int version,  // NOLINT
                       error_code& error) override {
    head.method = text(method);
    head.target = text(target);
    head.is_http_1_0 = version < 11;
    error = {};
  }
  void on_response_impl(int code, BeastView reason, int version, error_code& error) override {  // NOLINT
    head.status = code;
    head.reason = text(reason);
    head.is_http_1_0 = version < 11;
    error = {};
  }
  void on_field_impl(http::field /*field*/, BeastView name, BeastView value,
                     error_code& error) override {  // NOLINT
    if (!head_complete) {                           // trailers are dropped: they belong to one connection
      head.fields.push_back({text(name), text(value)});
    }
    error = {};
  }
  void on_header_impl(error_code& error) override {  // NOLINT
    fault = kIsRequest ? fieldsFault(head.fields) : responseFault(head.status, head.fields);
    head_complete = fault.empty();
    error = head_complete ? error_code() : error_code(http::error::bad_field);
  }
  void on_body_init_impl(const boost::optional<uint64_t>& /*length*/, error_code& error) override {  // NOLINT
    error = {};
  }
  size_t on_body_impl(BeastView bytes, error_code& error) override {  // NOLINT
    body.Append(absl::string_view(bytes.data(), bytes.size()));
    error = {};
    return bytes.size();
  }
  void on_chunk_header_impl(uint64_t /*size*/, BeastView /*extensions*/,
                            error_code& error) override {  // NOLINT
    error = {};
  }
  size_t on_chunk_body_impl(uint64_t /*left*/, BeastView bytes, error_code& error) override {  // NOLINT
    body.Append(absl::string_view(bytes.data(), bytes.size()));
    error = {};
    return bytes.size();
  }
  void on_finish_impl(error_code& error) override { error = {}; }  // NOLINT
};

ReadStatus statusOf(const error_code& error) {
  if (error == http::error::body_limit) {
    return ReadStatus::kBodyTooLarge;
  }
  return ReadStatus::kMalformed;
}

}  // namespace

class MessageReader::Parser {
 public:
  template <class Function>
  decltype(auto) visit(Function function) {
    return std::visit(function, collector_);
  }

  Parser(MessageKind kind, const MessageLimits& limits) {
    if (kind == MessageKind::kResponse) {
      collector_.emplace<Collector<false>>();
    }
    visit([&limits](auto& collector) {
      collector.header_limit(std::numeric_limits<uint32_t>::max());  // checked by the reader
      collector.body_limit(limits.body_bytes);
      collector.eager(false);  // one element a call, so that the head's bytes can be told from the body's
    });
  }

 private:
  std::variant<Collector<true>, Collector<false>> collector_;
};

MessageReader::MessageReader(MessageKind kind, const MessageLimits& limits)
    : kind_(kind), limits_(limits), next_limits_(limits) {
  next();
}

MessageReader::~MessageReader() = default;

void MessageReader::next(bool without_body) {
  without_body_ = without_body;
  interim_responses_ = 0;
  limits_ = next_limits_;
  beginMessage();
}

void MessageReader::beginMessage() {
  parser_ = std::make_unique<Parser>(kind_, limits_);
  parser_->visit([this](auto& collector) { collector.skip(without_body_); });
  status_ = ReadStatus::kNeedsMore;
  head_bytes_ = 0;
}

ReadStatus MessageReader::take(std::string_view bytes) {
  if (status_ != ReadStatus::kNeedsMore) {
    unread_.append(bytes);
    return status_;
  }
  std::string waiting;
  if (!unread_.empty()) {
    waiting = std::exchange(unread_, std::string());
    waiting.append(bytes);
    bytes = waiting;
  }
  status_ = readOn(bytes);
  while (isInterimComplete()) {
    if (++interim_responses_ > kMaxInterimResponses) {
      status_ = ReadStatus::kMalformed;
      break;
    }
    beginMessage();
    status_ = readOn(bytes);
  }
  unread_ = std::string(bytes);
  return status_;
}

bool MessageReader::isInterimComplete() const {
  return kind_ == MessageKind::kResponse && status_ == ReadStatus::kDone && isInterim(head().status);
}

ReadStatus MessageReader::readOn(std::string_view& bytes) {
  return parser_->visit([this, &bytes](auto& collector) {
    // A head, a chunk's size and trailers are parsed only when they are seen whole: a longer one never is,
    // however its bytes are split.
    while (!collector.is_done() && !bytes.empty()) {
      error_code error;
      const bool is_in_head = !collector.head_complete;
      const size_t window = limits_.header_bytes - (is_in_head ? head_bytes_ : 0);
      const size_t shown = std::min(bytes.size(), window);
      const size_t taken = collector.put(boost::asio::buffer(bytes.data(), shown), error);
      bytes.remove_prefix(taken);
      head_bytes_ += is_in_head ? taken : 0;
      if (error && error != http::error::need_more) {
        return statusOf(error);
      }
      if (taken == 0) {
        if (shown == window) {
          return ReadStatus::kHeaderTooLarge;
        }
        break;
      }
    }
    return collector.is_done() ? ReadStatus::kDone : ReadStatus::kNeedsMore;
  });
}

ReadStatus MessageReader::takeEnd() {
  if (status_ != ReadStatus::kNeedsMore) {
    return status_;
  }
  status_ = parser_->visit([](auto& collector) {
    if (!collector.head_complete || !collector.need_eof()) {
      return ReadStatus::kMalformed;
    }
    error_code error;
    collector.put_eof(error);
    return error ? ReadStatus::kMalformed : ReadStatus::kDone;
  });
  return status_;
}

std::string_view MessageReader::refusalCause() const {
  if (status_ == ReadStatus::kHeaderTooLarge) {
    return "framing_too_long";
  }
  if (status_ == ReadStatus::kBodyTooLarge) {
    return "body_too_long";
  }
  if (interim_responses_ > kMaxInterimResponses) {
    return "interim_responses";
  }
  const std::string_view fault = parser_->visit([](auto& collector) { return collector.fault; });
  return fault.empty() ? "malformed" : fault;
}

bool MessageReader::headComplete() const {
  return parser_->visit([](auto& collector) { return collector.head_complete; });
}

const HttpHead& MessageReader::head() const {
  return parser_->visit([](auto& collector) -> const HttpHead& { return collector.head; });
}

std::string MessageReader::takeBody() {
  return std::string(takeBodyPieces());
}

absl::Cord MessageReader::takeBodyPieces() {
  return parser_->visit([](auto& collector) { return std::exchange(collector.body, absl::Cord()); });
}

size_t MessageReader::heldBytes() const {
  const size_t body = parser_->visit([](auto& collector) { return collector.body.size(); });
  return unread_.size() + headBytes() + body;
}

size_t MessageReader::headBytes() const {
  const size_t fields = parser_->visit([](auto& collector) { return collector.head.fields.capacity(); });
  return head_bytes_ + fields * sizeof(HeaderField);
}

bool MessageReader::started() const {
  return !unread_.empty() || parser_->visit([](auto& collector) { return collector.got_some(); });
}

EndOfBody MessageReader::endOfBody() const {
  return parser_->visit([](auto& collector) {
    return collector.head_complete && collector.need_eof() ? EndOfBody::kInferred : EndOfBody::kProven;
  });
}

std::optional<uint64_t> MessageReader::contentLength() const {
  return parser_->visit([](auto& collector) -> std::optional<uint64_t> {
    const auto length = collector.content_length();
    return length ? std::optional<uint64_t>(*length) : std::nullopt;
  });
}

bool MessageReader::keepsAlive() const {
  return parser_->visit([](auto& collector) { return collector.head_complete && collector.keep_alive(); });
}

}  // namespace quincewick::reactor
