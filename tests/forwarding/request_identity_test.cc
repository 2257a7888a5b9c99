#include "forwarding/request_identity.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace quincewick::forwarding {
namespace {

RequestIdentity identityOfTexts(const std::string& method, const std::string& target,
                                const std::string& caller, const std::string& body) {
  return identityOf(method, target, TenantId(caller), body);
}

TEST_CASE("identities are equal exactly if method, target, caller and body are") {
  CHECK(rc::check([](const std::string& method, const std::string& target, const std::string& caller,
                     const std::string& body) {
    const RequestIdentity identity = identityOfTexts(method, target, caller, body);
    RC_ASSERT(identity == identityOfTexts(method, target, caller, body));
    RC_ASSERT(identity != identityOfTexts(method + "x", target, caller, body));
    RC_ASSERT(identity != identityOfTexts(method, target + "x", caller, body));
    RC_ASSERT(identity != identityOfTexts(method, target, caller + "x", body));
    RC_ASSERT(identity != identityOfTexts(method, target, caller, body + "x"));
  }));
}

TEST_CASE("moving bytes from one part to another changes the identity") {
  CHECK(identityOfTexts("POST", "/a", "t", "b") != identityOfTexts("POST", "/a", "", "tb"));
  CHECK(identityOfTexts("POST", "/a", "t", "b") != identityOfTexts("POST", "/at", "", "b"));
  CHECK(identityOfTexts("POST", "/a", "t", "") != identityOfTexts("POST/a", "", "t", ""));
}

TEST_CASE("an identity is printed as 32 digits") {
  CHECK(printIdentity({0, 255}) == "000000000000000000000000000000ff");
}

}  // namespace
}  // namespace quincewick::forwarding
