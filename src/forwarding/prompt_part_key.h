// Identifies the parts of prompts that requests share.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "forwarding/request_facts.h"
#include "types/strong_id.h"

namespace quincewick::forwarding {

// A hash of the model's name and the part's id. Callers choose the ids, so that two of them can name the same
// part on purpose.
using PartKey = StrongNumber<struct PartKeyTag>;

// Parts of one prompt that are told apart; those after them are ignored.
inline constexpr size_t kMaxSharedParts = 32;

// The parts that other requests may share, in the prompt's order, each once: all but the last one, which
// belongs to the request or its session.
std::vector<PartKey> sharedPartsOf(const ModelName& model, const std::vector<PromptPart>& prompt);

// 16 hexadecimal digits each, separated by commas.
std::string printParts(const std::vector<PartKey>& parts);
// Returns an empty list unless `text` is exactly what printParts writes.
std::vector<PartKey> parseParts(const std::string& text);

}  // namespace quincewick::forwarding
