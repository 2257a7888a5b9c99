#include "gateway/back_pressure_notes.h"

#include <absl/strings/str_cat.h>

namespace quincewick::gateway {
namespace {

// The address may have another server by now: what that one says is not the expected server's word.
bool isOfServer(const forwarding::Server& server, const forwarding::AnswerFacts& facts) {
  const bool is_named_otherwise = facts.server_id && *facts.server_id != server.entry.id;
  return !(facts.is_other_server && is_named_otherwise);
}

void noteRateLimit(Core& core, const forwarding::Server& server, std::optional<double> rate, absl::Time now) {
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

}  // namespace

void noteBackPressure(Core& core, const forwarding::Server& server, const forwarding::AnswerFacts& facts,
                      bool is_awaited, absl::Time now) {
  if (!facts.unreadable_field.empty()) {
    core.metrics.countBackPressure("unreadable");
    core.log.event("answer_field_refused", now)
        .with("server", server.entry.id)
        .with("field", facts.unreadable_field);
    return;
  }
  if (!isOfServer(server, facts)) {
    return;
  }
  if (facts.rate_limit || is_awaited) {
    noteRateLimit(core, server, facts.rate_limit, now);
  }
}

}  // namespace quincewick::gateway
