#include "engine/http_action_channel.h"

#include <absl/strings/str_cat.h>
#include <httplib.h>

#include <utility>

#include "engine/transport_error.h"

namespace quincewick::engine {

Result<ActionReply> HttpActionChannel::run(const Address& server, const ActionRequest& request) {
  httplib::Client client(server.host, server.port);
  client.set_tcp_nodelay(true);
  client.set_connection_timeout(absl::ToChronoMicroseconds(options_.connect_timeout));
  client.set_read_timeout(absl::ToChronoMicroseconds(options_.answer_timeout));
  client.set_write_timeout(absl::ToChronoMicroseconds(options_.answer_timeout));
  const httplib::Headers headers = {{"Idempotency-Key", request.key.value()}};
  httplib::Result result =
      client.Post("/actions/" + request.kind.value(), headers, request.body, "application/json");
  if (!result) {
    return outcome::failure(transportError("action server", result.error()));
  }
  return ActionReply{result->status, std::move(result->body)};
}

}  // namespace quincewick::engine
