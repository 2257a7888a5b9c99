#include "http/caller_api.h"

#include <absl/time/clock.h>
#include <glog/logging.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "http/bearer_key.h"
#include "http/completion_request.h"
#include "http/completion_response.h"
#include "http/error_body.h"
#include "http/guarded_server.h"
#include "streams/stream_position.h"

namespace quincewick::http {
namespace {

constexpr absl::Duration kReadTimeout = absl::Seconds(1);
constexpr size_t kMaxHeaderValueBytes = 256;
constexpr absl::Duration kRetryAfterGivingWay = absl::Seconds(1);
constexpr const char* kJsonType = "application/json";
constexpr const char* kEventStreamType = "text/event-stream";

// The identity of an authenticated request.
struct CallContext {
  RequestId id;
  TenantId tenant;
  absl::Time arrival;
};

Result<std::string> boundedHeader(const httplib::Request& request, const char* name) {
  std::string value = request.get_header_value(name);
  if (value.size() > kMaxHeaderValueBytes) {
    return fail(ErrorCode::kInvalidArgument, std::string("header ") + name + " is too long");
  }
  return value;
}

Result<std::optional<Urgency>> requestedUrgency(const httplib::Request& request) {
  const std::string name = request.get_header_value("X-Urgency");
  if (name.empty()) {
    return std::optional<Urgency>();
  }
  const std::optional<Urgency> urgency = urgencyFromName(name);
  if (!urgency.has_value()) {
    return fail(ErrorCode::kInvalidArgument, "X-Urgency must be urgent, standard or deferrable");
  }
  return urgency;
}

Result<CompletionCall> makeCompletionCall(const CallContext& context, const httplib::Request& request,
                                          CompletionRequest&& completion) {
  CompletionCall call;
  call.id = context.id;
  call.tenant = context.tenant;
  call.arrival = context.arrival;
  call.model = std::move(completion.model);
  call.adapter = std::move(completion.adapter);
  call.prompt = std::move(completion.prompt);
  call.maximum_tokens = completion.maximum_tokens;
  BOOST_OUTCOME_TRY(kind, boundedHeader(request, "X-Request-Kind"));
  call.kind = RequestKind(std::move(kind));
  BOOST_OUTCOME_TRY(session, boundedHeader(request, "X-Session"));
  call.session = std::move(session);
  BOOST_OUTCOME_TRY(urgency, requestedUrgency(request));
  call.urgency = urgency;
  return call;
}

bool isFinal(const StreamEvent& event) {
  return !std::holds_alternative<TokenEvent>(event);
}

// Writes the events to the caller as server-sent events. Returns false if the caller has disconnected.
bool writeEvents(const ResponseMetadata& metadata, const std::vector<StreamEvent>& events,
                 httplib::DataSink& sink) {
  std::string text;
  for (const StreamEvent& event : events) {
    text += serverSentEvent(metadata, event);
  }
  if (!sink.write(text.data(), text.size())) {
    return false;
  }
  if (isFinal(events.back())) {
    sink.done();
  }
  return true;
}

void streamResponse(const ResponseMetadata& metadata, const std::shared_ptr<ResponseReader>& reader,
                    httplib::Response& response) {
  response.set_header("Cache-Control", "no-cache");
  auto provide = [metadata, reader](size_t /*offset*/, httplib::DataSink& sink) {
    const std::vector<StreamEvent> events = reader->next(kReadTimeout);
    if (events.empty()) {
      return sink.is_writable();
    }
    return writeEvents(metadata, events, sink);
  };
  auto release = [reader](bool success) {
    if (!success) {
      reader->abandon();
    }
  };
  response.set_chunked_content_provider(kEventStreamType, provide, release);
}

void sendCompleteResponse(const ResponseMetadata& metadata, ResponseReader& reader,
                          httplib::Response& response) {
  std::string text;
  while (true) {
    for (const StreamEvent& event : reader.next(kReadTimeout)) {
      if (const auto* token = std::get_if<TokenEvent>(&event)) {
        text += token->text;
      } else if (const auto* end = std::get_if<EndEvent>(&event)) {
        response.set_content(completeResponseBody(metadata, text, *end), kJsonType);
        return;
      } else {
        sendError(std::get<CutEvent>(event).error, metadata.request, response);
        return;
      }
    }
  }
}

// Request handlers. One instance serves all requests concurrently; it is stateless.
class CallerApi {
 public:
  explicit CallerApi(CallerBackend& backend) : backend_(backend) {}

