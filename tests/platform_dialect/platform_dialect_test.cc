#include "platform/platform_dialect.h"

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace quincewick::platform_dialect {
namespace {

using forwarding::RepeatKind;
using forwarding::SendFacts;

const auto& dialect() {
  static const auto* const made = new std::unique_ptr<forwarding::Dialect>(makePlatformDialect());
  return **made;
}

constexpr const char* kConfiguration = R"({"version":7,"routes":[
  {"name":"s","host":"A.example","pathPrefix":"/l/","kind":"streaming","timeoutMs":6000,"targetLatencyMs":800,
   "priority":1,"trafficSplit":[{"service":"x","weight":90},{"service":"y","weight":10}],"maxAttempts":2,
   "public":false,"stickySessions":true,"resumable":true,"gapTargetMs":500},
  {"name":"o","host":"b.example","pathPrefix":"/m/","kind":"unsafe","service":"y"}],
 "services":[{"name":"x","healthPath":"/health","maxConnections":360,"engine":{"slots":64,"kvCapacity":110556,
   "models":[{"name":"m"}]}},{"name":"k","kvStoreAddr":"172.20.0.2:8781","zone":"z"}],
 "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":300,"idleTimeoutMs":400},
 "tenants":[{"name":"t","apiKeys":["k1"],"priority":0,"isolated":true}],"something":{"new":1}})";

TEST_CASE("a configuration is read completely and unknown fields are ignored") {
  const auto read = dialect().readConfiguration(kConfiguration);
  REQUIRE(read.has_value());
  const auto& site = read.value();
  CHECK(site.version() == ConfigurationVersion(7));
  const auto* const route = site.findRoute("a.example", "/l/1");
  REQUIRE(route != nullptr);
  CHECK(route->kind == RepeatKind::kStream);
  CHECK(route->mayRunAgain());
  CHECK(route->timeout == absl::Seconds(6));
  CHECK(route->shares.size() == 2);
  const auto* const once = site.findRoute("b.example", "/m/");
  REQUIRE(once != nullptr);
  CHECK_FALSE(once->mayRunAgain());
  CHECK_FALSE(once->timeout);
  CHECK(site.limits().header_timeout == absl::Milliseconds(300));
  CHECK(site.findTenant("k1")->is_isolated);
  REQUIRE(site.cacheStores().size() == 1);
  CHECK(site.cacheStores()[0].address == Address{"172.20.0.2", 8781});
  CHECK(site.findService(forwarding::ServiceName("x"))->engine->models.size() == 1);
}

std::string configurationWithTenant(const std::string& fields) {
  return R"({"version":7,"routes":[],"services":[],"tenants":[{"name":"t","apiKeys":["k1"])" + fields + "}]}";
}

TEST_CASE("a tenant's limit in requests or tokens; none where the rate is 0 or absent") {
  const auto limitIn = [](const std::string& fields) {
    const auto read = dialect().readConfiguration(configurationWithTenant(fields));
    REQUIRE(read.has_value());
    CHECK(read.value().findTenantNamed(TenantId("t")) == read.value().findTenant("k1"));
    return read.value().findTenant("k1")->limit;
  };
  CHECK(limitIn(R"(,"unit":"tokens","uncachedTokens":200,"ratePerS":614191,"burst":7)") ==
        quota::RateLimit{quota::LimitUnit::kTokens, 614191, 7, 200});
  CHECK(limitIn(R"(,"ratePerS":5)") == quota::RateLimit{quota::LimitUnit::kRequests, 5, 0, 1});
  CHECK_FALSE(limitIn(R"(,"ratePerS":0,"burst":5)"));
  CHECK_FALSE(limitIn(""));
}

TEST_CASE("an invalid limit rejects its configuration") {
  for (const char* fields : {R"(,"ratePerS":-1)", R"(,"ratePerS":"many")", R"(,"ratePerS":5,"burst":-2)",
                             R"(,"ratePerS":5,"unit":"bytes")"}) {
    CAPTURE(fields);
    CHECK(dialect().readConfiguration(configurationWithTenant(fields)).has_error());
  }
}

TEST_CASE("malformed rows are rejected as a whole") {
  CHECK(dialect().readConfiguration("{\"version\":7}").has_error());
  CHECK(dialect().readConfiguration("[]").has_error());
  CHECK(dialect().readConfiguration("{").has_error());
  CHECK(dialect().readServer("i", R"({"service":"x","address":"10.0.0.1"})").has_error());
  CHECK(dialect().readRowsResponse("{}").has_error());
  CHECK(dialect().readReport("nonsense").has_error());
  CHECK(dialect().readNamedWeights(R"({"model":"m"})").has_error());
}

TEST_CASE("a server entry is decoded") {
  const auto entry = dialect().readServer(
      "i-1", R"({"service":"x","address":"10.0.0.1:80","zone":"z","slots":6,"state":"draining",)"
             R"("models":[{"name":"m","version":3,"adapters":[]}]})");
  REQUIRE(entry.has_value());
  CHECK(entry.value().is_draining);
  CHECK(entry.value().models[0].weights_version == WeightsVersion(3));
}

