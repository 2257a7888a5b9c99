#include "cli/ctl_client.h"

#include <absl/time/clock.h>
#include <httplib.h>

namespace quincewick::cli {
namespace {

constexpr int kOperationSends = 4;
constexpr absl::Duration kPauseBetweenSends = absl::Milliseconds(500);

httplib::Client connect(const Address& node, absl::Duration timeout) {
  httplib::Client client(node.host, node.port);
  const auto seconds = static_cast<time_t>(absl::ToInt64Seconds(timeout));
  client.set_connection_timeout(seconds);
  client.set_read_timeout(seconds);
  client.set_write_timeout(seconds);
  client.set_tcp_nodelay(true);
  return client;
}

CtlAnswer toAnswer(const httplib::Result& result) {
  CtlAnswer answer;
  answer.body = nlohmann::json::object();
  if (!result) {
    answer.transport = httplib::to_string(result.error());
    return answer;
  }
  answer.status = result->status;
  nlohmann::json body = nlohmann::json::parse(result->body, nullptr, false);
  if (body.is_object()) {
    answer.body = std::move(body);
  }
  return answer;
}

// Whether the operation may or may not have been carried out.
bool isUncertain(const CtlAnswer& answer) {
  if (answer.status == 0) {
    return true;
  }
  const nlohmann::json error = answer.body.value("error", nlohmann::json::object());
  return error.is_object() && error.value("ran", "") == "unknown";
}

}  // namespace

CtlAnswer CtlClient::get(const std::string& path) const {
  httplib::Client client = connect(node_, timeout_);
  return toAnswer(client.Get(path, {{"Authorization", "Bearer " + key_}}));
}

CtlAnswer CtlClient::post(const std::string& path, const nlohmann::json& body) const {
  httplib::Client client = connect(node_, timeout_);
  return toAnswer(client.Post(path, {{"Authorization", "Bearer " + key_}}, body.dump(), "application/json"));
}

CtlAnswer CtlClient::postOperation(const std::string& path, const nlohmann::json& body) const {
  CtlAnswer answer = post(path, body);
  for (int sends = 1; sends < kOperationSends && isUncertain(answer); ++sends) {
    absl::SleepFor(kPauseBetweenSends);
    answer = post(path, body);
  }
  return answer;
}

}  // namespace quincewick::cli
