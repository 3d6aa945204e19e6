#include "decision/expertmap/mapversion.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(MapVersionTest){};

TEST(MapVersionTest, EncodesRankThatIsArmedLast)
{
    for (const std::uint32_t rank : {0U, 1U, 23U, 128U, 319U, 1022U}) {
        const std::uint64_t version = mapVersionAbove(5000, rank);
        CHECK_TRUE(version > 5000);
        CHECK_TRUE(rankArmedLast(version) == rank);
    }
}

TEST(MapVersionTest, EncodesNoRank)
{
    CHECK_FALSE(rankArmedLast(mapVersionAbove(5000, std::nullopt)).has_value());
    CHECK_FALSE(rankArmedLast(0).has_value()); // The first map of an epoch.
}

// Changes decided on by such a rank cannot be cleared without it.
TEST(MapVersionTest, DoesNotEncodeRankBeyondRange)
{
    CHECK_FALSE(rankArmedLast(mapVersionAbove(5000, 1023)).has_value());
    CHECK_FALSE(rankArmedLast(mapVersionAbove(5000, 4096)).has_value());
}

TEST(MapVersionTest, IsGreaterThanAnyGivenVersion)
{
    for (std::uint64_t lowest = 0; lowest < 5000; ++lowest) {
        CHECK_TRUE(mapVersionAbove(lowest, 7) > lowest);
        CHECK_TRUE(mapVersionAbove(lowest, std::nullopt) > lowest);
    }
}
