#include "decision/gateway/demandsite.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace seamarch;
using namespace std::chrono_literals;

TEST_GROUP(DemandExchangeTest){};

TEST(DemandExchangeTest, CallersAtOneGatewayOfFourGetTheUnusedPlacesOfTheOthers)
{
    DemandSite site(1, 4, 10.0);
    site.gateways[2].inFlight = 10;
    site.gateways[2].queued = 40;
    site.run(1s);
    DOUBLES_EQUAL(40.0, site.shareOf(2).value_or(-1.0), 0.5);
    DOUBLES_EQUAL(0.0, site.shareOf(1).value_or(-1.0), 0.5);
}

TEST(DemandExchangeTest, CallersAtOneHallGetTheUnusedPlacesOfTheOthers)
{
    DemandSite site(3, 4, 10.0);
    for (std::size_t index = 4; index < 8; ++index) {
        site.gateways[index].inFlight = 10;
        site.gateways[index].queued = 40;
    }
    site.run(2s);
    for (std::size_t index = 4; index < 8; ++index) {
        DOUBLES_EQUAL(30.0, site.shareOf(index).value_or(-1.0), 0.5);
    }
}

TEST(DemandExchangeTest, ACutBetweenHallsLeavesEachSideTheLimitsItHeldThen)
{
    DemandSite site(3, 4, 10.0);
    site.gateways[1].queued = 200;
    site.run(2s);
    site.cut = [](std::size_t left, std::size_t right) { return (left < 4) != (right < 4); };
    for (auto &gateway : site.gateways) {
        gateway.queued = 100; // More than there is, on both sides.
    }
    site.run(2s);
    CHECK_TRUE(site.shares(0, 4) <= site.limits(0, 4) + 0.001);
    CHECK_TRUE(site.shares(4, 12) <= site.limits(4, 12) + 0.001);
}

TEST(DemandExchangeTest, AGatewayThatStartsAgainHasNoShareUntilItWasHeard)
{
    DemandSite site(1, 4, 10.0);
    site.gateways[0].queued = 100;
    site.run(1s);
    site.start(1);
    site.step();
    CHECK_FALSE(site.shareOf(1).has_value());
    site.run(1s);
    CHECK_TRUE(site.shareOf(1).has_value());
    CHECK_TRUE(site.shares(0, 4) <= 40.001);
}

TEST(DemandExchangeTest, TheFirstGatewayHearsAllOthersAgainAfterItStartsAgain)
{
    DemandSite site(1, 4, 10.0);
    site.gateways[1].queued = 100;
    site.run(1s);
    site.start(0);
    for (int step = 0; step < 40; ++step) {
        site.step();
        CHECK_TRUE(site.shares(1, 4) <= 40.001);
    }
    DOUBLES_EQUAL(40.0, site.shareOf(1).value_or(0.0), 0.5);
}

TEST(DemandExchangeTest, AGatewayThatStoodStillHasNoShareWhenItWakes)
{
    DemandSite site(1, 4, 10.0);
    site.run(1s);
    CHECK_TRUE(site.shareOf(1).has_value());
    site.gateways[1].silent = true;
    site.run(1s);
    CHECK_FALSE(site.shareOf(1).has_value());
}

TEST(DemandExchangeTest, AGatewayThatIsCutFromItsHallHasNoShare)
{
    DemandSite site(2, 4, 10.0);
    site.run(1s);
    site.cut = [](std::size_t left, std::size_t right) { return left == 1 || right == 1; };
    site.run(1s);
    CHECK_FALSE(site.shareOf(1).has_value());
    CHECK_TRUE(site.shareOf(2).has_value());
}

TEST(DemandExchangeTest, AGatewayOfAnEarlierVersionKeepsItsLimit)
{
    DemandSite site(1, 4, 10.0);
    site.gateways[3].silent = true;
    site.gateways[1].queued = 100;
    site.run(1s);
    CHECK_FALSE(site.shareOf(3).has_value());
    CHECK_TRUE(site.shares(0, 3) <= 30.001);
}

TEST(DemandExchangeTest, AHallWhoseFirstGatewayIsOfAnEarlierVersionHasNoShares)
{
    DemandSite site(2, 4, 10.0);
    site.gateways[0].silent = true;
    site.run(1s);
    CHECK_FALSE(site.shareOf(1).has_value());
    CHECK_TRUE(site.shareOf(5).has_value());
}

TEST(DemandExchangeTest, LostStatementsAreRequestedAgain)
{
    DemandSite site(2, 4, 10.0);
    std::mt19937 random(1);
    site.lost = [&random] { return random() % 2 == 0; };
    site.gateways[1].queued = 100;
    site.run(1s);
    site.lost = nullptr;
    site.run(2s);
    DOUBLES_EQUAL(80.0, site.shareOf(1).value_or(-1.0), 0.5);
}

