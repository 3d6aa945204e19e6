// Simulates many gateways with few requests each at the upstreams of one hall. Requests arrive at
// random and last for an exponentially distributed time; each gateway picks the upstream at which
// it has the fewest requests. Thirty gateways and 26 upstreams with six slots are a hall of a large
// deployment, with about 3.3 streams per upstream on average.
#include "decision/gateway/hallposition.h"

#include <algorithm>
#include <queue>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

struct Hall
{
    std::size_t gateways;
    std::size_t upstreams;
    std::size_t slots;
    double mean; // Streams per upstream.
};

struct Stream
{
    double endsAt;
    std::size_t gateway;
    std::size_t upstream;
    bool operator<(const Stream &other) const { return endsAt > other.endsAt; }
};

// Returns the fraction of streams that start at an upstream without a free slot. Ties are broken by
// fill position or at random.
double fractionAtFullUpstreams(const Hall &hall, bool byPosition)
{
    constexpr int kStreams = 20'000;
    std::mt19937_64 random(7);
    std::exponential_distribution<double> gap(hall.mean * static_cast<double>(hall.upstreams));
    std::exponential_distribution<double> life(1.0);
    std::uniform_int_distribution<std::size_t> anyGateway(0, hall.gateways - 1);
    std::vector<std::vector<std::size_t>> own(hall.gateways,
                                              std::vector<std::size_t>(hall.upstreams, 0));
    std::vector<std::size_t> all(hall.upstreams, 0);
    std::priority_queue<Stream> running;
    double now = 0.0;
    int full = 0;
    for (int count = 0; count < kStreams; ++count) {
        now += gap(random);
        for (; !running.empty() && running.top().endsAt <= now; running.pop()) {
            --own[running.top().gateway][running.top().upstream];
            --all[running.top().upstream];
        }
        const std::size_t gateway = anyGateway(random);
        const HallPosition hallPosition{gateway, hall.gateways};
        const std::size_t chance = anyGateway(random);
        const auto order = [&](std::size_t upstream) {
            const std::size_t position =
                byPosition ? fillPosition(upstream, hall.upstreams, hallPosition)
                           : (upstream * 7919 + chance * 104'729 + count * 31) % 1009;
            return std::pair(own[gateway][upstream], position);
        };
        std::size_t best = 0;
        for (std::size_t upstream = 1; upstream < hall.upstreams; ++upstream) {
            best = order(upstream) < order(best) ? upstream : best;
        }
        full += all[best] >= hall.slots ? 1 : 0;
        ++own[gateway][best];
        ++all[best];
        running.push({now + life(random), gateway, best});
    }
    return static_cast<double>(full) / kStreams;
}

} // namespace

TEST_GROUP(HallPositionTest){};

TEST(HallPositionTest, EachUpstreamHasADistinctPosition)
{
    std::vector<bool> seen(26, false);
    for (std::size_t index = 0; index < seen.size(); ++index) {
        seen[fillPosition(index, seen.size(), {17, 30})] = true;
    }
    CHECK_TRUE(std::all_of(seen.begin(), seen.end(), [](bool found) { return found; }));
}

TEST(HallPositionTest, EqualNumbersOfGatewaysStartAtEachUpstream)
{
    constexpr std::size_t kGateways = 30;
    std::vector<int> begins(10, 0);
    for (std::size_t gateway = 0; gateway < kGateways; ++gateway) {
        for (std::size_t index = 0; index < begins.size(); ++index) {
            begins[index] += fillPosition(index, begins.size(), {gateway, kGateways}) == 0 ? 1 : 0;
        }
    }
    CHECK_TRUE(begins == std::vector<int>(10, 3));
}

TEST(HallPositionTest, FewerStreamsMeetAFullUpstreamInALargeHall)
{
    const Hall hall{30, 26, 6, 3.3};
    const double randomFraction = fractionAtFullUpstreams(hall, false);
    const double byPosition = fractionAtFullUpstreams(hall, true);
    CHECK_TEXT(randomFraction > 0.04, "expected crowding if ties are broken at random");
    CHECK_TEXT(byPosition < randomFraction / 3.0,
               "expected fill positions to avoid most full upstreams");
}

TEST(HallPositionTest, NoWorseAtOtherSizes)
{
    for (const Hall &hall : {Hall{3, 4, 12, 7.0}, Hall{14, 8, 12, 7.0}, Hall{68, 64, 6, 3.3}}) {
        CHECK_TRUE(fractionAtFullUpstreams(hall, true)
                   <= fractionAtFullUpstreams(hall, false) + 0.01);
    }
}
