#include "engine/http_action_channel.h"

#include <httplib.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "engine/transport_error.h"

namespace quincewick::engine {

namespace {

httplib::Client makeClient(const Address& server, const HttpActionOptions& options) {
  httplib::Client client(server.host, server.port);
  client.set_tcp_nodelay(true);
  client.set_default_headers(identityHeaders(options.identity));
  client.set_connection_timeout(absl::ToChronoMicroseconds(options.connect_timeout));
  client.set_read_timeout(absl::ToChronoMicroseconds(options.answer_timeout));
  client.set_write_timeout(absl::ToChronoMicroseconds(options.answer_timeout));
  return client;
}

constexpr int kFirstServerErrorStatus = 500;

// A server that fails may have run the action. Only its own word that it has not counts.
Error serverError(int status, const std::string& body) {
  constexpr bool allow_exceptions = false;
  const nlohmann::json json = nlohmann::json::parse(body, nullptr, allow_exceptions);
  const nlohmann::json::json_pointer ran("/error/ran");
  const bool not_run =
      json.is_object() && json.contains(ran) && json[ran] == executionName(Execution::kNotRun);
  return Error{ErrorCode::kUnavailable, "action server: status " + std::to_string(status),
               not_run ? Execution::kNotRun : Execution::kUnknown};
}

Result<ActionReply> replyOf(httplib::Result result) {
  if (!result) {
    return outcome::failure(transportError("action server", result.error()));
  }
  if (std::optional<Error> error = responseError("action server", *result)) {
    return outcome::failure(*std::move(error));
  }
  if (result->status >= kFirstServerErrorStatus) {
    return outcome::failure(serverError(result->status, result->body));
  }
  return ActionReply{result->status, std::move(result->body)};
}

// A lookup's parameters: the fields of a JSON object, text as it is and other values as JSON.
Result<httplib::Params> queryOf(const std::string& body) {
  constexpr bool allow_exceptions = false;
  const nlohmann::json json = nlohmann::json::parse(body.empty() ? "{}" : body, nullptr, allow_exceptions);
  if (json.is_discarded() || !json.is_object()) {
    return fail(ErrorCode::kInvalidArgument, "a lookup's body must be a JSON object");
  }
  httplib::Params query;
  for (const auto& [name, value] : json.items()) {
    query.emplace(name, value.is_string() ? value.get<std::string>() : value.dump());
  }
  return query;
}

}  // namespace

Result<ActionReply> HttpActionChannel::run(const Address& server, const ActionRequest& request) {
  httplib::Client client = makeClient(server, options_);
  const httplib::Headers headers = {{"Idempotency-Key", request.key.value()},
                                    {"X-Tenant", request.tenant.value()}};
  return replyOf(client.Post("/actions/" + request.kind.value(), headers, request.body, "application/json"));
}

Result<ActionReply> HttpActionChannel::lookUp(const Address& server, const ActionRequest& request) {
  BOOST_OUTCOME_TRY(query, queryOf(request.body));
  httplib::Client client = makeClient(server, options_);
  const httplib::Headers headers = {{"X-Tenant", request.tenant.value()}};
  return replyOf(client.Get("/lookups/" + request.kind.value(), query, headers));
}

}  // namespace quincewick::engine