HttpHead request() {
  HttpHead head;
  head.fields = {{"Host", "a"},
                 {"Quincewick-Attempt-Id", "id1"},
                 {"Quincewick-Deadline-Ms", "6000"},
                 {"Quincewick-Model", "m"},
                 {"Quincewick-Token-Usage", "1460,80"},
                 {"Quincewick-Prompt-Prefix", "5c:800,91:410, e4:250"},
                 {"Authorization", "Bearer k1"},
                 {"Quincewick-Tenant", "forged"},
                 {"quincewick-cache-salt", "forged"},
                 {"Last-Event-Id", "12"},
                 {"Connection", "keep-alive, X-Mine"},
                 {"X-Mine", "1"},
                 {"X-Other", "2"},
                 {"Content-Length", "3"}};
  return head;
}

TEST_CASE("the facts of a request are read from its headers") {
  const auto facts = dialect().readRequest(request());
  CHECK(facts.attempt_id == "id1");
  CHECK(facts.deadline == absl::Seconds(6));
  CHECK(facts.key == "k1");
  CHECK(facts.model == ModelName("m"));
  REQUIRE(facts.prompt.size() == 3);
  CHECK(facts.prompt[2].id == "e4");
  CHECK(facts.prompt[2].tokens == 250);
  CHECK(facts.output_tokens == 80);
}

TEST_CASE("declared tokens are the sum of prompt and output tokens, and absent if malformed") {
  const auto declared = [](const std::string& usage) {
    HttpHead head;
    head.fields = {{"Quincewick-Token-Usage", usage}};
    return dialect().readRequest(head).declared_tokens;
  };
  CHECK(declared("1460,80") == 1540);
  CHECK(declared(" 1460 , 80 ") == 1540);
  for (const char* usage : {"", "1460", "1460,", "-5,80", "many,80", "1460,80,1", "99999999999999999999,1"}) {
    CAPTURE(usage);
    CHECK_FALSE(declared(usage));
  }
  CHECK_FALSE(dialect().readRequest(HttpHead()).declared_tokens);
}

TEST_CASE("system headers replace those of the caller; keys and hop-by-hop headers are not forwarded") {
  SendFacts send;
  send.server_id = "i-1";
  send.tenant = TenantId("t");
  send.time_left = absl::Milliseconds(5500);
  const HeaderFields fields = dialect().fieldsForServer(request(), send);
  CHECK(*findField(fields, "Quincewick-Tenant") == "t");
  CHECK(*findField(fields, "Quincewick-Deadline-Ms") == "5500");
  CHECK(*findField(fields, "Quincewick-Target-Instance") == "i-1");
  CHECK(*findField(fields, "Quincewick-Attempt-Id") == "id1");
  CHECK(*findField(fields, "Last-Event-Id") == "12");
  CHECK(*findField(fields, "X-Other") == "2");
  for (const char* gone :
       {"Authorization", "Quincewick-Cache-Salt", "Connection", "X-Mine", "Content-Length"}) {
    CHECK(findField(fields, gone) == nullptr);
  }
  send.last_event_id = "15";
  CHECK(*findField(dialect().fieldsForServer(request(), send), "Last-Event-Id") == "15");
}

TEST_CASE("the facts of a response are read from its headers") {
  HttpHead head;
  head.status = 421;
  head.fields = {{"Quincewick-Instance-Id", "i-2"},
                 {"Quincewick-Weight-Versions", "3, 4"},
                 {"Keep-Alive", "timeout=5, max=10"},
                 {"Quincewick-Not-Executed", "1"}};
  const auto facts = dialect().readResponse(head);
  CHECK(facts.is_other_server);
  CHECK(facts.is_not_run);
  CHECK_FALSE(facts.is_signed);
  CHECK(facts.server_id == "i-2");
  CHECK(facts.weights_version == WeightsVersion(4));
  CHECK(facts.idle_limit == absl::Seconds(5));
}

TEST_CASE("the rate limit in a response, and malformed ones") {
  const auto read = [](const char* value) {
    HttpHead head;
    head.status = 200;
    head.fields = {{"server-limit", value}};
    return dialect().readResponse(head);
  };
  CHECK(read("1.1").rate_limit == 1.1);
  CHECK(read("0").rate_limit == 0.0);
  CHECK(read("12").unreadable_fields.empty());
  for (const char* malformed : {"", "many", "-1", "nan", "inf", "1,2", "1 a second"}) {
    CAPTURE(malformed);
    CHECK_FALSE(read(malformed).rate_limit);
    CHECK(read(malformed).unreadable_fields == std::vector<std::string>{"server-limit"});
  }
  CHECK_FALSE(dialect().readResponse(HttpHead()).rate_limit);
}

