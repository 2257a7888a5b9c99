#include "node/kept_answers.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <sstream>
#include <utility>

#include "types/bounded_input_archive.h"

namespace quincewick::node {
namespace {

// One function for both directions, so that they can't differ.
template <class Archive, class Call>
void archiveCall(Archive& archive, Call& call) {
  archive(call.id, call.tenant, call.kind, call.model, call.adapter, call.prompt, call.maximum_tokens,
          call.urgency, call.session);
}

}  // namespace

std::string encodeCall(const http::CompletionCall& call) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  http::CompletionCall copy = call;
  archiveCall(archive, copy);
  return out.str();
}

Result<http::CompletionCall> decodeCall(const std::string& bytes) {
  http::CompletionCall call;
  try {
    BoundedInputArchive archive(bytes);
    archiveCall(archive, call);
  } catch (const std::exception&) {
    return fail(ErrorCode::kInternal, "a kept request can't be read", Execution::kUnknown);
  }
  return call;
}

void KeptAnswers::keep(const http::CompletionCall& call, const streams::Transcript& transcript,
                       const std::optional<EndEvent>& end) {
  // A whole answer needs no engine any more, so its request is not kept.
  streams::RecentAnswer answer{call.tenant, end.has_value() ? std::string() : encodeCall(call), transcript,
                               end};
  absl::MutexLock lock(&mutex_);
  store_.expire(clock_());
  store_.put(call.id, std::move(answer), clock_());
}

Result<streams::RecentAnswer> KeptAnswers::take(const RequestId& request, const TenantId& tenant) {
  absl::MutexLock lock(&mutex_);
  return store_.take(request, tenant, clock_());
}

FinishedAnswerReader::FinishedAnswerReader(const streams::Transcript& transcript, const EndEvent& end,
                                           uint64_t from_offset) {
  for (uint64_t offset = from_offset; offset < transcript.tokenCount(); ++offset) {
    events_.emplace_back(TokenEvent{offset, std::string(transcript.token(offset))});
  }
  events_.emplace_back(end);
}

std::vector<StreamEvent> FinishedAnswerReader::next(absl::Duration /*patience*/) {
  return std::exchange(events_, {});
}

}  // namespace quincewick::node
