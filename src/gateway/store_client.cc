#include "gateway/store_client.h"

#include <utility>

namespace quincewick::gateway {
namespace {

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kPreconditionFailed = 412;

StoreStatus statusOf(const Result<reactor::HttpResponse>& reply) {
  if (reply.has_error()) {
    return reply.error().execution == Execution::kNotRun ? StoreStatus::kNotDone : StoreStatus::kUnknown;
  }
  switch (reply.value().head.status) {
    case kOk:
      return StoreStatus::kDone;
    case kPreconditionFailed:
      return StoreStatus::kConflict;
    case kGone:
      return StoreStatus::kHistoryGone;
    default:
      return StoreStatus::kNotDone;
  }
}

}  // namespace

void StoreClient::call(HttpCall call, absl::Duration time_limit, Done done) {
  const Sent sent{reactor::steadyNow(), core_.store_history.restores()};
  const bool is_wait = time_limit > kCallLimit;
  caller_.call(std::move(call), time_limit,
               [this, sent, is_wait, done = std::move(done)](const Result<reactor::HttpResponse>& reply) {
                 if (!is_wait) {
                   core_.metrics.observeStoreCall(reactor::steadyNow() - sent.at);
                 }
                 if (reply.has_error()) {
                   core_.noteLostCall("store", reply.error());
                 }
                 StoreStatus status = statusOf(reply);
                 forwarding::StoreRows rows;
                 if (status == StoreStatus::kDone || status == StoreStatus::kConflict) {
                   auto read = core_.dialect->readRowsResponse(reply.value().body);
                   const bool is_current =
                       read.has_value() && noteStoreHistory(reply.value().head, read.value().version, sent);
                   if (is_current) {
                     rows = std::move(read.value());
                     core_.store_clock_offset = rows.clock - (reactor::steadyNow() - absl::UnixEpoch());
                     if (!is_wait) {
                       core_.store_clock_offset_at_most = rows.clock - (sent.at - absl::UnixEpoch());
                     }
                   } else {
                     status = StoreStatus::kUnknown;
                   }
                 }
                 done(status, rows);
               });
}

bool StoreClient::noteStoreHistory(const HttpHead& head, uint64_t version, const Sent& sent) {
  const absl::Time now = reactor::steadyNow();
  const auto era = core_.dialect->readStoreEra(head);
  if (era.has_error()) {
    core_.log.event("store_era_refused", now).with("why", era.error().message);
  }
  const forwarding::StoreHistory before = core_.store_history;
  const std::optional<uint64_t> reported_era = era.has_value() ? era.value() : std::nullopt;
  const forwarding::StoreContinuity finding = core_.store_history.note({version, reported_era, sent.at, now});
  const bool shows_restore = finding == forwarding::StoreContinuity::kReverted;
  if (shows_restore) {
    core_.metrics.countStoreWentBack();
    core_.log.event("store_went_back", now)
        .with("version", static_cast<int64_t>(version))
        .with("was", static_cast<int64_t>(before.version()))
        .with("era", static_cast<int64_t>(reported_era.value_or(0)));
  }
  const bool may_be_earlier = sent.restores != before.restores();
  if (finding == forwarding::StoreContinuity::kOutdated || (may_be_earlier && !shows_restore)) {
    core_.log.event("store_response_outdated", now)
        .with("version", static_cast<int64_t>(version))
        .with("sent_ms_ago", now - sent.at);
    return false;
  }
  return true;
}

void StoreClient::read(std::string_view table, std::string_view from, uint32_t limit,
                       absl::Duration time_limit, Done done) {
  call(core_.dialect->readRows(table, from, limit), time_limit, std::move(done));
}

void StoreClient::follow(std::string_view table, uint64_t after, absl::Duration wait, Done done) {
  call(core_.dialect->followRows(table, after, wait), wait + kCallLimit, std::move(done));
}

void StoreClient::write(const forwarding::StoreRow& row, uint64_t expected_version, Done done) {
  writeAll({{row, expected_version}}, std::move(done));
}

void StoreClient::writeAll(const std::vector<forwarding::RowWrite>& writes, Done done) {
  call(core_.dialect->writeRows(writes), kCallLimit, std::move(done));
}

}  // namespace quincewick::gateway
