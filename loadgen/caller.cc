#include "loadgen/caller.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "loadgen/answer_check.h"
#include "loadgen/event_stream.h"

namespace quincewick::loadgen {
namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
constexpr size_t kLargestErrorBody = 65'536;

void prepareInference(const KindSpecification& kind, const Arrival& arrival, PreparedRequest& prepared) {
  std::string text = renderPrompt(arrival.prompt);
  Json body = {{"model", kind.model.value()},
               {"max_tokens", arrival.output_tokens},
               {"stream", true},
               {"stream_options", {{"include_usage", true}}}};
  if (!kind.adapter.empty()) {
    body["adapter"] = kind.adapter.value();
  }
  if (kind.endpoint == Endpoint::kChat) {
    prepared.request.path = "/v1/chat/completions";
    // The router renders messages as role marks and text; the engine sees this.
    prepared.prompt = absl::StrCat("<|user|>", text, "<|assistant|>");
    body["messages"] = Json::array({{{"role", "user"}, {"content", std::move(text)}}});
  } else {
    prepared.request.path = "/v1/completions";
    prepared.prompt = text;
    body["prompt"] = std::move(text);
  }
  prepared.request.headers.emplace("X-Urgency", std::string(urgencyName(kind.urgency)));
  prepared.request.body = body.dump();
}

void prepareAction(const KindSpecification& kind, const Arrival& arrival, PreparedRequest& prepared) {
  prepared.request.path = absl::StrCat("/v1/actions/", kind.name.value());
  // The body depends on the key alone: a repeat must carry the same one.
  const std::string subject =
      kind.type == KindType::kAction ? arrival.idempotency_key : absl::StrCat("lookup-", arrival.number);
  prepared.request.body = Json{{"subject", subject}}.dump();
  if (kind.type == KindType::kAction) {
    prepared.request.headers.emplace("Idempotency-Key", arrival.idempotency_key);
  }
}

void readRefusal(int status, const std::string& body, RequestOutcome& outcome) {
  const std::optional<TypedError> error = parseTypedError(body);
  if (!error || error->type.empty()) {
    outcome.outcome = OutcomeClass::kFailed;
    outcome.error_type = absl::StrCat("untyped_status_", status);
    return;
  }
  outcome.outcome = OutcomeClass::kRefused;
  outcome.error_type = error->type;
  outcome.execution = error->execution;
}

// Only an error in connecting is sure to have sent nothing.
bool sentNothing(httplib::Error error) {
  return error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
}

void readConnectionError(httplib::Error error, RequestOutcome& outcome) {
  outcome.outcome = OutcomeClass::kFailed;
  outcome.error_type = sentNothing(error) ? "unreachable" : "connection_lost";
  outcome.execution = sentNothing(error) ? Execution::kNotRun : Execution::kUnknown;
}

}  // namespace

PreparedRequest prepareRequest(const Workload& workload, const DriverOptions& options, Arrival arrival) {
  const KindSpecification& kind = workload.kinds[arrival.kind];
  const TenantSpecification& tenant = workload.tenants[arrival.tenant];
  PreparedRequest prepared;
  prepared.request.method = "POST";
  prepared.request.headers = {
      {"Authorization", absl::StrCat("Bearer ", options.key.empty() ? tenant.key : options.key)},
      {"Content-Type", "application/json"},
      {"X-Request-Kind", kind.name.value()}};
  if (kind.type == KindType::kInference) {
    prepareInference(kind, arrival, prepared);
  } else {
    prepareAction(kind, arrival, prepared);
  }
  arrival.prompt.segments.clear();
  prepared.arrival = std::move(arrival);
  return prepared;
}

Caller::Caller(const Workload& workload, const DriverOptions& options, absl::Time start)
    : workload_(workload), options_(options), start_(start) {
  constexpr time_t connect_seconds = 2;
  for (const Address& target : options.targets) {
    auto client = std::make_unique<httplib::Client>(target.host, target.port);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_connection_timeout(connect_seconds);
    client->set_read_timeout(static_cast<time_t>(absl::ToInt64Seconds(options.patience)));
    clients_.push_back(std::move(client));
  }
}

RequestOutcome Caller::send(PreparedRequest prepared) {
  RequestOutcome outcome;
  outcome.sent = elapsed();
  if (workload_.kinds[prepared.arrival.kind].type == KindType::kInference) {
    sendInference(prepared, outcome);
  } else {
    sendAction(prepared, outcome);
  }
  outcome.ended = elapsed();
  outcome.arrival = std::move(prepared.arrival);
  return outcome;
}

absl::Duration Caller::elapsed() const {
  return absl::Now() - start_;
}

httplib::Error Caller::sendToAnyTarget(size_t first_target, httplib::Request& request,
                                       httplib::Response& response) {
  httplib::Error error = httplib::Error::Unknown;
  for (size_t tried = 0; tried < clients_.size(); ++tried) {
    httplib::Client& client = *clients_[(first_target + tried) % clients_.size()];
    response = httplib::Response();
    error = httplib::Error::Success;
    client.send(request, response, error);
    if (!sentNothing(error)) {
      return error;
    }
  }
  return error;
}

void Caller::sendInference(PreparedRequest& prepared, RequestOutcome& outcome) {
  const KindSpecification& kind = workload_.kinds[prepared.arrival.kind];
  const absl::Duration give_up = prepared.arrival.time + kind.give_up_after;
  AnswerCheck check(kind.model.value(), prepared.prompt, prepared.arrival.output_tokens);
  EventStreamParser parser;
  std::string error_body;
  int status = 0;
  bool gave_up = false;
  prepared.request.response_handler = [&](const httplib::Response& response) {
    status = response.status;
    outcome.request_id = response.get_header_value("X-Request-Id");
    return true;
  };
  prepared.request.content_receiver = [&](const char* data, size_t size, uint64_t /*offset*/,
                                          uint64_t /*total*/) {
    const absl::Duration now = elapsed();
    if (status != kOk) {
      error_body.append(data, std::min(size, kLargestErrorBody - error_body.size()));
      return true;
    }
    for (const ServerSentEvent& event : parser.feed(std::string_view(data, size))) {
      check.accept(event, now);
    }
    gave_up = now > give_up;
    return !gave_up;
  };
  httplib::Response response;
  const httplib::Error error = sendToAnyTarget(prepared.arrival.number, prepared.request, response);
  if (status == 0) {
    readConnectionError(error, outcome);
    return;
  }
  if (status != kOk) {
    readRefusal(status, error_body, outcome);
    return;
  }
  check.finish(error == httplib::Error::Success, outcome);
  if (gave_up && outcome.outcome == OutcomeClass::kFailed) {
    outcome.outcome = OutcomeClass::kAbandoned;
    outcome.error_type.clear();
  }
}

void Caller::sendAction(PreparedRequest& prepared, RequestOutcome& outcome) {
  httplib::Response response;
  const httplib::Error error = sendToAnyTarget(prepared.arrival.number, prepared.request, response);
  if (error != httplib::Error::Success) {
    readConnectionError(error, outcome);
    return;
  }
  outcome.request_id = response.get_header_value("X-Request-Id");
  if (response.status != kOk) {
    readRefusal(response.status, response.body, outcome);
    return;
  }
  outcome.outcome = OutcomeClass::kComplete;
  outcome.execution = Execution::kRan;
  outcome.first_token = elapsed();
}

}  // namespace quincewick::loadgen
