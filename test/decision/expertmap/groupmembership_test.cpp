#include "decision/expertmap/groupmembership.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

const GroupId kOwn("north");
const GroupId kOther("south");
const InstanceId kFirst("i-1");
const InstanceId kSecond("i-2");
const InstanceId kUnlisted("i-3");
constexpr Duration kInterval = std::chrono::milliseconds(100);

} // namespace

TEST_GROUP(GroupMembershipTest)
{
    GroupMembership membership{kOwn};

    void setup() override
    {
        membership.setListed({kFirst, kSecond});
    }
};

TEST(GroupMembershipTest, FindsRankOfOwnGroupOnly)
{
    membership.recordMember(kFirst, kOther, 3);
    membership.recordMember(kSecond, kOwn, 3);
    CHECK_TRUE(membership.engineOf(3) == kSecond);
    CHECK_FALSE(membership.engineOf(4).has_value());
}

TEST(GroupMembershipTest, PollsEnginesOfOtherGroupsLessOften)
{
    membership.recordMember(kFirst, kOther, 0);
    membership.recordMember(kSecond, kOwn, 0);
    CHECK_TRUE(membership.pollIntervalFor(kFirst, kInterval) >= std::chrono::seconds(1));
    CHECK_TRUE(membership.pollIntervalFor(kSecond, kInterval) == kInterval);
}

TEST(GroupMembershipTest, PollsUnknownEngineAsOftenAsOwnGroup)
{
    CHECK_TRUE(membership.pollIntervalFor(kFirst, kInterval) == kInterval);
    CHECK_FALSE(membership.isInOtherGroup(kFirst));
}

TEST(GroupMembershipTest, FollowsEngineThatChangesGroup)
{
    membership.recordMember(kFirst, kOther, 2);
    membership.recordMember(kFirst, kOwn, 5);
    CHECK_TRUE(membership.engineOf(5) == kFirst);
    CHECK_FALSE(membership.isInOtherGroup(kFirst));
    membership.recordMember(kFirst, kOther, 2);
    CHECK_FALSE(membership.engineOf(5).has_value());
}

TEST(GroupMembershipTest, ReplacementTakesRankOfEngineStillListed)
{
    membership.recordMember(kFirst, kOwn, 1);
    membership.recordMember(kSecond, kOwn, 1);
    CHECK_TRUE(membership.engineOf(1) == kSecond);
}

TEST(GroupMembershipTest, DropsEnginesNoLongerListed)
{
    membership.recordMember(kFirst, kOwn, 1);
    membership.setListed({kSecond});
    CHECK_FALSE(membership.engineOf(1).has_value());
    membership.recordMember(kUnlisted, kOwn, 1);
    CHECK_FALSE(membership.engineOf(1).has_value());
}
