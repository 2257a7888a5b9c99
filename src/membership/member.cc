#include "membership/member.h"

namespace quincewick::membership {

std::string_view memberStateName(MemberState state) {
  switch (state) {
    case MemberState::kListed:
      return "listed";
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kFailed:
      return "failed";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

bool supersedes(const MemberRecord& candidate, const MemberRecord& known) {
  if (candidate.state == MemberState::kListed) {
    return false;
  }
  if (known.state == MemberState::kListed) {
    return true;
  }
  if (candidate.incarnation != known.incarnation) {
    return candidate.incarnation > known.incarnation;
  }
  return candidate.state > known.state;
}

}  // namespace quincewick::membership
