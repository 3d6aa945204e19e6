// Tests that upstreams get requests only with permits while they warm up after a restart, or warm
// up again; a single one or a whole service at once.
#include "decision/gateway/warmuplimits.h"

#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/routekinds.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using seamarch::testing::Kind;
using seamarch::testing::tableFor;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

UpstreamRecord record(const std::string &id, int warmAt)
{
    UpstreamRecord record;
    record.id = InstanceId(id);
    record.service = TargetName("service");
    record.hall = HallId("north");
    record.slots = 10;
    record.warmAt = at(warmAt);
    return record;
}

std::vector<ServiceRule> servicesWithWarmUpRate(double perSecond)
{
    ServiceRule service;
    service.name = TargetName("service");
    service.warmUp = std::chrono::seconds(3);
    service.warmUpRate = RequestRate(perSecond);
    return {service};
}

} // namespace

TEST_GROUP(WarmUpLimitsTest)
{
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;

    void setup() override
    {
        GatewayCore::Settings settings;
        settings.hall = HallId("north");
        settings.seed = 1;
        core = std::make_unique<GatewayCore>(settings);
        core->warmUps().setServices(servicesWithWarmUpRate(26.0));
    }

    const StartAttempt *begin(Kind kind, int now)
    {
        actions.clear();
        GatewayRequest request;
        request.table = tableFor(kind);
        request.route = request.table->match("x", "/");
        request.deadline = std::chrono::seconds(8);
        core->begin(request, at(now), actions);
        return actions.empty() ? nullptr : std::get_if<StartAttempt>(&actions.back());
    }
};

TEST(WarmUpLimitsTest, WarmUpstreamHasNoLimit)
{
    WarmUpLimits limits;
    limits.setServices(servicesWithWarmUpRate(26.0));
    CHECK_FALSE(limits.limitOf(record("one", 1000), at(1000)).has_value());
    CHECK_TRUE(limits.limitOf(record("one", 1000), at(999)).has_value());
}

TEST(WarmUpLimitsTest, ServiceWithoutARateHasNoLimit)
{
    WarmUpLimits limits;
    limits.setServices(servicesWithWarmUpRate(0.0));
    CHECK_FALSE(limits.limitOf(record("one", 1000), at(0)).has_value());
}

TEST(WarmUpLimitsTest, RequestsWithoutAPermitAvoidAWarmingUpstream)
{
    core->upstreams().put(record("one", 5000));
    core->upstreams().put(record("two", 0));
    for (const Kind kind : {Kind::AtMostOnce, Kind::Repeatable, Kind::Stream}) {
        for (int count = 0; count < 4; ++count) {
            const StartAttempt *sent = begin(kind, 10);
            CHECK_TRUE(sent != nullptr && sent->upstream.id == InstanceId("two"));
        }
    }
}

TEST(WarmUpLimitsTest, PermitAdmitsOneRequest)
{
    core->upstreams().put(record("one", 5000));
    CHECK_TRUE(begin(Kind::Repeatable, 10) == nullptr);
    const auto queries = core->takePermitQueries(at(10));
    UNSIGNED_LONGS_EQUAL(1, queries.size());
    actions.clear();
    core->onPermits(queries[0].upstream, {1, Duration{}}, at(10), at(14), actions);
    UNSIGNED_LONGS_EQUAL(1, actions.size());
    CHECK_TRUE(begin(Kind::Repeatable, 15) == nullptr);
}

TEST(WarmUpLimitsTest, WarmedUpUpstreamNeedsNoPermit)
{
    core->upstreams().put(record("one", 5000));
    CHECK_TRUE(begin(Kind::Repeatable, 4999) == nullptr);
    CHECK_TRUE(begin(Kind::Repeatable, 5000) != nullptr);
}

TEST(WarmUpLimitsTest, RequestQueriesFewIssuersWhileAWholeServiceWarmsUp)
{
    for (int index = 0; index < 72; ++index) {
        core->upstreams().put(record(fmt::format("i-{}", index), 5000));
    }
    CHECK_TRUE(begin(Kind::Stream, 10) == nullptr);
    CHECK_TRUE(core->takePermitQueries(at(10)).size() <= 2);
}
