#include "engine/http_engine_channel.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "engine/engine_codec.h"
#include "engine/transport_error.h"

namespace quincewick::engine {
namespace {

constexpr size_t kMaximumEventBytes = 1 << 20;
constexpr size_t kMaximumRefusalBytes = 64 << 10;
constexpr int kStatusOk = 200;

httplib::Request makeRequest(const char* method, std::string path) {
  httplib::Request request;
  request.method = method;
  request.path = std::move(path);
  return request;
}

void setJsonBody(httplib::Request& request, std::string body) {
  request.set_header("Content-Type", "application/json");
  request.body = std::move(body);
}

// Reads one answer of an engine: events of a stream, or the body of a refusal.
class StreamResponse {
 public:
  StreamResponse(const EngineRequest& request, EngineEventSink& sink)
      : request_(request), sink_(sink), reader_(kMaximumEventBytes) {}

  bool onHeaders(const httplib::Response& response) {
    if (std::optional<Error> error = responseError("engine", response)) {
      lose(*std::move(error));
      return false;
    }
    status_ = response.status;
    if (status_ != kStatusOk) {
      return true;
    }
    return sink_.onEvent(streams::EngineStarted{request_.attempt});
  }

  bool onBody(std::string_view bytes) {
    if (status_ != kStatusOk) {
      refusal_body_.append(
          bytes.substr(0, kMaximumRefusalBytes - std::min(kMaximumRefusalBytes, refusal_body_.size())));
      return true;
    }
    reader_.feed(bytes);
    while (std::optional<ServerSentEvent> event = reader_.next()) {
      if (!takeEvent(*event)) {
        return false;
      }
    }
    if (reader_.failed()) {
      lose(Error{ErrorCode::kInternal, "engine: an event is too long", Execution::kUnknown});
    }
    return !aborted_;
  }

  // Tells the sink how it ended, unless it has been told.
  void finish(const httplib::Result& result) {
    if (finished_) {
      return;
    }
    if (status_ != 0 && status_ != kStatusOk) {
      lose(decodeRefusal(status_, refusal_body_));
    } else if (!result) {
      lose(transportError("engine", result.error()));
    } else {
      lose(Error{ErrorCode::kUnavailable, "engine: the stream ended early", Execution::kUnknown});
    }
  }

  // The stream came to its end marker, so that its connection can serve again.
  bool endedWhole() const { return saw_end_; }

 private:
  bool takeEvent(const ServerSentEvent& event) {
    Result<DecodedEvent> decoded = decodeStreamEvent(request_, event);
    if (decoded.has_error()) {
      lose(std::move(decoded).error());
      return false;
    }
    if (decoded.value().observation.has_value()) {
      sink_.onObservation(*decoded.value().observation);
    }
    if (!decoded.value().answer.has_value() || finished_) {
      return true;
    }
    saw_end_ = std::holds_alternative<streams::EngineEnd>(*decoded.value().answer);
    finished_ = saw_end_;
    const bool wanted = sink_.onEvent(*std::move(decoded.value().answer));
    if (!wanted && !saw_end_) {
      finished_ = true;
      aborted_ = true;
    }
    return !aborted_;
  }

  void lose(Error error) {
    finished_ = true;
    aborted_ = true;
    sink_.onEvent(streams::EngineLost{request_.attempt, std::move(error)});
  }

  const EngineRequest& request_;
  EngineEventSink& sink_;
  ServerSentEventReader reader_;
  std::string refusal_body_;
  int status_ = 0;
  bool finished_ = false;  // the sink has its last event, or wants no more
  bool aborted_ = false;   // the connection must be closed
  bool saw_end_ = false;
};

}  // namespace

HttpEngineChannel::HttpEngineChannel(const HttpEngineOptions& options)
    : streams_(options.connect_timeout, options.read_timeout, options.identity),
      control_(options.connect_timeout, options.control_timeout, options.identity) {}

void HttpEngineChannel::run(const Address& engine, const EngineRequest& request, EngineEventSink& sink) {
  httplib::Request http_request = makeRequest("POST", "/v1/completions");
  setJsonBody(http_request, encodeRequest(request));
  exchange(engine, request, http_request, sink);
}

void HttpEngineChannel::resume(const Address& engine, const EngineRequest& request, uint64_t from_offset,
                               EngineEventSink& sink) {
  httplib::Request http_request =
      makeRequest("GET", absl::StrCat("/v1/streams/", request.request.value(), "?from=", from_offset));
  exchange(engine, request, http_request, sink);
}

void HttpEngineChannel::exchange(const Address& engine, const EngineRequest& request,
                                 httplib::Request& http_request, EngineEventSink& sink) {
  StreamResponse response(request, sink);
  http_request.response_handler = [&response](const httplib::Response& headers) {
    return response.onHeaders(headers);
  };
  http_request.content_receiver = [&response](const char* data, size_t size, uint64_t /*offset*/,
                                              uint64_t /*total*/) {
    return response.onBody(std::string_view(data, size));
  };
  std::unique_ptr<httplib::Client> client = streams_.take(engine);
  const httplib::Result result = client->send(http_request);
  response.finish(result);
  if (result && response.endedWhole()) {
    streams_.giveBack(engine, std::move(client));
  }
}

Result<std::string> HttpEngineChannel::callControl(const Address& engine, httplib::Request& http_request) {
  std::unique_ptr<httplib::Client> client = control_.take(engine);
  httplib::Result result = client->send(http_request);
  if (!result) {
    return outcome::failure(transportError("engine", result.error()));
  }
  if (std::optional<Error> error = responseError("engine", *result)) {
    return outcome::failure(*std::move(error));
  }
  control_.giveBack(engine, std::move(client));
  if (result->status != kStatusOk) {
    return outcome::failure(decodeRefusal(result->status, result->body));
  }
  return std::move(result->body);
}

Result<void> HttpEngineChannel::cancel(const Address& engine, const RequestId& request) {
  httplib::Request http_request = makeRequest("DELETE", "/v1/streams/" + request.value());
  const Result<std::string> answer = callControl(engine, http_request);
  if (answer.has_error() && answer.error().code != ErrorCode::kNotFound) {
    return outcome::failure(answer.error());
  }
  return outcome::success();
}

Result<EngineReport> HttpEngineChannel::report(const Address& engine) {
  httplib::Request http_request = makeRequest("GET", "/v1/load");
  BOOST_OUTCOME_TRY(body, callControl(engine, http_request));
  return decodeReport(body);
}

Result<CacheEventPage> HttpEngineChannel::cacheEvents(const Address& engine, Sequence after, uint32_t limit) {
  httplib::Request http_request =
      makeRequest("GET", absl::StrCat("/v1/cache_events?after=", after.value(), "&limit=", limit));
  BOOST_OUTCOME_TRY(body, callControl(engine, http_request));
  return decodeCacheEvents(body);
}

Result<void> HttpEngineChannel::order(const Address& engine, const EngineOrder& order) {
  httplib::Request http_request = makeRequest("POST", "/v1/orders");
  setJsonBody(http_request, encodeOrder(order));
  BOOST_OUTCOME_TRY(body, callControl(engine, http_request));
  static_cast<void>(body);
  return outcome::success();
}

}  // namespace quincewick::engine