  void complete(CompletionShape shape, const httplib::Request& request, httplib::Response& response) {
    withCaller(request, response, [&](const CallContext& context) -> Result<void> {
      BOOST_OUTCOME_TRY(completion, parseCompletionRequest(shape, request.body));
      const bool stream = completion.stream;
      const ResponseMetadata metadata{shape, context.id, completion.model,
                                      absl::ToUnixSeconds(context.arrival)};
      BOOST_OUTCOME_TRY(call, makeCompletionCall(context, request, std::move(completion)));
      BOOST_OUTCOME_TRY(reader, backend_.complete(call));
      if (stream) {
        streamResponse(metadata, reader, response);
      } else {
        sendCompleteResponse(metadata, *reader, response);
      }
      return outcome::success();
    });
  }

  // Refuses a request with a body by its head alone if its key is unknown.
  httplib::Server::HandlerResponse refuseEarly(const httplib::Request& request, httplib::Response& response) {
    const bool has_body = request.has_header("Content-Length") || request.has_header("Transfer-Encoding");
    if (!has_body || backend_.authenticate(bearerKey(request)).has_value() ||
        !GuardedServer::closeAfterResponse()) {
      return httplib::Server::HandlerResponse::Unhandled;
    }
    response.set_header("Connection", "close");
    withCaller(request, response, [](const CallContext& /*context*/) { return outcome::success(); });
    return httplib::Server::HandlerResponse::Handled;
  }

  // GET /v1/streams/ID with Last-Event-ID: resumes a response whose connection was lost.
  void reconnect(const httplib::Request& request, httplib::Response& response) {
    withCaller(request, response, [&](const CallContext& context) -> Result<void> {
      const RequestId original(request.matches[1].str());
      BOOST_OUTCOME_TRY(last_offset, lastEventId(request, original));
      BOOST_OUTCOME_TRY(reader, backend_.reconnect(original, context.tenant, last_offset));
      const ResponseMetadata metadata{CompletionShape::kChat, original, ModelName(),
                                      absl::ToUnixSeconds(context.arrival)};
      streamResponse(metadata, reader, response);
      return outcome::success();
    });
  }

  void runAction(const httplib::Request& request, httplib::Response& response) {
    withCaller(request, response, [&](const CallContext& context) -> Result<void> {
      ActionCall call;
      call.id = context.id;
      call.tenant = context.tenant;
      call.arrival = context.arrival;
      call.kind = RequestKind(request.matches[1].str());
      BOOST_OUTCOME_TRY(key, boundedHeader(request, "Idempotency-Key"));
      call.key = IdempotencyKey(std::move(key));
      call.body = request.body;
      BOOST_OUTCOME_TRY(answer, backend_.runAction(call));
      response.status = answer.status;
      response.set_header("X-Repeated", answer.is_repeat ? "true" : "false");
      response.set_content(answer.body, kJsonType);
      return outcome::success();
    });
  }

  void listModels(const httplib::Request& request, httplib::Response& response) {
    withCaller(request, response, [&](const CallContext& context) -> Result<void> {
      nlohmann::json data = nlohmann::json::array();
      for (const ModelName& model : backend_.models(context.tenant)) {
        data.push_back({{"id", model.value()}, {"object", "model"}, {"owned_by", "quincewick"}});
      }
      response.set_content(nlohmann::json{{"object", "list"}, {"data", data}}.dump(), kJsonType);
      return outcome::success();
    });
  }

