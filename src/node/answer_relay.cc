#include "node/answer_relay.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <utility>
#include <vector>

#include "types/bounded_input_archive.h"

namespace quincewick::node {
namespace {

// The parts of a RecentAnswer that travel.
struct AnswerParts {
  std::string tenant;
  std::string request;
  std::vector<std::string> tokens;
  bool ended = false;
  EndEvent end;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(tenant, request, tokens, ended, end.token_count, end.reason, end.usage.prompt_tokens,
            end.usage.cached_tokens, end.usage.completion_tokens);
  }
};

template <class... Parts>
std::string encodeParts(const Parts&... parts) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(parts...);
  return out.str();
}

template <class... Parts>
Result<void> decodeParts(const std::string& bytes, Parts&... parts) {
  try {
    BoundedInputArchive archive(bytes);
    archive(parts...);
  } catch (const std::exception&) {
    return fail(ErrorCode::kInternal, "a peer's message can't be read", Execution::kUnknown);
  }
  return outcome::success();
}

}  // namespace

std::string encodeTakeAnswer(const TakeAnswerRequest& request) {
  return encodeParts(request.request.value(), request.tenant.value());
}

Result<TakeAnswerRequest> decodeTakeAnswer(const std::string& bytes) {
  std::string request;
  std::string tenant;
  BOOST_OUTCOME_TRYV(decodeParts(bytes, request, tenant));
  return TakeAnswerRequest{RequestId(std::move(request)), TenantId(std::move(tenant))};
}

std::string encodeRecentAnswer(const streams::RecentAnswer& answer) {
  AnswerParts parts;
  parts.tenant = answer.tenant.value();
  parts.request = answer.request;
  for (uint64_t offset = 0; offset < answer.transcript.tokenCount(); ++offset) {
    parts.tokens.emplace_back(answer.transcript.token(offset));
  }
  parts.ended = answer.end.has_value();
  parts.end = answer.end.value_or(EndEvent());
  return encodeParts(parts);
}

Result<streams::RecentAnswer> decodeRecentAnswer(const std::string& bytes) {
  AnswerParts parts;
  BOOST_OUTCOME_TRYV(decodeParts(bytes, parts));
  streams::RecentAnswer answer;
  answer.tenant = TenantId(std::move(parts.tenant));
  answer.request = std::move(parts.request);
  for (const std::string& token : parts.tokens) {
    answer.transcript.append(token);
  }
  if (parts.ended) {
    answer.end = parts.end;
  }
  return answer;
}

}  // namespace quincewick::node
