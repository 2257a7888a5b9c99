#include "cli/ctl_client.h"

#include <absl/time/clock.h>
#include <httplib.h>

namespace quincewick::cli {
namespace {

constexpr int kMaxOperationAttempts = 4;
constexpr absl::Duration kRetryDelay = absl::Milliseconds(500);

httplib::Client connect(const Address& node, absl::Duration timeout) {
  httplib::Client client(node.host, node.port);
  const auto seconds = static_cast<time_t>(absl::ToInt64Seconds(timeout));
  client.set_connection_timeout(seconds);
  client.set_read_timeout(seconds);
  client.set_write_timeout(seconds);
  client.set_tcp_nodelay(true);
  return client;
}

CtlResponse toResponse(const httplib::Result& result) {
  CtlResponse response;
  response.body = nlohmann::json::object();
  if (!result) {
    response.transport_error = httplib::to_string(result.error());
    return response;
  }
  response.status = result->status;
  nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
  if (body.is_object()) {
    response.body = std::move(body);
  }
  return response;
}

// True if it is not known whether the operation was executed.
bool isOutcomeUnknown(const CtlResponse& response) {
  if (response.status == 0) {
    return true;
  }
  const nlohmann::json error = response.body.value("error", nlohmann::json::object());
  return error.is_object() && error.value("ran", "") == "unknown";
}

}  // namespace

CtlResponse CtlClient::get(const std::string& path) const {
  httplib::Client client = connect(node_, timeout_);
  return toResponse(client.Get(path, {{"Authorization", "Bearer " + key_}}));
}

CtlResponse CtlClient::post(const std::string& path, const nlohmann::json& body) const {
  httplib::Client client = connect(node_, timeout_);
  return toResponse(
      client.Post(path, {{"Authorization", "Bearer " + key_}}, body.dump(), "application/json"));
}

CtlResponse CtlClient::postOperation(const std::string& path, const nlohmann::json& body) const {
  CtlResponse response = post(path, body);
  for (int attempts = 1; attempts < kMaxOperationAttempts && isOutcomeUnknown(response); ++attempts) {
    absl::SleepFor(kRetryDelay);
    response = post(path, body);
  }
  return response;
}

}  // namespace quincewick::cli
