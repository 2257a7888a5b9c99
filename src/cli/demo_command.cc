#include "cli/demo_command.h"

#include <absl/time/clock.h>
#include <glog/logging.h>
#include <httplib.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <nlohmann/json.hpp>
#include <string>

#include "cli/demo_site.h"
#include "cli/exit_codes.h"
#include "cli/interrupt.h"

namespace quincewick::cli {
namespace {

using Json = nlohmann::json;

constexpr size_t kLongPromptCharacters = 40'000;  // nine full cache blocks and a partial one
constexpr int kStatusOk = 200;

// Measurements of one completion at the client.
struct CompletionMeasurement {
  absl::Duration first_token;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
};

httplib::Headers headers() {
  return {{"Authorization", std::string("Bearer ") + kDemoKey}};
}

std::string longPrompt() {
  std::string prompt;
  for (int rule = 1; prompt.size() < kLongPromptCharacters; ++rule) {
    prompt += "Rule " + std::to_string(rule) + ": what was agreed holds. ";
  }
  return prompt;
}

void checkStatus(const httplib::Result& result, const char* step) {
  if (!result || result->status != kStatusOk) {
    LOG(ERROR) << "event=demo_failed step=\"" << step << "\" status=" << (result ? result->status : 0)
               << " body=" << (result ? result->body : httplib::to_string(result.error()));
  }
}

// Sends a streamed chat completion and measures the time to its first token. Returns false if it failed.
bool measureStreamedCompletion(httplib::Client& client, const std::string& prompt,
                               CompletionMeasurement& measurement) {
  const Json body = {{"model", kDemoModel},
                     {"stream", true},
                     {"max_tokens", 24},
                     {"messages", Json::array({{{"role", "user"}, {"content", prompt}}})}};
  httplib::Request request;
  request.method = "POST";
  request.path = "/v1/chat/completions";
  request.headers = headers();
  request.set_header("Content-Type", "application/json");
  request.set_header("X-Request-Kind", "chat");
  request.body = body.dump();
  std::string text;
  const absl::Time begin = absl::Now();
  request.content_receiver = [&](const char* data, size_t size, uint64_t, uint64_t) {
    if (text.empty()) {
      measurement.first_token = absl::Now() - begin;
    }
    text.append(data, size);
    return true;
  };
  const httplib::Result result = client.send(request);
  checkStatus(result, "completion");
  const size_t usage = text.find("\"usage\":");
  if (!result || result->status != kStatusOk || usage == std::string::npos) {
    return false;
  }
  const size_t line_begin = text.rfind("data: ", usage) + std::string("data: ").size();
  const Json end = Json::parse(text.substr(line_begin, text.find('\n', line_begin) - line_begin));
  measurement.prompt_tokens = end["usage"]["prompt_tokens"];
  measurement.cached_tokens = end["usage"]["prompt_tokens_details"]["cached_tokens"];
  return text.find("data: [DONE]") != std::string::npos;
}

bool showCompletion(httplib::Client& client, const char* title, const std::string& prompt) {
  CompletionMeasurement measurement;
  if (!measureStreamedCompletion(client, prompt, measurement)) {
    return false;
  }
  std::printf("%-34s first token %6.1f ms, prompt %llu tokens, %llu from cache\n", title,
              absl::ToDoubleMilliseconds(measurement.first_token),
              static_cast<unsigned long long>(measurement.prompt_tokens),
              static_cast<unsigned long long>(measurement.cached_tokens));
  return true;
}

bool showAction(httplib::Client& client, DemoSite& site, const char* title) {
  httplib::Headers action_headers = headers();
  action_headers.emplace("Idempotency-Key", "demo-1");
  const std::string path = std::string("/v1/actions/") + kDemoActionKind;
  const httplib::Result result = client.Post(path, action_headers, R"({"place":"A7"})", "application/json");
  checkStatus(result, "action");
  if (!result || result->status != kStatusOk) {
    return false;
  }
  std::printf("%-34s status %d, repeated answer: %s, runs so far: %llu\n", title, result->status,
              result->get_header_value("X-Repeated").c_str(),
              static_cast<unsigned long long>(site.actionRunCount()));
  return true;
}

bool runExampleRequests(uint16_t port, DemoSite& site) {
  httplib::Client client("127.0.0.1", port);
  client.set_tcp_nodelay(true);
  client.set_keep_alive(true);
  const std::string prompt = longPrompt();
  return showCompletion(client, "a short chat completion", "Is the gate open?") &&
         showCompletion(client, "a long prompt, first time", prompt) &&
         showCompletion(client, "the same prompt again", prompt) &&
         showAction(client, site, "an action under a key") && showAction(client, site, "the same key again");
}

void printExampleCommands(uint16_t port) {
  std::printf(
      "\nThe site stays up on port %u. Try, in another shell:\n"
      "  curl -N http://127.0.0.1:%u/v1/chat/completions -H 'Authorization: Bearer %s' \\\n"
      "    -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n"
      "  curl http://127.0.0.1:%u/v1/actions/%s -H 'Authorization: Bearer %s' \\\n"
      "    -H 'Idempotency-Key: mine-1' -d '{\"place\":\"B2\"}'\n"
      "  curl http://127.0.0.1:%u/v1/models -H 'Authorization: Bearer %s'\n"
      "  curl http://127.0.0.1:%u/metrics\n"
      "End it with Ctrl-C.\n",
      port, port, kDemoKey, kDemoModel, port, kDemoActionKind, kDemoKey, port, kDemoKey, port);
}

int runDemo(absl::Duration stay_up_time) {
  DemoSite site;
  const Result<uint16_t> port = site.start();
  if (port.has_error()) {
    std::fprintf(stderr, "quincewick demo: %s\n", port.error().message.c_str());
    return kExitFailure;
  }
  std::printf("One node, three engines, a cache store, an action server and the platform's stand-in.\n\n");
  if (!runExampleRequests(port.value(), site)) {
    return kExitFailure;
  }
  if (stay_up_time > absl::ZeroDuration()) {
    printExampleCommands(port.value());
    std::fflush(stdout);
    waitForInterrupt(stay_up_time);
  }
  return kExitSuccess;
}

}  // namespace

int runDemoCommand(int argc, char** argv) {
  cxxopts::Options options("quincewick demo", "Runs a small deployment in this process on loopback.");
  options.add_options()("once", "exit after the example requests")(
      "seconds", "how long to keep running after the example requests",
      cxxopts::value<int>()->default_value("3600"))("verbose", "log each request")("help", "print this");
  try {
    const auto flags = options.parse(argc, argv);
    if (flags.count("help") > 0) {
      std::puts(options.help().c_str());
      return kExitSuccess;
    }
    if (flags.count("verbose") == 0) {
      FLAGS_minloglevel = google::GLOG_WARNING;
    }
    catchInterrupts();
    return runDemo(flags.count("once") > 0 ? absl::ZeroDuration()
                                           : absl::Seconds(flags["seconds"].as<int>()));
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "quincewick demo: %s\n", error.what());
    return kExitMisuse;
  }
}

}  // namespace quincewick::cli
