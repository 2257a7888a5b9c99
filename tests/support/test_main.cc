// The main function of every test program. Property tests get a fixed seed, so that each run gives the same
// result.
#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <cstdlib>

int main(int argc, char* argv[]) {
  // RapidCheck reads its seed from the environment; a value that is already set is kept.
  constexpr int keep_existing = 0;
  setenv("RC_PARAMS", "seed=20261202", keep_existing);
  return Catch::Session().run(argc, argv);
}
