#include "decision/expertmap/groupmembership.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

const GroupId kOwn("north");
const GroupId kOther("south");
const InstanceId kFirst("i-1");
const InstanceId kSecond("i-2");
const InstanceId kUnlisted("i-3");
constexpr Duration kGap = std::chrono::milliseconds(100);

} // namespace

TEST_GROUP(GroupMembershipTest)
{
    GroupMembership roster{kOwn};

    void setup() override
    {
        roster.setListed({kFirst, kSecond});
    }
};

TEST(GroupMembershipTest, FindsTheRankOfItsOwnGroupOnly)
{
    roster.note(kFirst, kOther, 3);
    roster.note(kSecond, kOwn, 3);
    CHECK_TRUE(roster.engineOf(3) == kSecond);
    CHECK_FALSE(roster.engineOf(4).has_value());
}

TEST(GroupMembershipTest, AsksEnginesOfOtherGroupsSeldom)
{
    roster.note(kFirst, kOther, 0);
    roster.note(kSecond, kOwn, 0);
    CHECK_TRUE(roster.gapFor(kFirst, kGap) >= std::chrono::seconds(1));
    CHECK_TRUE(roster.gapFor(kSecond, kGap) == kGap);
}

TEST(GroupMembershipTest, AsksAnEngineThatHasNotAnsweredAsOftenAsItsOwn)
{
    CHECK_TRUE(roster.gapFor(kFirst, kGap) == kGap);
    CHECK_FALSE(roster.isForeign(kFirst));
}

TEST(GroupMembershipTest, FollowsAnEngineIntoItsGroup)
{
    roster.note(kFirst, kOther, 2);
    roster.note(kFirst, kOwn, 5);
    CHECK_TRUE(roster.engineOf(5) == kFirst);
    CHECK_FALSE(roster.isForeign(kFirst));
    roster.note(kFirst, kOther, 2);
    CHECK_FALSE(roster.engineOf(5).has_value());
}

TEST(GroupMembershipTest, SuccessorTakesTheRankOfAnEngineThatIsStillListed)
{
    roster.note(kFirst, kOwn, 1);
    roster.note(kSecond, kOwn, 1);
    CHECK_TRUE(roster.engineOf(1) == kSecond);
}

TEST(GroupMembershipTest, ForgetsWhatIsNoLongerListed)
{
    roster.note(kFirst, kOwn, 1);
    roster.setListed({kSecond});
    CHECK_FALSE(roster.engineOf(1).has_value());
    roster.note(kUnlisted, kOwn, 1);
    CHECK_FALSE(roster.engineOf(1).has_value());
}
