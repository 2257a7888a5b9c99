#include "gateway/rollout_messages.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "peer/envelope.h"

namespace quincewick::gateway {
namespace {

RolloutAccount account(size_t strata) {
  RolloutAccount account;
  account.service = staged_rollout::ServiceName("pool");
  account.request_row = 5;
  account.incarnation = 6;
  account.confirmed_row = 7;
  for (size_t number = 0; number < strata; ++number) {
    const staged_rollout::Stratum stratum{number, number % 2 == 0};
    for (int answer = 1; answer < 2000; answer *= 2) {
      account.counts.noteResponse(staged_rollout::Variant::kBaseline, stratum, absl::Milliseconds(answer));
    }
    account.counts.noteFailure(staged_rollout::Variant::kTarget, stratum);
  }
  return account;
}

TEST_CASE("a notice and an account decode to what was encoded") {
  staged_rollout::RolloutNotice notice;
  notice.known.record.service = staged_rollout::ServiceName("pool");
  notice.known.record.base = SoftwareVersion("v1");
  notice.known.row = 9;
  notice.stops_target = true;
  const auto decoded = decodeRolloutMessage(encodeRolloutMessage({notice, std::nullopt}));
  REQUIRE(decoded.has_value());
  REQUIRE(decoded.value().notice.has_value());
  CHECK(decoded.value().notice->known.record == notice.known.record);
  CHECK(decoded.value().notice->known.row == 9);
  CHECK(decoded.value().notice->stops_target);
  const RolloutAccount written = account(3);
  const std::string bytes = encodeRolloutMessage({std::nullopt, written});
  const auto read = decodeRolloutMessage(bytes);
  REQUIRE(read.has_value());
  REQUIRE(read.value().account.has_value());
  CHECK(read.value().account->counts.base == written.counts.base);
  CHECK(read.value().account->counts.target == written.counts.target);
  CHECK(read.value().account->confirmed_row == 7);
  for (size_t size = 0; size < bytes.size(); ++size) {
    CHECK(decodeRolloutMessage(bytes.substr(0, size)).has_error());
  }
}

TEST_CASE("a large account is split into datagrams without loss") {
  const RolloutAccount whole = account(40);
  staged_rollout::ResponseStats together;
  for (const RolloutAccount& part : splitIntoDatagrams(whole)) {
    CHECK(encodeRolloutMessage({std::nullopt, part}).size() <= peer::kMaximumDatagramPayload);
    CHECK(part.incarnation == whole.incarnation);
    together.base.insert(part.counts.base.begin(), part.counts.base.end());
    together.target.insert(part.counts.target.begin(), part.counts.target.end());
  }
  CHECK(together.base == whole.counts.base);
  CHECK(together.target == whole.counts.target);
}

TEST_CASE("arbitrary bytes as a rollout message are either decoded or refused") {
  CHECK(rc::check([](const std::string& bytes) {
    const auto read = decodeRolloutMessage(bytes);
    RC_ASSERT(read.has_error() != read.has_value());
  }));
  const std::string bytes = encodeRolloutMessage({std::nullopt, account(4)});
  CHECK(rc::check([&bytes] {
    std::string spoilt = bytes;
    spoilt[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    const auto read = decodeRolloutMessage(spoilt);
    RC_ASSERT(read.has_error() != read.has_value());
  }));
}

}  // namespace
}  // namespace quincewick::gateway
