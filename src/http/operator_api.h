// The HTTP API for operators: /v1/operator/... with JSON bodies.
#pragma once

#include <httplib.h>

#include "http/operator_backend.h"

namespace quincewick::http {

// Registers all routes of the API on `server`. `backend` must outlive `server`. Every request needs
// `Authorization: Bearer KEY`. Handlers run on the server's worker threads.
void addOperatorRoutes(OperatorBackend& backend, httplib::Server& server);

}  // namespace quincewick::http
