#include "engine/transport_error.h"

namespace quincewick::engine {

Error transportError(const std::string& peer, httplib::Error error) {
  const bool never_connected = error == httplib::Error::Connection ||
                               error == httplib::Error::ConnectionTimeout ||
                               error == httplib::Error::BindIPAddress;
  const Execution execution = never_connected ? Execution::kNotRun : Execution::kUnknown;
  return Error{ErrorCode::kUnavailable, peer + ": " + httplib::to_string(error), execution};
}

}  // namespace quincewick::engine
