// Guards against answers that are cut although their receiver still takes them, and against connections that
// are kept for a peer that takes nothing.
#include "reactor/closing_connections.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <utility>
#include <vector>

namespace quincewick::reactor {
namespace {

const absl::Time kStart = absl::UnixEpoch() + absl::Hours(1);
constexpr absl::Duration kSweep = absl::Milliseconds(200);

// A connection was once reset 1 s after the end of its answer, with most of it unsent.
TEST_CASE("a connection stays open while its peer takes bytes, and no longer than its bounds") {
  CHECK(rc::check([] {
    CloseProgress progress(kStart);
    size_t left = *rc::gen::inRange<size_t>(0, 10'000'000);
    uint64_t discarded = 0;
    absl::Time last_taken = kStart;
    absl::Time last_received = kStart;
    absl::Time delivered = absl::InfiniteFuture();
    absl::Time now = kStart;
    while (true) {
      now += kSweep;
      if (left > 0 && *rc::gen::weightedElement<bool>({{1, true}, {8, false}})) {
        left -= std::min(left, *rc::gen::inRange<size_t>(1, 2'000'000));
        last_taken = now;
      }
      if (*rc::gen::weightedElement<bool>({{1, true}, {4, false}})) {
        discarded += *rc::gen::inRange<uint64_t>(1, 70'000);
        last_received = now;
      }
      progress.note(left, discarded, now);
      delivered = left == 0 ? std::min(delivered, now) : delivered;
      RC_ASSERT(progress.isDelivered() == (left == 0));
      if (progress.isOver(now)) {
        break;
      }
      // Neither a stall nor a linger outlasts its bound.
      const absl::Duration since_progress = now - std::max(last_taken, last_received);
      RC_ASSERT(since_progress < CloseProgress::kMaxStall + kSweep);
      RC_ASSERT(left > 0 || now - delivered < CloseProgress::kMaxDrain + kSweep);
      RC_ASSERT(left > 0 || now - std::max(delivered, last_received) < CloseProgress::kLinger + kSweep);
    }
    // A peer that took a byte lately isn't cut off.
    RC_ASSERT(left == 0 || now - last_taken >= CloseProgress::kMaxStall);
  }));
}

// Connections of callers that are gone without a word must not use up the process's descriptors.
TEST_CASE("closing connections are bounded in number") {
  boost::asio::io_context reactor;
  std::vector<std::shared_ptr<Connection>> accepted;
  Listener listener(reactor, {"127.0.0.1", 0}, [&accepted](Connection::Socket socket) {
    accepted.push_back(std::make_shared<Connection>(std::move(socket)));
  });
  ClosingConnections closing;
  std::vector<std::shared_ptr<Connection>> peers;
  for (size_t number = 0; number < ClosingConnections::kMaxConnections + 50; ++number) {
    peers.push_back(Connection::connect(reactor, {"127.0.0.1", listener.port()}, [](ConnectResult) {}));
    while (accepted.size() <= number) {
      reactor.run_one();
    }
    closing.add(accepted.back(), kStart);
    CHECK(closing.size() <= ClosingConnections::kMaxConnections);
  }
}

}  // namespace
}  // namespace quincewick::reactor