TEST(DemandExchangeTest, AChangeThatWasLostIsStatedAgain)
{
    DemandSite site(1, 4, 10.0);
    site.run(1s);
    site.lost = [] { return true; };
    site.gateways[1].limit = 30.0;
    site.run(400ms);
    site.lost = nullptr;
    site.gateways[2].queued = 100;
    site.run(2s);
    DOUBLES_EQUAL(60.0, site.shareOf(2).value_or(-1.0), 0.5);
}

TEST(DemandExchangeTest, CallersWhoQueueEverywhereAtOnceAreNotGivenMoreThanThereIs)
{
    DemandSite site(3, 4, 10.0);
    site.gateways[1].queued = 200;
    site.run(4s);
    for (auto &gateway : site.gateways) {
        gateway.queued = 100;
    }
    for (int step = 0; step < 60; ++step) {
        site.step();
        CHECK_TRUE(site.shares(0, 12) <= 120.001);
    }
}

TEST(DemandExchangeTest, SharesOnBothSidesOfACutStayUnderTheLimitsStatedBeforeIt)
{
    DemandSite site(3, 4, 10.0);
    site.gateways[1].queued = 200;
    site.run(4s);
    site.cut = [](std::size_t left, std::size_t right) { return (left < 4) != (right < 4); };
    for (auto &gateway : site.gateways) {
        gateway.queued = 100;
    }
    for (int step = 0; step < 60; ++step) {
        site.step();
        CHECK_TRUE(site.shares(0, 12) <= 120.001);
    }
}

TEST(DemandExchangeTest, AGatewayWhereCallersQueueGetsItsPartOfUnusedPlacesAtOnceAndTheRestSoon)
{
    DemandSite site(1, 4, 10.0);
    site.run(2s);
    site.gateways[1].queued = 20;
    site.step();
    CHECK_TRUE(site.shareOf(1).value_or(-1.0) >= 9.9);
    site.run(2s);
    CHECK_TRUE(site.shareOf(1).value_or(-1.0) > 20.0);
}

TEST(DemandExchangeTest, LateAndRepeatedStatementsAreIgnored)
{
    DemandSite site(1, 2, 10.0);
    site.gateways[1].queued = 5;
    site.run(1s);
    DemandTable &table = site.gateways[0].exchange->table();
    const double share = *site.shareOf(0);
    const GroupDemand late{DemandSite::kService, DemandSite::kGroup, 1, 50, 50, 90.0};
    table.mergeGateway(site.gateways[1].peer.id, {late}, site.now - 900ms);
    DOUBLES_EQUAL(share, *site.shareOf(0), 0.001);
}

TEST(DemandExchangeTest, DemandThatDoesNotChangeIsNotStatedAgain)
{
    DemandSite site(3, 4, 10.0);
    site.gateways[1].inFlight = 5;
    site.run(3s);
    site.statements = 0;
    site.run(5s);
    LONGS_EQUAL(0, site.statements);
    CHECK_TRUE(site.shareOf(1).has_value());
}

TEST(DemandExchangeTest, ADamagedStatementIsIgnored)
{
    const DemandMessage message{DemandScope::Hall,
                                true,
                                {{DemandSite::kService, DemandSite::kGroup, 7, 300, 20, 99.5},
                                 {DemandSite::kService, DemandSite::kGroup, 4, 3, 0, 12.0}}};
    const auto bytes = encodeDemand(message);
    CHECK_TRUE(decodeDemand(bytes) == message);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        CHECK_FALSE(decodeDemand(std::span(bytes).first(size)).has_value());
    }
}

TEST(DemandExchangeTest, SharesAddUpToAtMostTheLimitsAfterAnySchedule)
{
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        std::mt19937 engine(seed);
        const auto random = [&engine] { return static_cast<std::uint32_t>(engine()); };
        DemandSite site(1 + seed % 3, 1 + seed % 5, 0.0);
        const std::size_t count = site.gateways.size();
        site.lost = [&random] { return random() % 4 == 0; };
        for (int change = 0; change < 40; ++change) {
            auto &gateway = site.gateways[random() % count];
            gateway.inFlight = random() % 40;
            gateway.queued = random() % 3 == 0 ? random() % 60 : 0;
            gateway.limit = 3.0 + random() % 30;
            if (random() % 10 == 0) {
                site.start(random() % count);
            }
            const std::size_t hall = random() % count;
            const bool isCut = random() % 4 == 0;
            site.cut = [&site, hall, isCut](std::size_t left, std::size_t right) {
                const std::size_t first = site.gateways[hall].first;
                return isCut
                       && (site.gateways[left].first == first)
                              != (site.gateways[right].first == first);
            };
            site.run(std::chrono::milliseconds(50 + random() % 400));
        }
        site.lost = nullptr;
        site.run(3s); // Statements are of the same state then, on each side of a cut.
        CHECK_TEXT(site.shares(0, count) <= site.limits(0, count) + 0.001,
                   ("seed " + std::to_string(seed)).c_str());
    }
}
