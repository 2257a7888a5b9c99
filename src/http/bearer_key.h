// Extracts the API key by which a caller or an operator authenticates.
#pragma once

#include <httplib.h>

#include <string>

namespace quincewick::http {

// Returns the key of an `Authorization: Bearer KEY` header; empty if there is none.
std::string bearerKey(const httplib::Request& request);

}  // namespace quincewick::http
