#include "streams/stream_position.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace quincewick::streams {
namespace {

constexpr char kUniqueSeparator = '~';
constexpr char kOffsetSeparator = ':';
constexpr size_t kMaximumIdBytes = 256;
constexpr size_t kUniqueDigits = 16;

}  // namespace

RequestId makeRequestId(const NodeId& node, uint64_t unique) {
  return RequestId(absl::StrCat(node.value(), "~", absl::Hex(unique, absl::kZeroPad16)));
}

Result<NodeId> servingNode(const RequestId& request) {
  const std::string_view text = request.value();
  const size_t separator = text.rfind(kUniqueSeparator);
  const bool well_formed = text.size() <= kMaximumIdBytes && separator != std::string_view::npos &&
                           separator > 0 && text.size() - separator - 1 == kUniqueDigits;
  if (!well_formed) {
    return fail(ErrorCode::kInvalidArgument, "not a request id of this site");
  }
  return NodeId(text.substr(0, separator));
}

std::string formatEventId(const StreamPosition& position) {
  return absl::StrCat(position.request.value(), ":", position.offset);
}

Result<StreamPosition> parseEventId(std::string_view text) {
  const size_t separator = text.rfind(kOffsetSeparator);
  if (separator == std::string_view::npos) {
    return fail(ErrorCode::kInvalidArgument, "the event id has no offset");
  }
  StreamPosition position{RequestId(text.substr(0, separator)), 0};
  const std::string digits(text.substr(separator + 1));
  if (!absl::SimpleAtoi(digits, &position.offset) || formatEventId(position) != text) {
    return fail(ErrorCode::kInvalidArgument, "the event id's offset is not a number");
  }
  BOOST_OUTCOME_TRY(servingNode(position.request));
  return position;
}

}  // namespace quincewick::streams
