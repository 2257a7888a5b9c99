#include "http/completion_request.h"

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

namespace quincewick::http {
namespace {

TEST_CASE("a chat request's messages are rendered in order into one prompt") {
  const auto request = parseCompletionRequest(
      CompletionShape::kChat,
      R"({"model":"m","messages":[{"role":"system","content":"a"},{"role":"user","content":[{"type":"text","text":"b"}]}],)"
      R"("max_tokens":5,"stream":true,"temperature":0.5})");
  REQUIRE(request.has_value());
  CHECK(request.value().prompt == "<|system|>a<|user|>b<|assistant|>");
  CHECK(request.value().maximum_tokens == 5);
  CHECK(request.value().stream);
}

TEST_CASE("a malformed body is rejected with an error that names the field") {
  const std::pair<const char*, const char*> cases[] = {
      {"{", "JSON object"},
      {"[]", "JSON object"},
      {R"({"prompt":"x"})", "'model'"},
      {R"({"model":"m","prompt":7})", "'prompt'"},
      {R"({"model":"m","prompt":"x","max_tokens":-1})", "'max_tokens'"},
      {R"({"model":"m","prompt":"x","max_tokens":0})", "'max_tokens'"},
      {R"({"model":"m","prompt":"x","stream":"yes"})", "'stream'"},
  };
  for (const auto& [body, field] : cases) {
    const auto request = parseCompletionRequest(CompletionShape::kText, body);
    REQUIRE(request.has_error());
    CHECK(request.error().code == ErrorCode::kInvalidArgument);
    CHECK_THAT(request.error().message, Catch::Matchers::Contains(field));
  }
}

TEST_CASE("the parser does not throw on corrupted bodies") {
  rc::prop("truncated bodies are rejected, and altered bodies are parsed or rejected", [](size_t cut,
                                                                                          char replacement) {
    std::string body = R"({"model":"m","messages":[{"role":"user","content":"text"}],"max_tokens":5})";
    body[cut % body.size()] = replacement;
    static_cast<void>(parseCompletionRequest(CompletionShape::kChat, body));
    body.resize(cut % body.size());
    RC_ASSERT(parseCompletionRequest(CompletionShape::kChat, body).has_error());
  });
}

}  // namespace
}  // namespace quincewick::http
