// The operators' HTTP API: /v1/operator/... with JSON bodies.
#pragma once

#include <httplib.h>

#include "http/operator_backend.h"

namespace quincewick::http {

// Adds the API's routes to a server. The backend must outlive the server's run. Every request needs
// `Authorization: Bearer KEY`; handlers run on the server's threads.
void addOperatorRoutes(OperatorBackend& backend, httplib::Server& server);

}  // namespace quincewick::http
