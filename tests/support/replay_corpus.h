// Replays a fuzzer's corpus in an ordinary test program.
#pragma once

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

// The entry point of the fuzzer that is linked into the test program.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size);  // NOLINT

namespace quincewick::testing {

// Runs the fuzzer on every file of the folder and returns the number of files. The fuzzer aborts on a fault.
inline int replayCorpus(const std::string& folder) {
  int inputs = 0;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    std::ifstream file(entry.path(), std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(file), {}};
    LLVMFuzzerTestOneInput(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
    ++inputs;
  }
  return inputs;
}

}  // namespace quincewick::testing
