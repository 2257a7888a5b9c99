#include "engine/transport_error.h"

#include "types/http_message.h"

namespace quincewick::engine {

Error transportError(const std::string& peer, httplib::Error error) {
  const bool never_connected = error == httplib::Error::Connection ||
                               error == httplib::Error::ConnectionTimeout ||
                               error == httplib::Error::BindIPAddress;
  const Execution execution = never_connected ? Execution::kNotRun : Execution::kUnknown;
  return Error{ErrorCode::kUnavailable, peer + ": " + httplib::to_string(error), execution};
}

std::optional<Error> responseError(const std::string& peer, const httplib::Response& response) {
  const std::string_view fault = finalResponseFault(response.status, response.headers);
  if (fault.empty()) {
    return std::nullopt;
  }
  return Error{ErrorCode::kUnavailable, peer + ": response refused: " + std::string(fault),
               Execution::kUnknown};
}

}  // namespace quincewick::engine
