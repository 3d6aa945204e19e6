#include "experts/rankwire.h"

#include <capnp/message.h>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(RankWireTest){};

TEST(RankWireTest, FactsSurviveARoundTrip)
{
    RankFacts facts;
    facts.report = {3, 12, 2, true, 77, 5, 9, 9, 80, 4096, 2.5, GroupId("north")};
    facts.choices = ChoiceCounts{8, 7, {1.5F}, {1, 2, 255}};
    facts.experts = ExpertsOfRank{5, {{0, 12}, {1}}};
    capnp::MallocMessageBuilder message;
    auto state = message.initRoot<wire::RankState>();
    writeFacts(facts, state);
    const RankFacts read = readFacts(state.asReader());
    LONGS_EQUAL(3, read.report.rank);
    LONGS_EQUAL(12, read.report.ranks);
    LONGS_EQUAL(2, read.report.epoch);
    CHECK_TRUE(read.report.open);
    LONGS_EQUAL(77, read.report.step);
    LONGS_EQUAL(5, read.report.map);
    LONGS_EQUAL(9, read.report.prepared);
    LONGS_EQUAL(9, read.report.armed);
    LONGS_EQUAL(80, *read.report.held);
    LONGS_EQUAL(4096, read.report.fence);
    DOUBLES_EQUAL(2.5, read.report.pace, 1e-6);
    STRCMP_EQUAL("north", read.report.group.value().c_str());
    LONGS_EQUAL(8, read.choices->snapshotId);
    LONGS_EQUAL(7, read.choices->since);
    CHECK_TRUE(read.choices->scales == facts.choices->scales);
    CHECK_TRUE(read.choices->quantized == facts.choices->quantized);
    CHECK_TRUE(read.experts->bySet == facts.experts->bySet);
    LONGS_EQUAL(5, read.experts->mapVersion);
}

TEST(RankWireTest, OrdersSurviveARoundTrip)
{
    const ExpertMap map = {{{0, 1}, {2}}, {{3}, {4, 5}}};
    const MapOrder order{
        MapOrderKind::Prepare, 9, 80, 2, 4096, std::make_shared<const ExpertMap>(map),
        GroupId("north")};
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<wire::RankOrder>();
    writeOrder(order, to);
    const MapOrder read = *readOrder(to.asReader());
    CHECK_TRUE(read.kind == order.kind);
    LONGS_EQUAL(9, read.version);
    LONGS_EQUAL(80, read.step);
    LONGS_EQUAL(2, read.epoch);
    LONGS_EQUAL(4096, read.fence);
    CHECK_TRUE(*read.experts == *order.experts);
    STRCMP_EQUAL("north", read.group.value().c_str());
}

TEST(RankWireTest, OrderWithoutExpertsSurvivesARoundTrip)
{
    const MapOrder order{MapOrderKind::Hold, 9, 80, 2, 4096, {}, {}};
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<wire::RankOrder>();
    writeOrder(order, to);
    const auto read = readOrder(to.asReader());
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(read->experts == nullptr);
}

TEST(RankWireTest, PacksTheMapOfALargeGroupCompactly)
{
    constexpr std::uint16_t kSets = 8;
    constexpr std::uint16_t kRanks = 63;
    constexpr std::uint16_t kExperts = 252;
    ExpertMap map(kSets, RankExperts(kRanks));
    for (RankExperts &placement : map) {
        for (std::uint16_t expert = 0; expert < kExperts; ++expert) {
            placement[expert % kRanks].push_back(expert);
        }
    }
    const auto bytes = packExperts(map);
    CHECK_TRUE(bytes.size() < 3000);
    CHECK_TRUE(*unpackExperts(bytes) == map);
}

TEST(RankWireTest, RejectsATruncatedOrExtendedMap)
{
    const auto bytes = packExperts({{{0, 200}, {300}}, {{1}, {2}}});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(unpackExperts({bytes.data(), size}).has_value());
    }
    auto longer = bytes;
    longer.push_back(0);
    CHECK_FALSE(unpackExperts(longer).has_value());
}

TEST(RankWireTest, RejectsNumbersAboveTheLimit)
{
    const std::vector<std::uint8_t> huge = {0xFF, 0xFF, 0xFF, 0xFF, 0x0F};
    CHECK_FALSE(unpackExperts(huge).has_value());
}
