#include "decision/membership/linkplan.h"

#include <fmt/format.h>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(LinkPlanTest){// Lists `agents` agents of each of three models in each of nine halls.
                         static InstanceList listOf(int agents){InstanceList list;
for (int hall = 0; hall < 9; ++hall) {
    for (int model = 0; model < 3; ++model) {
        for (int index = 0; index < agents; ++index) {
            InstanceRecord record;
            record.id = InstanceId(fmt::format("m{}-h{}-{}", model, hall, index));
            record.hall = HallId(fmt::format("h{}", hall));
            record.serves = {TargetName(fmt::format("m{}", model))};
            list.instances.push_back(record);
        }
    }
}
return list;
}
}
;

TEST(LinkPlanTest, SmallSiteLinksAllAgents)
{
    CHECK_EQUAL(27U, chooseLinks(listOf(1), InstanceId("e"), HallId("h0"), {}).size());
}

TEST(LinkPlanTest, LargeSiteStaysWithinLinkBudget)
{
    const auto links = chooseLinks(listOf(28), InstanceId("e"), HallId("h0"), {});

    CHECK(links.size() <= 40);
    CHECK(links.size() >= 36);
}

TEST(LinkPlanTest, EveryAgentIsLinkedBySeveralLocalEntries)
{
    const InstanceList list = listOf(28);
    std::map<InstanceId, int> reached;
    for (int entry = 0; entry < 38; ++entry) {
        for (const InstanceId &agent :
             chooseLinks(list, InstanceId(fmt::format("e{}", entry)), HallId("h0"), {})) {
            ++reached[agent];
        }
    }
    for (const InstanceRecord &record : list.instances) {
        if (record.hall == HallId("h0")) {
            CHECK(reached[record.id] >= 4);
        }
    }
}

TEST(LinkPlanTest, RemovedAgentChangesFewLinks)
{
    InstanceList list = listOf(28);
    const auto before = chooseLinks(list, InstanceId("e"), HallId("h0"), {});
    list.instances.erase(list.instances.begin() + 3);

    const auto after = chooseLinks(list, InstanceId("e"), HallId("h0"), {});

    std::size_t kept = 0;
    for (const InstanceId &agent : after) {
        kept += before.contains(agent) ? 1 : 0;
    }
    CHECK(kept + 1 >= after.size());
}

TEST(LinkPlanTest, HeartbeatPeriodGrowsWithLinkCount)
{
    CHECK(heartbeatPeriod(9, std::chrono::milliseconds(500), {}) == std::chrono::milliseconds(500));
    CHECK(heartbeatPeriod(36, std::chrono::milliseconds(500), {}) == std::chrono::seconds(2));
}
