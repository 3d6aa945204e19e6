#include "config/configplan.h"

#include "config/parse.h"
#include "config/versioneddocument.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using nlohmann::json;

TEST_GROUP(PlanTest)
{
    json base = json::parse(R"({"version": 3, "base": 2, "weightStoreGbPerSecond": 2.0,
        "halls": [{"id": "north", "region": "centre"}],
        "accounts": [{"id": "bids", "share": 1.0, "homeHall": "north"}],
        "models": [{"name": "bid", "version": "v1", "weightGb": 50.0, "minServing": 2}]})");

    static InstanceList threeReplicas()
    {
        InstanceList list;
        for (const char *name : {"bid-1", "bid-2", "bid-3"}) {
            InstanceRecord record;
            record.id = InstanceId(name);
            record.hall = HallId("north");
            record.serves = {TargetName("bid")};
            list.instances.push_back(record);
        }
        return list;
    }
};

TEST(PlanTest, ChangesOnlyTheShare)
{
    const auto plan = makePlan(base, ShareIntent{AccountId("bids"), 4.0}, std::nullopt);

    CHECK_EQUAL(1U, plan->changes.size());
    CHECK_EQUAL(4.0, plan->document["accounts"][0]["share"].get<double>());
    CHECK_EQUAL(4U, plan->document["version"].get<std::uint64_t>());
    CHECK_EQUAL(3U, plan->document["base"].get<std::uint64_t>());
}

TEST(PlanTest, EstimatesCostOfModelVersionChange)
{
    const auto plan = makePlan(base, ModelVersionIntent{TargetName("bid"), "v2"}, threeReplicas());

    DOUBLES_EQUAL(150.0, plan->cost.movedGigabytes, 1e-9);
    DOUBLES_EQUAL(75.0, plan->cost.weightStoreSeconds, 1e-9);
    DOUBLES_EQUAL(1.0 / 3.0, plan->cost.capacityLostPart, 1e-9);
}

TEST(PlanTest, RejectsUnknownHall)
{
    const auto plan = makePlan(base, DrainHallIntent{HallId("south"), true}, std::nullopt);

    CHECK(plan.error().kind == PlanError::Kind::UnknownName);
}

TEST(PlanTest, RejectsIntentWithoutChange)
{
    const auto plan = makePlan(base, ShareIntent{AccountId("bids"), 1.0}, std::nullopt);

    CHECK(plan.error().kind == PlanError::Kind::NoChange);
}

TEST(PlanTest, RejectsSecondOfTwoConcurrentPlans)
{
    const auto first = makePlan(base, ShareIntent{AccountId("bids"), 4.0}, std::nullopt);
    const auto second = makePlan(base, DrainHallIntent{HallId("north"), true}, std::nullopt);
    const auto published = confirmPlan(*first, first->digest, base);

    const auto refused = confirmPlan(*second, second->digest, *published);

    CHECK(published.has_value());
    CHECK(refused.error().kind == PlanError::Kind::BaseChanged);
    // If the second plan's document is published by hand nevertheless, processes that hold the
    // first one reject it: both have version 4, because both are based on version 3.
    VersionedDocument process;
    process.accept(*published);
    CHECK(process.accept(second->document) == UpdateResult::Conflict);
}

TEST(PlanTest, RejectsDigestOfAnotherPlan)
{
    const auto plan = makePlan(base, ShareIntent{AccountId("bids"), 4.0}, std::nullopt);

    CHECK(confirmPlan(*plan, plan->digest + 1, base).error().kind == PlanError::Kind::WrongDigest);
}

TEST(PlanTest, RejectsChangedHomeHall)
{
    json moved = base;
    moved["halls"].push_back(json::parse(R"({"id": "south", "region": "centre"})"));
    moved["accounts"][0]["homeHall"] = "south";

    CHECK_EQUAL(1U, transitionFaults(*readConfig(base), *readConfig(moved)).size());
}

TEST(PlanTest, PlanSurvivesJsonRoundTrip)
{
    const auto plan = makePlan(base, ShareIntent{AccountId("bids"), 4.0}, std::nullopt);

    const auto read = planFromJson(planToJson(*plan));

    CHECK(read->document == plan->document);
    CHECK_EQUAL(plan->digest, read->digest);
    CHECK_FALSE(planFromJson(json::object()).has_value());
}
