#include "ledger/action_ledger.h"

namespace quincewick::ledger {
namespace {

template <class... Functions>
struct Overloaded : Functions... {
  using Functions::operator()...;
};
template <class... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

}  // namespace

ActionLedger::ActionLedger(const Member& self, const LedgerOptions& options)
    : self_(self),
      peers_(self),
      replica_(self, options),
      coordinator_(self, options, calls_),
      view_keeper_(self, options, calls_),
      sweeper_(options, calls_),
      out_(self.node) {}

std::vector<LedgerAction> ActionLedger::handle(const LedgerEvent& event, absl::Time now,
                                               absl::BitGenRef random) {
  std::visit([&](const auto& one) { on(one, now, random); }, event);
  while (out_.hasOwnMessage()) {
    receive(self_.node, out_.takeOwnMessage(), now);
  }
  return out_.takeActions();
}

void ActionLedger::on(const SubmitAction& event, absl::Time now, absl::BitGenRef /*random*/) {
  coordinator_.submit(event, currentView(), now, out_);
}

void ActionLedger::on(const DispatchFinished& event, absl::Time now, absl::BitGenRef /*random*/) {
  coordinator_.on(event, currentView(), now, out_);
}

void ActionLedger::on(const PeerMessage& event, absl::Time now, absl::BitGenRef /*random*/) {
  receive(event.from, event.message, now);
}

void ActionLedger::on(const PeersChanged& event, absl::Time now, absl::BitGenRef /*random*/) {
  peers_.update(event.peers, now);
}

void ActionLedger::on(const PlatformReply& event, absl::Time now, absl::BitGenRef /*random*/) {
  if (coordinator_.on(event, currentView(), now, out_) || sweeper_.on(event, now, out_)) {
    return;
  }
  std::optional<ViewRecord> found;
  if (view_keeper_.on(event, peers_, replica_, now, out_, found) && found) {
    adopt(*found, true, now);
  }
}

void ActionLedger::on(const Tick& /*event*/, absl::Time now, absl::BitGenRef random) {
  view_keeper_.tick(peers_, replica_, now, random, out_);
  replica_.tick(peers_, now, out_);
  coordinator_.tick(currentView(), now, out_);
  sweeper_.tick(view_keeper_.isPromiser(peers_, replica_), now, out_);
}

void ActionLedger::receive(const NodeId& from, const Message& message, absl::Time now) {
  std::visit(Overloaded{
                 [&](const ClaimRequest& request) { replica_.on(from, request, peers_, now, out_); },
                 [&](const ClaimReply& reply) { coordinator_.on(from, reply, currentView(), now, out_); },
                 [&](const CompleteRequest& request) { replica_.on(from, request, now, out_); },
                 [&](const CompleteReply& reply) { coordinator_.on(from, reply, currentView(), now, out_); },
                 [&](const ViewQuery& query) { replica_.bringUpToDate(from, query.known, out_); },
                 [&](const ViewAnnounce& announce) { adopt(announce.record, false, now); },
                 [&](const TakeoverRequest& request) { replica_.on(from, request, out_); },
                 [&](const TakeoverReply& reply) { replica_.on(from, reply, peers_, now, out_); },
                 [&](const PromiseRequest& request) { replica_.on(from, request, out_); },
                 [&](const PromiseReply& reply) { view_keeper_.on(from, reply, replica_, now, out_); },
             },
             message);
}

void ActionLedger::adopt(const ViewRecord& record, bool announce, absl::Time now) {
  if (!replica_.adopt(record, peers_, now, out_)) {
    return;
  }
  if (announce) {
    ViewKeeper::announce(record, peers_, out_);
  }
  coordinator_.viewChanged(record.view, now, out_);
}

}  // namespace quincewick::ledger
