// The text that emulated engines answer: a function of the model and the prompt alone, so that every reader
// can check an answer and every engine can go on where another stopped.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace quincewick::emulator {

// Names the answer to a prompt.
uint64_t answerSeed(std::string_view model, std::string_view prompt);

// The number of tokens after which the answer ends by itself.
uint32_t answerLength(uint64_t seed);

// The token at `offset` (from 0): a short word with a leading space, except the first.
std::string answerToken(uint64_t seed, uint64_t offset);

// The answer cut to `maximum_tokens`.
std::string answerText(uint64_t seed, uint32_t maximum_tokens);

}  // namespace quincewick::emulator
