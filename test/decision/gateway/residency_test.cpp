// Tests that requests restricted to regions by their route or client account are sent only to
// upstreams in these regions, while upstreams reject requests, fail, break streams, stop
// responding, start and stop, and halls are drained.
#include "decision/gateway/residency.h"

#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/routekinds.h"

#include <array>
#include <cstdlib>
#include <fmt/format.h>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using seamarch::testing::Kind;
using seamarch::testing::tableFor;

namespace {

const RegionId kCentre("centre");
const RegionId kCoast("coast");

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

UpstreamRecord record(const std::string &id, const std::string &hall)
{
    UpstreamRecord record;
    record.id = InstanceId(id);
    record.service = TargetName("service");
    record.hall = HallId(hall);
    record.slots = 4;
    record.start = UpstreamStart(1);
    return record;
}

Residency restrictedTo(const std::vector<RegionId> &regions)
{
    Residency residency;
    residency.restrictTo(regions);
    return residency;
}

} // namespace

TEST_GROUP(ResidencyTest)
{
    std::unique_ptr<GatewayCore> core;
    GatewayActions actions;
    const HallRegions regions{
        {HallId("north"), kCentre}, {HallId("south"), kCoast}, {HallId("west"), kCoast}};

    void setup() override
    {
        start(1);
    }

    void start(std::uint64_t seed)
    {
        GatewayCore::Settings settings;
        settings.hall = HallId("north");
        settings.regions = regions;
        settings.seed = seed;
        settings.retries = {0.2, 88.0};
        core = std::make_unique<GatewayCore>(settings);
        for (const auto &[id, hall] : listed()) {
            core->upstreams().put(record(id, hall));
        }
    }

    static std::map<std::string, std::string> listed()
    {
        return {{"n-1", "north"},
                {"n-2", "north"},
                {"s-1", "south"},
                {"w-1", "west"},
                {"x-1", "unknown"}};
    }

    RequestNumber begin(Kind kind, const Residency &residency, int now)
    {
        actions.clear();
        GatewayRequest request;
        request.table = tableFor(kind);
        request.route = request.table->match("x", "/");
        request.deadline = std::chrono::seconds(8);
        request.residency = residency;
        return core->begin(request, at(now), actions);
    }

    const RejectRequest *rejection() const
    {
        const auto *found = actions.empty() ? nullptr : std::get_if<RejectRequest>(&actions.back());
        return found;
    }
};

TEST(ResidencyTest, NoRestrictionAllowsEveryRegion)
{
    CHECK_TRUE(restrictedTo({}).allows(kCoast));
    CHECK_TRUE(restrictedTo({}).allows(RegionId()));
}

TEST(ResidencyTest, RestrictionsIntersect)
{
    Residency residency = restrictedTo({kCentre, kCoast});
    residency.restrictTo({});
    residency.restrictTo({kCoast, RegionId("hills")});
    CHECK_TRUE(residency.allows(kCoast));
    CHECK_FALSE(residency.allows(kCentre));
    CHECK_FALSE(residency.allows(RegionId("hills")));
    residency.restrictTo({kCentre});
    CHECK_FALSE(residency.allows(kCoast));
    CHECK_FALSE(residency.isUnrestricted());
}

TEST(ResidencyTest, UnknownRegionIsNotAllowed)
{
    CHECK_FALSE(restrictedTo({kCoast}).allows(RegionId()));
}

TEST(ResidencyTest, RequestWithoutAnUpstreamInItsRegionsIsRejectedAtOnce)
{
    for (const Kind kind : {Kind::AtMostOnce, Kind::Repeatable, Kind::Stream}) {
        begin(kind, restrictedTo({RegionId("hills")}), 0);
        CHECK_TRUE(rejection() != nullptr);
        CHECK_TRUE(rejection()->failure == FailureCode::NoUpstreamInRegions);
        CHECK_TRUE(rejection()->outcome == Outcome::NotRun);
        CHECK_TRUE(rejection()->retryAfter > Duration{});
    }
}

