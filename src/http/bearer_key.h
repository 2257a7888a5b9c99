// The key that a caller or an operator proves who it is by.
#pragma once

#include <httplib.h>

#include <string>

namespace quincewick::http {

// The key of an `Authorization: Bearer KEY` header; empty without one.
std::string bearerKey(const httplib::Request& request);

}  // namespace quincewick::http