TEST_CASE("the leaving flag and the back-off period in a response") {
  const auto read = [](int status, const char* name, const char* value) {
    HttpHead head;
    head.status = status;
    head.fields = {{name, value}};
    return dialect().readResponse(head);
  };
  CHECK(read(200, "server-leaving", "1").is_leaving);
  CHECK_FALSE(read(200, "server-leaving", "0").is_leaving);
  CHECK(read(200, "server-leaving", "0").unreadable_fields.empty());
  CHECK_FALSE(read(200, "server-leaving", "soon").is_leaving);
  CHECK(read(200, "server-leaving", "soon").unreadable_fields.size() == 1);
  CHECK(read(503, "retry-after", "3").back_off == absl::Seconds(3));
  CHECK(read(503, "retry-after", "0.25").back_off == absl::Milliseconds(250));
  CHECK_FALSE(read(429, "retry-after", "3").back_off);
  for (const char* malformed : {"", "-1", "inf", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    CAPTURE(malformed);
    CHECK_FALSE(read(503, "retry-after", malformed).back_off);
    CHECK(read(503, "retry-after", malformed).unreadable_fields.size() == 1);
  }
}

TEST_CASE("rows read back as they were written") {
  forwarding::StoreRow row;
  row.table = "t";
  row.key = "k";
  row.value = std::string("\0\xff text", 7);
  const HttpCall call = dialect().writeRows({{row, 5}});
  CHECK(call.body.find("\"ver\":5") != std::string::npos);
  const std::string answer =
      absl::StrCat(R"({"rows":[{"table":"t","key":"k","value":")", absl::Base64Escape(row.value),
                   R"(","ver":6},{"table":"t","key":"g","gone":true,"ver":7}],)",
                   R"("more":false,"ver":9,"now_ms":51230})");
  const auto rows = dialect().readRowsResponse(answer);
  REQUIRE(rows.has_value());
  CHECK(rows.value().rows[0].value == row.value);
  CHECK(rows.value().rows[1].is_gone);
  CHECK(rows.value().version == 9);
  CHECK(rows.value().clock == absl::Milliseconds(51230));
}

// Guards against a body that ended with its connection too early and is taken for a whole one.
TEST_CASE("no beginning of an answer of the store or of a report is taken for the whole") {
  const std::string rows =
      R"({"rows":[{"table":"t","key":"k","value":"AA==","ver":6}],"more":false,"ver":9,"now_ms":51230})";
  const std::string report =
      R"({"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":2,)"
      R"("queued":1,"running":12,"kvUsed":1,"kvTotal":9,"handles":0})";
  REQUIRE(dialect().readRowsResponse(rows).has_value());
  REQUIRE(dialect().readReport(report).has_value());
  for (size_t size = 0; size < rows.size(); ++size) {
    CHECK(dialect().readRowsResponse(rows.substr(0, size)).has_error());
  }
  for (size_t size = 0; size < report.size(); ++size) {
    CHECK(dialect().readReport(report.substr(0, size)).has_error());
  }
}

// Covers each platform header that a caller may not set and the few that it may.
TEST_CASE("of the platform headers only those that describe the request are passed on from a caller") {
  const std::vector<std::string> described = {"Quincewick-Attempt-Id", "Quincewick-Model",
                                              "Quincewick-Token-Usage", "Quincewick-Prompt-Prefix",
                                              "Quincewick-Length-Hint"};
  const std::vector<std::string> set_by_system = {"Quincewick-Deadline-Ms",
                                                  "Quincewick-Tenant",
                                                  "Quincewick-Target-Instance",
                                                  "Quincewick-Cache-Salt",
                                                  "Quincewick-Kv-Source",
                                                  "Quincewick-Request-Priority",
                                                  "Quincewick-Kv-Target",
                                                  "Quincewick-Kv-Backup",
                                                  "Quincewick-Pin-Ms",
                                                  "Quincewick-Expected-Version",
                                                  "Quincewick-Hold",
                                                  "Quincewick-Not-Executed",
                                                  "Quincewick-Instance-Id",
                                                  "Quincewick-Weight-Versions",
                                                  "Quincewick-Some-New-Field",
                                                  "Kv-From",
                                                  "Authorization"};
  const auto passes = [](const std::string& name) {
    HttpHead head;
    head.fields = {{name, "a"}, {"X-Other", "b"}, {name, "c"}};
    const HeaderFields fields = dialect().fieldsForServer(head, SendFacts());
    return std::count_if(fields.begin(), fields.end(), [&name](const HeaderField& field) {
      return field.name == name && (field.value == "a" || field.value == "c");
    });
  };
  for (const std::string& name : described) {
    CAPTURE(name);
    CHECK(passes(name) == 2);
    CHECK(passes(absl::AsciiStrToLower(name)) == 2);
  }
  for (const std::string& name : set_by_system) {
    CAPTURE(name);
    CHECK(passes(name) == 0);
    CHECK(passes(absl::AsciiStrToLower(name)) == 0);
    CHECK(passes(absl::AsciiStrToUpper(name)) == 0);
  }
}

}  // namespace
}  // namespace quincewick::platform_dialect