TEST(ResidencyTest, RequestIsRejectedAtOnceWhileTheOnlyHallOfItsRegionIsDrained)
{
    core->upstreams().setDrainedHalls({HallId("north")});
    begin(Kind::Stream, restrictedTo({kCentre}), 0);
    CHECK_TRUE(rejection()->failure == FailureCode::NoUpstreamInRegions);
    begin(Kind::Stream, Residency(), 0);
    CHECK_TRUE(rejection() == nullptr);
}

// Checks random sequences of events. SEAMARCH_SEEDS sets the number of seeds.
TEST(ResidencyTest, NoScheduleSendsOutsideTheRegionsOrToADrainedHall)
{
    const char *seedCount = std::getenv("SEAMARCH_SEEDS");
    const int seeds = seedCount == nullptr ? 400 : std::atoi(seedCount);
    const std::array residencies{Residency(), restrictedTo({kCentre}), restrictedTo({kCoast}),
                                 restrictedTo({kCentre, kCoast})};
    for (int seed = 1; seed <= seeds; ++seed) {
        start(static_cast<std::uint64_t>(seed));
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        const auto draw = [&random](std::size_t most) { return random() % most; };
        std::map<RequestNumber, Residency> openRequests;
        for (int step = 0, now = 0; step < 300; ++step) {
            now += static_cast<int>(draw(60));
            actions.clear();
            const auto chosen =
                openRequests.empty()
                    ? openRequests.end()
                    : std::next(openRequests.begin(),
                                static_cast<std::ptrdiff_t>(draw(openRequests.size())));
            switch (draw(9)) {
            case 0:
            case 1: {
                const Residency &residency = residencies[draw(residencies.size())];
                const auto kind = static_cast<Kind>(draw(3));
                const RequestNumber number = begin(kind, residency, now);
                openRequests.emplace(number, residency);
                break;
            }
            case 2:
            case 3:
                if (chosen != openRequests.end()) {
                    const std::array kinds{AnswerKind::Full, AnswerKind::Failure,
                                           AnswerKind::Invalid, AnswerKind::Success,
                                           AnswerKind::WrongInstance};
                    core->onHead(chosen->first, kinds[draw(kinds.size())], at(now), actions);
                }
                break;
            case 4:
                if (chosen != openRequests.end()) {
                    const std::array ends{AttemptEnd::Complete, AttemptEnd::NotSent,
                                          AttemptEnd::Lost};
                    core->onEnd(chosen->first, ends[draw(ends.size())], at(now), actions);
                }
                break;
            case 5: {
                for (const auto &[id, hall] : listed()) {
                    if (draw(4) == 0) {
                        core->upstreams().remove(InstanceId(id), at(now));
                    } else {
                        core->upstreams().put(record(id, hall));
                    }
                }
                break;
            }
            case 6: {
                std::set<HallId> drained;
                for (const auto &[hall, region] : regions) {
                    if (draw(3) == 0) {
                        drained.insert(hall);
                    }
                }
                core->upstreams().setDrainedHalls(drained);
                break;
            }
            default:
                core->onTick(at(now), actions);
                break;
            }
            for (const GatewayAction &action : actions) {
                const auto *sent = std::get_if<StartAttempt>(&action);
                if (sent == nullptr) {
                    continue;
                }
                const HallId &hall = sent->upstream.hall;
                const auto region = regions.find(hall);
                const bool allowed =
                    openRequests.at(sent->request)
                        .allows(region == regions.end() ? RegionId() : region->second);
                const std::string text =
                    fmt::format("seed {}, {} ms: sent to hall {}", seed, now, hall.value());
                CHECK_TEXT(allowed, text.c_str());
                CHECK_TEXT(!core->upstreams().drainedHalls().contains(hall), text.c_str());
            }
        }
    }
}