 private:
  // Authenticates the caller, runs `handle`, and sends an error response if either fails.
  template <class Handler>
  void withCaller(const httplib::Request& request, httplib::Response& response, Handler handle) {
    CallContext context;
    context.arrival = absl::Now();
    context.id = backend_.newRequestId();
    response.set_header("X-Request-Id", context.id.value());
    const Result<void> result = [&]() -> Result<void> {
      BOOST_OUTCOME_TRY(tenant, backend_.authenticate(bearerKey(request)));
      context.tenant = std::move(tenant);
      return handle(context);
    }();
    if (result.has_error()) {
      const Error& error = result.error();
      LOG(INFO) << "event=refused trace=" << context.id << " tenant=" << context.tenant
                << " type=" << errorCodeName(error.code) << " ran=" << executionName(error.execution);
      sendError(error, context.id, response);
    }
  }

  // Returns the offset of the last token that the caller received; std::nullopt if it received none.
  static Result<std::optional<uint64_t>> lastEventId(const httplib::Request& request,
                                                     const RequestId& original) {
    const std::string text = request.get_header_value("Last-Event-ID");
    if (text.empty()) {
      return std::optional<uint64_t>();
    }
    BOOST_OUTCOME_TRY(position, streams::parseEventId(text));
    if (position.request != original) {
      return fail(ErrorCode::kInvalidArgument, "Last-Event-ID is of another stream");
    }
    return std::optional<uint64_t>(position.offset);
  }

  CallerBackend& backend_;
};

// Gives error responses of the HTTP library (unknown path, oversized body) the API's JSON error body.
void sendDefaultError(const httplib::Request& request, httplib::Response& response) {
  if (!response.body.empty()) {
    return;
  }
  if (GuardedServer::hasGivenWay()) {
    const Error error{ErrorCode::kUnavailable, "other requests need the room or the thread",
                      Execution::kNotRun, kRetryAfterGivingWay};
    sendError(error, RequestId(), response);
    response.set_header("Connection", "close");
    return;
  }
  const int status = response.status;
  const ErrorCode code = status == 404 ? ErrorCode::kNotFound : ErrorCode::kInvalidArgument;
  const std::string message = status == 413 ? "the body is too large" : "no such path: " + request.path;
  response.set_content(errorBody(Error{code, message, Execution::kNotRun}, RequestId()), kJsonType);
}

}  // namespace

void registerCallerApi(httplib::Server& server, CallerBackend& backend) {
  auto api = std::make_shared<CallerApi>(backend);
  server.Post("/v1/chat/completions", [api](const httplib::Request& request, httplib::Response& response) {
    api->complete(CompletionShape::kChat, request, response);
  });
  server.Post("/v1/completions", [api](const httplib::Request& request, httplib::Response& response) {
    api->complete(CompletionShape::kText, request, response);
  });
  server.Get(R"(/v1/streams/([^/]+))", [api](const httplib::Request& request, httplib::Response& response) {
    api->reconnect(request, response);
  });
  server.Post(R"(/v1/actions/([\w-]+))", [api](const httplib::Request& request, httplib::Response& response) {
    api->runAction(request, response);
  });
  server.Get("/v1/models", [api](const httplib::Request& request, httplib::Response& response) {
    api->listModels(request, response);
  });
  server.Get("/healthz", [](const httplib::Request&, httplib::Response& response) {
    response.set_content("ok\n", "text/plain");
  });
  server.Get("/readyz", [&backend](const httplib::Request&, httplib::Response& response) {
    const bool ready = backend.ready();
    response.status = ready ? 200 : 503;
    response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
  });
  server.Get("/metrics", [&backend](const httplib::Request&, httplib::Response& response) {
    response.set_content(backend.metricsText(), "text/plain; version=0.0.4");
  });
  server.set_pre_routing_handler([api](const httplib::Request& request, httplib::Response& response) {
    return api->refuseEarly(request, response);
  });
  server.set_error_handler(sendDefaultError);
}

}  // namespace quincewick::http
