// Client of the HTTP API for operators.
#pragma once

#include <absl/time/time.h>

#include <nlohmann/json.hpp>
#include <string>

#include "types/back_end.h"
#include "types/error.h"

namespace quincewick::cli {

// A node's response. `status` is 0 if none was received.
struct CtlResponse {
  int status = 0;
  nlohmann::json body;          // empty object if the body was not a JSON object
  std::string transport_error;  // connection or protocol error; empty if a response was received

  bool ok() const { return status == 200; }
};

class CtlClient {
 public:
  CtlClient(Address node, std::string key, absl::Duration timeout)
      : node_(std::move(node)), key_(std::move(key)), timeout_(timeout) {}

  CtlResponse get(const std::string& path) const;
  CtlResponse post(const std::string& path, const nlohmann::json& body) const;
  // Posts a body that contains an operation id, which makes the request idempotent: it is retried if no
  // response was received or the response says that the outcome is unknown.
  CtlResponse postOperation(const std::string& path, const nlohmann::json& body) const;

 private:
  Address node_;
  std::string key_;
  absl::Duration timeout_;
};

}  // namespace quincewick::cli
