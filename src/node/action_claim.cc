#include "node/action_claim.h"

#include <absl/strings/str_cat.h>

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <sstream>

namespace quincewick::node {
namespace {

constexpr int kNoReply = 0;

}  // namespace

std::string actionClaimKey(const TenantId& tenant, const RequestKind& kind, const IdempotencyKey& key) {
  return absl::StrCat("action/", tenant.value().size(), ":", tenant.value(), "/", kind.value().size(), ":",
                      kind.value(), "/", key.value());
}

std::string encodeActionClaim(const ActionClaim& claim) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  const int status = claim.reply.has_value() ? claim.reply->status : kNoReply;
  const std::string body = claim.reply.has_value() ? claim.reply->body : std::string();
  archive(claim.body_hash, claim.claimant.value(), status, body);
  return out.str();
}

Result<ActionClaim> decodeActionClaim(const std::string& text) {
  ActionClaim claim;
  std::string claimant;
  engine::ActionReply reply;
  try {
    std::istringstream in(text);
    cereal::PortableBinaryInputArchive archive(in);
    archive(claim.body_hash, claimant, reply.status, reply.body);
  } catch (const std::exception&) {
    return fail(ErrorCode::kInternal, "an action's record can't be read", Execution::kUnknown);
  }
  claim.claimant = RequestId(std::move(claimant));
  if (reply.status != kNoReply) {
    claim.reply = std::move(reply);
  }
  return claim;
}

}  // namespace quincewick::node
