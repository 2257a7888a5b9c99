#include "gateway/peer_digest.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace quincewick::gateway {
namespace {

TEST_CASE("a digest decodes to what was encoded, and truncated digests are refused") {
  CHECK(rc::check([] {
    PeerDigest digest;
    digest.address = {"10.0.0.1", 7340};
    LoadPart load = {1, 2, {}};
    for (int count = 0; count < *rc::gen::inRange(0, 20); ++count) {
      load.loads.push_back({*rc::gen::arbitrary<uint64_t>(), *rc::gen::arbitrary<uint16_t>(), 7});
    }
    digest.load = *rc::gen::arbitrary<bool>() ? std::optional(load) : std::nullopt;
    digest.has_updates = *rc::gen::arbitrary<bool>();
    digest.placements.push_back({*rc::gen::arbitrary<uint64_t>(), {{1, 2}, {3, 4}}});
    digest.zone = "z";
    digest.is_zone_reader = *rc::gen::arbitrary<bool>();
    digest.seeks_reader = *rc::gen::arbitrary<bool>();
    digest.dead_stores = *rc::gen::arbitrary<std::vector<uint64_t>>();
    digest.zones.push_back({"y", load});
    digest.engines.push_back({1, 2, *rc::gen::arbitrary<uint64_t>(), 3500});
    digest.capabilities.push_back({5, {31'000, *rc::gen::arbitrary<uint16_t>(), 9}});
    const std::string bytes = encodeDigest(digest);
    const auto read = decodeDigest(bytes);
    RC_ASSERT(read.has_value());
    RC_ASSERT(read.value().address == digest.address);
    RC_ASSERT(read.value().zone == digest.zone);
    RC_ASSERT(read.value().dead_stores == digest.dead_stores);
    RC_ASSERT(read.value().zones[0].load.part == 1);
    RC_ASSERT(read.value().zones[0].load.parts == 2);
    RC_ASSERT(read.value().zones[0].load.loads.size() == load.loads.size());
    RC_ASSERT(read.value().is_zone_reader == digest.is_zone_reader);
    RC_ASSERT(read.value().seeks_reader == digest.seeks_reader);
    RC_ASSERT(read.value().has_updates == digest.has_updates);
    RC_ASSERT(read.value().load.has_value() == digest.load.has_value());
    const bool has_all = !digest.load || read.value().load->loads.size() == load.loads.size();
    RC_ASSERT(has_all);
    RC_ASSERT(read.value().placements[0].keys == digest.placements[0].keys);
    RC_ASSERT(read.value().engines[0].version == digest.engines[0].version);
    RC_ASSERT(read.value().capabilities[0].capability == digest.capabilities[0].capability);
    const size_t kept = *rc::gen::inRange<size_t>(0, bytes.size());
    RC_ASSERT(decodeDigest(std::string_view(bytes).substr(0, kept)).has_error());
  }));
}

TEST_CASE("a digest with an impossibly fast engine is refused completely") {
  PeerDigest digest;
  digest.capabilities.push_back({5, {0, 100, 9}});
  CHECK(decodeDigest(encodeDigest(digest)).has_error());
}

TEST_CASE("loads are split into parts within the limit, and none is lost") {
  CHECK(rc::check([] {
    std::vector<LoadDigest> loads(*rc::gen::inRange<size_t>(0, 700));
    uint64_t last = 0;
    for (LoadDigest& load : loads) {
      last += *rc::gen::inRange<uint64_t>(1, uint64_t{1} << 50);  // hashes of servers differ
      load.server = last;
    }
    const std::vector<LoadPart> parts = splitIntoParts(loads, 65);
    size_t sum = 0;
    for (size_t index = 0; index < parts.size(); ++index) {
      RC_ASSERT(parts[index].part == index);
      RC_ASSERT(parts[index].parts == parts.size());
      RC_ASSERT(parts[index].loads.size() <= 65U);
      sum += parts[index].loads.size();
    }
    RC_ASSERT(sum == loads.size());
    RC_ASSERT(!parts.empty());
  }));
}

TEST_CASE("loads of servers with equal hashes share one part, however many they are") {
  const std::vector<LoadDigest> loads(200, LoadDigest{7, 1, 1});
  size_t largest = 0;
  for (const LoadPart& part : splitIntoParts(loads, 65)) {
    largest = std::max(largest, part.loads.size());
  }
  CHECK(largest == 200);
}

TEST_CASE("untrusted bytes are decoded without allocating memory for the sizes that they claim") {
  CHECK(rc::check([] {
    const std::string bytes = *rc::gen::arbitrary<std::string>();
    const auto read = decodeDigest(bytes);
    const bool is_bounded = read.has_error() || !read.value().load || read.value().load->loads.size() <= 512;
    RC_ASSERT(is_bounded);
  }));
}

}  // namespace
}  // namespace quincewick::gateway
