// The HTTP API for callers: completions, models, actions, health and metrics.
#pragma once

#include <httplib.h>

#include "http/caller_backend.h"

namespace quincewick::http {

// Registers all routes of the API on `server`. `backend` must outlive `server`.
void registerCallerApi(httplib::Server& server, CallerBackend& backend);

}  // namespace quincewick::http
