#include "configuration/access_control.h"

#include <catch2/catch.hpp>

namespace quincewick::configuration {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1'800'000'000);

Policy makePolicy() {
  Policy policy;
  policy.tenants[TenantId("airport")].caller_keys = {{hashKey("new-key"), std::nullopt},
                                                     {hashKey("old-key"), kNow + absl::Hours(1)}};
  policy.tenants[TenantId("school")].caller_keys = {{hashKey("school-key"), std::nullopt}};
  policy.operators["vera"] = {OperatorRole::kViewer, {{hashKey("viewer-key"), std::nullopt}}};
  policy.operators["olga"] = {OperatorRole::kOperator, {{hashKey("operator-key"), std::nullopt}}};
  policy.operators["anna"] = {OperatorRole::kAdmin, {{hashKey("admin-key"), std::nullopt}}};
  return policy;
}

template <class T>
ErrorCode errorOf(const Result<T>& result) {
  REQUIRE_FALSE(result);
  return result.error().code;
}

TEST_CASE("hashes are those of the standard") {
  CHECK(hashKey("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST_CASE("callers' keys lead to their tenants, and no others do") {
  const AccessControl access(makePolicy());
  CHECK(access.authenticateCaller("new-key", kNow).value() == TenantId("airport"));
  CHECK(access.authenticateCaller("school-key", kNow).value() == TenantId("school"));
  // Both keys of a tenant work while one replaces the other; then the old one expires.
  CHECK(access.authenticateCaller("old-key", kNow).value() == TenantId("airport"));
  const auto expired = access.authenticateCaller("old-key", kNow + absl::Hours(1));
  const auto unknown = access.authenticateCaller("no-key", kNow);
  CHECK(errorOf(expired) == ErrorCode::kUnauthenticated);
  CHECK(expired.error().message == unknown.error().message);  // no detail leaks
  for (const std::string& key :
       {std::string(), std::string("admin-key"), hashKey("new-key"), std::string(1000, 'x')}) {
    CHECK(errorOf(access.authenticateCaller(key, kNow)) == ErrorCode::kUnauthenticated);
  }
}

TEST_CASE("roles allow what they should and nothing more") {
  const AccessControl access(makePolicy());
  const auto allowed = [&](const char* key) {
    std::string out;
    for (const OperatorAction action : {OperatorAction::kRead, OperatorAction::kControl,
                                        OperatorAction::kChangePolicy, OperatorAction::kChangeOperators}) {
      const auto result = access.authorizeOperator(key, action, kNow);
      out += result ? 'y' : (errorOf(result) == ErrorCode::kPermissionDenied ? 'd' : 'u');
    }
    return out;
  };
  CHECK(allowed("viewer-key") == "yddd");
  CHECK(allowed("operator-key") == "yyyd");
  CHECK(allowed("admin-key") == "yyyy");
  CHECK(allowed("new-key") == "uuuu");  // a caller's
  CHECK(access.authorizeOperator("admin-key", OperatorAction::kRead, kNow).value() == "anna");
  const std::vector<ObjectChange> tenant = {{ObjectKey("tenants/operators"), std::nullopt}};
  CHECK(requiredAction(tenant) == OperatorAction::kChangePolicy);
  CHECK(requiredAction({tenant[0], {ObjectKey("operators/vera"), "{}"}}) == OperatorAction::kChangeOperators);
}

}  // namespace
}  // namespace quincewick::configuration
