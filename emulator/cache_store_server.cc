#include "emulator/cache_store_server.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <xxhash.h>

#include <utility>

namespace quincewick::emulator {
namespace {

constexpr int kNotFound = 404;

}  // namespace

CacheStoreServer::CacheStoreServer(CacheStoreSettings settings)
    : StandIn(settings.seed), settings_(settings) {
  server().Post("/entries", guarded([this](const httplib::Request& request, httplib::Response& response) {
                  const nlohmann::json entry = bodyOf(request);
                  sleepUnlessStopping(settings_.latency * faults().slowdown(absl::Now()));
                  const std::string handle = put(entry);
                  answerJson(response, {{"handle", handle},
                                        {"model", entry.at("model")},
                                        {"weights_version", entry.at("weights_version")},
                                        {"blocks", entry.at("blocks")}});
                }));
  server().Get(R"(/entries/([0-9a-f]+))",
               guarded([this](const httplib::Request& request, httplib::Response& response) {
                 sleepUnlessStopping(settings_.latency * faults().slowdown(absl::Now()));
                 const absl::MutexLock lock(&mutex_);
                 const auto found = entries_.find(request.matches[1].str());
                 if (found == entries_.end()) {
                   answerError(response, kNotFound, ErrorCode::kNotFound, "handle", "no such entry");
                   return;
                 }
                 response.set_content(found->second.json, "application/json");
               }));
  server().Get("/admin/state", guarded([this](const httplib::Request&, httplib::Response& response) {
                 answerJson(response, {{"blocks", heldBlocks()}});
               }));
}

CacheStoreServer::~CacheStoreServer() {
  stop();
}

uint64_t CacheStoreServer::heldBlocks() {
  const absl::MutexLock lock(&mutex_);
  return held_blocks_;
}

void CacheStoreServer::onCrash(bool crashed, bool keep_cache) {
  if (!crashed || keep_cache) {
    return;
  }
  const absl::MutexLock lock(&mutex_);
  entries_.clear();
  by_age_.clear();
  held_blocks_ = 0;
}

std::string CacheStoreServer::put(const nlohmann::json& entry) {
  const std::string json = entry.dump();
  std::string handle = absl::StrCat(absl::Hex(XXH3_64bits(json.data(), json.size()), absl::kZeroPad16));
  const uint64_t blocks = entry.at("blocks").size();
  const absl::MutexLock lock(&mutex_);
  if (entries_.emplace(handle, Entry{json, blocks}).second) {
    by_age_.push_back(handle);
    held_blocks_ += blocks;
    makeRoom();
  }
  return handle;
}

void CacheStoreServer::makeRoom() {
  while (held_blocks_ > settings_.capacity_blocks && !by_age_.empty()) {
    const auto oldest = entries_.find(by_age_.front());
    held_blocks_ -= oldest->second.blocks;
    entries_.erase(oldest);
    by_age_.pop_front();
  }
}

}  // namespace quincewick::emulator
