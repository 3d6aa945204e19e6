// The role of decider when agents die, freeze and resume.
#include "decision/expertmap/deciderrole.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Duration kQueryInterval = std::chrono::milliseconds(115); // 72 ranks at 8 Mbit/s.

TimePoint at(int millis)
{
    return TimePoint(std::chrono::seconds(10) + std::chrono::milliseconds(millis));
}

// The agent of `rank`, started long ago and last queried by the agent of rank `decider` at 0 ms.
DeciderRoleInputs agentOf(std::uint32_t rank, std::uint32_t decider, int nowMillis)
{
    DeciderRoleInputs inputs;
    inputs.startedAt = TimePoint{};
    inputs.now = at(nowMillis);
    inputs.ownRank = rank;
    inputs.queryInterval = kQueryInterval;
    inputs.other = OtherDecider{decider, at(0)};
    return inputs;
}

} // namespace

TEST_GROUP(DeciderRoleTest){};

// At 72 ranks, the timeout grew by 10 ms a rank, and a frozen decider was replaced after 1.5 s.
TEST(DeciderRoleTest, NextRankReplacesFrozenDeciderWithinOneSecond)
{
    CHECK_FALSE(shouldDecide(agentOf(1, 0, 400)));
    CHECK_TRUE(shouldDecide(agentOf(1, 0, 950)));
    CHECK_FALSE(shouldDecide(agentOf(2, 0, 950)));
}

TEST(DeciderRoleTest, ReplacesFrozenDeciderSoonerWhileStepIsHeld)
{
    DeciderRoleInputs inputs = agentOf(1, 0, 400);
    inputs.engineHoldsStep = true;
    CHECK_TRUE(shouldDecide(inputs));
}

TEST(DeciderRoleTest, WaitsForSeveralQueriesOnSlowLink)
{
    const Duration slow = std::chrono::milliseconds(280); // 129 ranks at 6 Mbit/s.
    CHECK_TRUE(deciderTimeout(slow, false) >= 5 * slow);
    CHECK_TRUE(deciderTimeout(slow, true) >= 3 * slow);
}

TEST(DeciderRoleTest, DeciderLeavesRoleToLowerRank)
{
    DeciderRoleInputs inputs = agentOf(1, 0, 100);
    inputs.isDecider = true;
    CHECK_FALSE(shouldDecide(inputs));
    inputs.other->rank = 2;
    CHECK_TRUE(shouldDecide(inputs));
}

// A machine that resumed took the role back at once. Its orders were refused and cleared, and the
// map of before the freeze stayed in use for another second.
TEST(DeciderRoleTest, LeavesRoleToLiveDeciderOfHigherRank)
{
    CHECK_FALSE(shouldDecide(agentOf(0, 1, 100)));
    CHECK_TRUE(shouldDecide(agentOf(0, 1, 700)));
}

TEST(DeciderRoleTest, AgentThatStoodStillWaitsForDeciderInCharge)
{
    CHECK_TRUE(hasStoodStill(at(0), at(4000), kQueryInterval));
    CHECK_FALSE(hasStoodStill(at(0), at(200), kQueryInterval)); // A tick that planned a map.
    CHECK_FALSE(hasStoodStill(TimePoint{}, at(4000), kQueryInterval));
    DeciderRoleInputs resumed = agentOf(0, 1, 4000);
    resumed.startedAt = at(4000);
    CHECK_FALSE(shouldDecide(resumed));
    resumed.now = at(4700); // Nobody has taken over in the meantime.
    CHECK_TRUE(shouldDecide(resumed));
}
