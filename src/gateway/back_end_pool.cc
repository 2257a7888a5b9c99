#include "gateway/back_end_pool.h"

#include <algorithm>
#include <utility>

#include "gateway/back_end_link.h"

namespace quincewick::gateway {
namespace {

constexpr absl::Duration kFreshIdle = absl::Seconds(2);

}  // namespace

void Attempt::cancel() {
  link_->cancel(number_);
}

void Attempt::pause() {
  link_->pause(number_);
}

void Attempt::resume() {
  link_->resume(number_);
}

std::unique_ptr<Attempt> BackEndPool::start(const forwarding::ServerDirectory::ServerPointer& server,
                                            AttemptRequest request, AttemptListener* listener) {
  Links& links = links_[server->identity_hash];
  const absl::Time now = reactor::steadyNow();
  std::shared_ptr<BackEndLink> link;
  while (link == nullptr && !links.idle.empty()) {
    const std::shared_ptr<BackEndLink> candidate = links.idle.back();
    links.idle.pop_back();
    const absl::Duration rested = now - candidate->idleSince();
    const absl::Duration limit = request.wants_fresh_connection ? std::min(candidate->idleLimit(), kFreshIdle)
                                                                : candidate->idleLimit();
    if (candidate->isOpen() && rested < limit) {
      link = candidate;
    } else {
      candidate->drop();
    }
  }
  if (link == nullptr) {
    link = std::make_shared<BackEndLink>(*this, server);
    ++links.open;
    ++opened_;
  }
  const uint64_t number = link->begin(std::move(request), listener);
  return std::make_unique<Attempt>(link, number);
}

void BackEndPool::giveBack(const std::shared_ptr<BackEndLink>& link) {
  links_[link->server()->identity_hash].idle.push_back(link);
}

void BackEndPool::forget(const BackEndLink* link) {
  const auto found = links_.find(link->server()->identity_hash);
  if (found == links_.end()) {
    return;
  }
  std::erase_if(found->second.idle, [link](const auto& idle) { return idle.get() == link; });
  --found->second.open;
}

void BackEndPool::sweep(absl::Time now) {
  std::vector<std::shared_ptr<BackEndLink>> expired;
  for (const auto& [server, links] : links_) {
    for (const auto& link : links.idle) {
      if (!link->server()->is_listed || now - link->idleSince() >= link->idleLimit()) {
        expired.push_back(link);
      }
    }
  }
  for (const auto& link : expired) {
    link->drop();
  }
  absl::erase_if(links_, [](const auto& entry) { return entry.second.open == 0; });
}

}  // namespace quincewick::gateway
