// The part of RequestPath that takes what engines say.
#include <algorithm>
#include <utility>

#include "simulation/request_path.h"

namespace quincewick::simulation {

void RequestPath::onEngineAction(EngineIndex /*engine*/, const emulator::EngineAction& action) {
  if (const auto* accepted = std::get_if<emulator::RequestAccepted>(&action)) {
    const auto attempt = attempts_.find(accepted->id);
    if (attempt != attempts_.end()) {
      observer_.engineTookRequest(attempt->second.request);
    }
  } else if (const auto* refused = std::get_if<emulator::RequestRefused>(&action)) {
    toNode(refused->id, [this, id = refused->id, reason = refused->reason] { onEngineRefusal(id, reason); });
  } else if (const auto* first = std::get_if<emulator::FirstToken>(&action)) {
    toNode(first->id, [this, id = first->id] { onFirstToken(id); });
  } else if (const auto* finished = std::get_if<emulator::RequestFinished>(&action)) {
    toNode(finished->id,
           [this, id = finished->id, cached = finished->cached_tokens] { onFinished(id, cached); });
  } else if (const auto* aborted = std::get_if<emulator::RequestAborted>(&action)) {
    toNode(aborted->id, [this, id = aborted->id, tokens = aborted->tokens] {
      onAttemptLost(id, tokens, ErrorCode::kUnavailable);
    });
  }
}

template <class Step>
void RequestPath::toNode(AttemptId id, Step step) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) {
    return;  // cancelled, or its node is gone
  }
  Attempt& attempt = entry->second;
  const ZoneIndex from = topology_.zoneOfEngine(attempt.engine);
  const ZoneIndex to = topology_.zoneOfNode(attempt.node);
  if (!network_.reachable(from, to)) {
    queue_.scheduleAfter(settings_.connection_timeout,
                         [this, id] { onAttemptLost(id, 0, ErrorCode::kUnavailable); });
    return;
  }
  const absl::Duration delay = network_.connectionDelay(from, to, network_random_);
  attempt.last_delivery =
      std::max({attempt.last_delivery, queue_.now() + delay, control_.pausedUntil(attempt.node)});
  queue_.scheduleAt(attempt.last_delivery, std::move(step));
}

void RequestPath::onEngineRefusal(AttemptId id, emulator::RefusalReason reason) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) {
    return;
  }
  const Attempt attempt = entry->second;
  endAttempt(id, std::nullopt);
  // The refusal's body names the engine's incarnation, state and weights.
  if (reason == emulator::RefusalReason::kDown) {
    eject(attempt.node, attempt.engine);
  } else if (reason != emulator::RefusalReason::kQueueFull) {
    tellRouter(attempt.node, routing::EngineUpserted{engines_.describe(attempt.engine)});
  }
  feed(attempt.request,
       streams::EngineLost{attempt.number, Error{ErrorCode::kUnavailable, "refused", Execution::kNotRun}});
}

void RequestPath::onFirstToken(AttemptId id) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) {
    return;
  }
  const Attempt attempt = entry->second;
  OpenRequest& open = *open_.at(attempt.request);
  NodeState& node = nodes_[attempt.node];
  node.router->handle(routing::FirstTokenSeen{open.request.id, topology_.engines[attempt.engine],
                                              engines_.engine(attempt.engine).incarnation()},
                      queue_.now());
  if (!std::exchange(open.first_token_seen, true)) {
    applyAdmission(attempt.node, node.admission->handle(admission::FirstTokenArrived{open.request.id},
                                                        queue_.now(), node.random));
  }
  feed(attempt.request, streams::EngineStarted{attempt.number});
  feedTokens(id, 1);
}

void RequestPath::feedTokens(AttemptId id, uint64_t up_to) {
  const double before = threadCpuSeconds();
  while (true) {
    const auto entry = attempts_.find(id);
    if (entry == attempts_.end() || entry->second.fed_tokens >= up_to) {
      break;
    }
    Attempt& attempt = entry->second;
    const uint64_t offset = attempt.from_offset + attempt.fed_tokens;
    ++attempt.fed_tokens;
    feed(attempt.request, streams::EngineToken{attempt.number, offset, "t"});
  }
  stream_cpu_seconds_ += threadCpuSeconds() - before;
}

void RequestPath::countRecomputed(const PrefixChain& prompt, uint64_t cached_tokens) {
  const size_t cached_blocks = cached_tokens / prompt.block_size;
  for (size_t block = 0; block < prompt.blocks.size(); ++block) {
    const bool is_new = computed_blocks_.insert(prompt.blocks[block]).second;
    if (block >= cached_blocks && !is_new) {
      recomputed_tokens_ += prompt.block_size;
    }
  }
}

void RequestPath::eject(NodeIndex node, EngineIndex engine) {
  const BackEndId& id = topology_.engines[engine];
  tellRouter(node, routing::EngineEjectionChanged{id, true});
  queue_.scheduleAfter(settings_.ejection, [this, node, life = control_.life(node), &id] {
    if (control_.life(node) == life) {
      tellRouter(node, routing::EngineEjectionChanged{id, false});
    }
  });
}

void RequestPath::onFinished(AttemptId id, uint64_t cached_tokens) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) {
    return;
  }
  const Attempt attempt = entry->second;
  const OpenRequest& open = *open_.at(attempt.request);
  const uint64_t total = open.request.maximum_output_tokens;
  Usage usage;
  usage.prompt_tokens = open.request.prompt.size();
  usage.cached_tokens = cached_tokens;
  usage.completion_tokens = total;
  countRecomputed(open.request.prompt, cached_tokens);
  feedTokens(id, total - attempt.from_offset);
  endAttempt(id, usage);
  feed(attempt.request, streams::EngineEnd{attempt.number, total, FinishReason::kLength, usage});
}

void RequestPath::onAttemptLost(AttemptId id, uint64_t tokens, ErrorCode code) {
  const auto entry = attempts_.find(id);
  if (entry == attempts_.end()) {
    return;
  }
  feedTokens(id, tokens);
  const Attempt attempt = attempts_.at(id);
  endAttempt(id, std::nullopt);
  eject(attempt.node, attempt.engine);
  feed(attempt.request,
       streams::EngineLost{attempt.number, Error{code, "the engine is gone", Execution::kUnknown}});
}

}  // namespace quincewick::simulation
