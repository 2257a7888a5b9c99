// Calls of the operators' API from the command line.
#pragma once

#include <absl/time/time.h>

#include <nlohmann/json.hpp>
#include <string>

#include "types/back_end.h"
#include "types/error.h"

namespace quincewick::cli {

// A node's answer: status 0 when there was none.
struct CtlResponse {
  int status = 0;
  nlohmann::json body;          // empty object where it was no JSON
  std::string transport_error;  // what went wrong on the way; empty: nothing

  bool ok() const { return status == 200; }
};

class CtlClient {
 public:
  CtlClient(Address node, std::string key, absl::Duration timeout)
      : node_(std::move(node)), key_(std::move(key)), timeout_(timeout) {}

  CtlResponse get(const std::string& path) const;
  CtlResponse post(const std::string& path, const nlohmann::json& body) const;
  // A post whose body names its operation, so that it may be sent again when its answer was lost or said that
  // the outcome is unknown.
  CtlResponse postOperation(const std::string& path, const nlohmann::json& body) const;

 private:
  Address node_;
  std::string key_;
  absl::Duration timeout_;
};

}  // namespace quincewick::cli
