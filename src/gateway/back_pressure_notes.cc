#include "gateway/back_pressure_notes.h"

#include <absl/strings/str_cat.h>

#include "gateway/permit_exchange.h"

namespace quincewick::gateway {
namespace {

// Another server may use the address by now; its signals don't apply to the expected one.
bool isFromServer(const forwarding::Server& server, const forwarding::ResponseFacts& facts) {
  const bool has_other_id = facts.server_id && *facts.server_id != server.entry.id;
  return !(facts.is_other_server && has_other_id);
}

void recordRateLimit(Core& core, const forwarding::Server& server, std::optional<double> rate,
                     absl::Time now) {
  if (!server.back_pressure->noteRateLimit(rate)) {
    return;
  }
  core.metrics.countBackPressure(rate ? "rate_limit" : "rate_limit_ended");
  auto line = core.log.event("server_rate_limit", now);
  line.with("server", server.entry.id).with("service", server.entry.service.value());
  if (rate) {
    line.with("a_second", absl::StrCat(*rate));
  } else {
    line.with("ended", "true");
  }
}

void recordMaxRejections(Core& core, const forwarding::Server& server, std::optional<uint32_t> max_rejections,
                         absl::Time now) {
  if (!server.back_pressure->noteMaxRejections(max_rejections)) {
    return;
  }
  core.metrics.countBackPressure(max_rejections ? "brittle" : "brittle_ended");
  auto line = core.log.event("server_brittle", now);
  line.with("server", server.entry.id).with("service", server.entry.service.value());
  if (max_rejections) {
    line.with("rejections_a_second", static_cast<int64_t>(*max_rejections));
  } else {
    line.with("ended", "true");
  }
}

void recordLeaving(Core& core, const forwarding::Server& server, absl::Time now) {
  if (server.back_pressure->noteLeaving()) {
    core.metrics.countBackPressure("leaving");
    core.log.event("server_leaving", now).with("server", server.entry.id);
  }
}

void recordBackOff(Core& core, const forwarding::Server& server, absl::Duration back_off, absl::Time now) {
  if (server.back_pressure->noteBackOff(back_off, now)) {
    core.metrics.countBackPressure("rest");
    core.log.event("server_rest", now)
        .with("server", server.entry.id)
        .with("service", server.entry.service.value())
        .with("asked_ms", back_off);
  }
}

}  // namespace

void noteBackPressure(Core& core, const forwarding::Server& server, const forwarding::ResponseFacts& facts,
                      bool is_awaited, absl::Time now) {
  for (const std::string& field : facts.unreadable_fields) {
    core.metrics.countBackPressure("unreadable");
    core.log.event("answer_field_refused", now).with("server", server.entry.id).with("field", field);
  }
  if (!isFromServer(server, facts)) {
    return;
  }
  const bool ends_limit = is_awaited && facts.unreadable_fields.empty();
  if (facts.rate_limit || ends_limit) {
    recordRateLimit(core, server, facts.rate_limit, now);
  }
  if (facts.max_rejections || ends_limit) {
    recordMaxRejections(core, server, facts.max_rejections, now);
    core.permits->noteStatement(server, facts.max_rejections);
  }
  if (facts.is_leaving) {
    recordLeaving(core, server, now);
  }
  if (facts.back_off) {
    recordBackOff(core, server, *facts.back_off, now);
  } else if (is_awaited) {
    server.back_pressure->noteResponse(now);
  }
}

}  // namespace quincewick::gateway
