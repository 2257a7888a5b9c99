#include <catch2/catch.hpp>

#include "tests/support/replay_corpus.h"

TEST_CASE("the messages kept from fuzzing do no harm") {
  CHECK(quincewick::testing::replayCorpus(QUINCEWICK_CORPUS) > 20);
}
