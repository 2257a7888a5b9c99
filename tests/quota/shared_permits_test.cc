// Permits of one gateway that knows nothing of a server, and what the holders tell it.
#include "quota/shared_permits.h"

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>
#include <optional>

namespace quincewick::quota {
namespace {

constexpr uint64_t kServer = 7;
constexpr uint32_t kMaxRejections = 5;  // few enough for a single holder

// A gateway that has just started, on a site of eight.
struct Newcomer {
  SharedPermits permits{NodeId("newcomer"), 1, false,
                        [](uint64_t, absl::Time) { return RejectionTolerance(); }};
  absl::Time now = absl::FromUnixSeconds(1000);

  Newcomer() {
    std::vector<routing::KeeperMember> members = {{NodeId("newcomer")}};
    for (int index = 0; index < 7; ++index) {
      members.push_back({NodeId(absl::StrCat("g", index))});
    }
    permits.setMembers(members);
    permits.onHeartbeat(false, now);
  }

  // Requests a permit. The first holder is silent; the others deny, telling `told` (0: they know nothing).
  // Nothing where the newcomer is itself the first holder.
  std::optional<PermitDecision> requestWithSilentFirstHolder(uint64_t server, uint32_t told) {
    PermitActions actions;
    permits.request(server, 0, 1, now, actions);
    if (actions.messages.empty() || actions.messages.front().message.kind != PermitMessageKind::kRequest) {
      return std::nullopt;
    }
    actions = PermitActions();
    now += SharedPermits::kResponseTimeout;
    permits.onTick(now, actions);
    while (actions.decisions.empty()) {
      REQUIRE(actions.messages.size() == 1);
      const PermitActions::Outgoing asked = actions.messages.front();
      PermitMessage reply = asked.message;
      reply.kind = told > 0 ? PermitMessageKind::kNotHolder : PermitMessageKind::kDeny;
      reply.max_rejections = told;
      actions = PermitActions();
      permits.onMessage(asked.to, reply, now, actions);
    }
    return actions.decisions.front();
  }

  // Of the first server whose first holder is another gateway.
  PermitDecision decisionWithSilentFirstHolder(uint32_t told) {
    uint64_t server = kServer;
    std::optional<PermitDecision> decision = requestWithSilentFirstHolder(server, told);
    while (!decision) {
      decision = requestWithSilentFirstHolder(++server, told);
    }
    return *decision;
  }
};

// Guards against one rejection too many at a brittle server: a gateway that had just started sent without a
// permit after it had been told how many rejections the server stands, as their holder didn't answer.
TEST_CASE("a gateway that was told of a brittle server doesn't take its permits for unavailable") {
  const PermitDecision decision = Newcomer().decisionWithSilentFirstHolder(kMaxRejections);
  CHECK_FALSE(decision.is_granted);
  CHECK_FALSE(decision.is_unavailable);
  CHECK(decision.is_brittle);
}

TEST_CASE("permits are unavailable where the first holder is silent and nobody knows the server") {
  const PermitDecision decision = Newcomer().decisionWithSilentFirstHolder(0);
  CHECK_FALSE(decision.is_granted);
  CHECK(decision.is_unavailable);
  CHECK_FALSE(decision.is_brittle);
}

}  // namespace
}  // namespace quincewick::quota
