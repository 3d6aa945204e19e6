// Tests of gateways whose requests aren't streamed and whose upstreams are of uneven speed: eight
// gateways that don't talk to each other, and three upstreams of six slots each that reject
// requests when full. Callers want an answer in 200 ms; the usual work takes 30 ms.
#include "decision/gateway/gatewaycore.h"

#include "decision/gateway/routekinds.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using seamarch::testing::Kind;
using seamarch::testing::tableFor;

namespace {

constexpr std::size_t kGateways = 8;
constexpr std::size_t kUpstreams = 3;
constexpr std::uint32_t kSlots = 6;
constexpr double kUsualWork = 0.030; // s
constexpr double kTarget = 0.200;    // s
constexpr double kInTimeAim = 0.9;   // Share of the requests.
constexpr double kSpeed = kSlots / kUsualWork;

TimePoint at(double seconds)
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)));
}

UpstreamRecord recordOf(std::size_t index, const std::string &hall = "north")
{
    UpstreamRecord record;
    record.id = InstanceId("upstream" + std::to_string(index));
    record.service = TargetName("service");
    record.hall = HallId(hall);
    record.slots = kSlots;
    record.start = UpstreamStart(1);
    return record;
}

std::shared_ptr<const RouteTable> table()
{
    RouteRule route;
    route.name = "route";
    route.host = "x";
    route.pathPrefix = "/";
    route.targets = {{TargetName("service"), 1}};
    route.repeatable = true;
    route.latencyTarget = std::chrono::milliseconds(200);
    route.maxAttempts = 3;
    RoutingDocument document;
    document.routes = {route};
    return std::make_shared<const RouteTable>(document);
}

// What happened from `Model::countFrom` on.
struct Result
{
    int requests = 0;
    int inTime = 0;
    std::array<int, kUpstreams> served{};
    std::array<int, kUpstreams> rejected{};

    double inTimeShare() const { return static_cast<double>(inTime) / requests; }
    int rejections() const { return rejected[0] + rejected[1] + rejected[2]; }
};

// Gateways, upstreams and callers; all events of the same run in order of time.
class Model
{
public:
    Model(double requestsPerSecond, double minRatio, std::uint64_t seed)
        : random_(seed)
        , gap_(requestsPerSecond)
    {
        for (std::size_t index = 0; index < kGateways; ++index) {
            GatewayCore::Settings settings;
            settings.hall = HallId("north");
            settings.seed = index;
            settings.retries = {0.2, 88.0};
            settings.pace.minRatio = minRatio;
            GatewayCore &core = gateways_.emplace_back(settings);
            core.setGatewayCount(kGateways);
            core.setHallPosition({index, kGateways});
            for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
                core.upstreams().put(recordOf(upstream));
            }
        }
        after(0.0, [this] { tick(); });
        after(0.0, [this] { arrive(); });
    }

    // The last upstream takes this many times longer.
    double factor = 1.0;
    double countFrom = 0.0;
    Result result;

    void runUntil(double end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key();
            event.mapped()();
        }
    }

private:
    struct Attempt
    {
        std::size_t gateway = 0;
        RequestNumber request = 0;
        std::size_t upstream = 0;
        double arrivedAt = 0.0; // Of the request.
    };

    void after(double delay, std::function<void()> event)
    {
        events_.emplace(now_ + delay, std::move(event));
    }

    void tick()
    {
        for (std::size_t index = 0; index < kGateways; ++index) {
            GatewayActions actions;
            gateways_[index].onTick(at(now_), actions);
            carryOut(index, now_, actions);
        }
        after(0.02, [this] { tick(); });
    }

    void arrive()
    {
        GatewayRequest request;
        request.table = table_;
        request.route = request.table->match("x", "/");
        request.deadline = std::chrono::seconds(1);
        const std::size_t index = random_() % kGateways;
        result.requests += now_ >= countFrom ? 1 : 0;
        GatewayActions actions;
        gateways_[index].begin(std::move(request), at(now_), actions);
        carryOut(index, now_, actions);
        after(gap_(random_), [this] { arrive(); });
    }

    void carryOut(std::size_t gateway, double arrivedAt, const GatewayActions &actions)
    {
        for (const GatewayAction &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action)) {
                const auto upstream =
                    static_cast<std::size_t>(start->upstream.id.value().back() - '0');
                after(0.001, [this, attempt = Attempt{gateway, start->request, upstream,
                                                      arrivedAt}] { reachUpstream(attempt); });
            }
        }
    }

    void reachUpstream(const Attempt &attempt)
    {
        if (busy_[attempt.upstream] == kSlots) {
            result.rejected[attempt.upstream] += now_ >= countFrom ? 1 : 0;
            after(0.001, [this, attempt] { answer(attempt, AnswerKind::Full); });
            return;
        }
        ++busy_[attempt.upstream];
        const double slower = attempt.upstream == kUpstreams - 1 ? factor : 1.0;
        after(kUsualWork * slower * spread_(random_), [this, attempt] {
            --busy_[attempt.upstream];
            answer(attempt, AnswerKind::Success);
        });
    }

    void answer(const Attempt &attempt, AnswerKind kind)
    {
        GatewayActions actions;
        GatewayCore &core = gateways_[attempt.gateway];
        core.onHead(attempt.request, kind, at(now_), actions);
        if (kind == AnswerKind::Success) {
            core.onEnd(attempt.request, AttemptEnd::Complete, at(now_), actions);
            const bool counts = attempt.arrivedAt >= countFrom;
            result.inTime += counts && now_ - attempt.arrivedAt <= kTarget ? 1 : 0;
            result.served[attempt.upstream] += counts ? 1 : 0;
        }
        carryOut(attempt.gateway, attempt.arrivedAt, actions);
    }

    std::shared_ptr<const RouteTable> table_ = table();
    std::mt19937_64 random_;
    std::exponential_distribution<double> gap_;
    std::lognormal_distribution<double> spread_{-0.125, 0.5}; // Mean 1.
    std::deque<GatewayCore> gateways_;
    std::array<std::uint32_t, kUpstreams> busy_{};
    double now_ = 0.0;
    std::multimap<double, std::function<void()>> events_;
};

const double kEnabled = UpstreamPace::Settings().minRatio;
constexpr double kDisabled = 1e9;

// The loads are parts of what the upstreams carry when each is used by its speed.
constexpr double kCarriedWithOneSlow = (2.0 + 1.0 / 4) * kSpeed;
constexpr std::array<std::uint64_t, 5> kSeeds = {1, 2, 3, 4, 5};

// Adds up runs of 20 s, of which the last 15 s count, with the last upstream slower by `factor`.
Result simulate(double requestsPerSecond, double factor, double minRatio)
{
    Result sum;
    for (const std::uint64_t seed : kSeeds) {
        Model model(requestsPerSecond, minRatio, seed);
        model.factor = factor;
        model.countFrom = 5.0;
        model.runUntil(20.0);
        sum.requests += model.result.requests;
        sum.inTime += model.result.inTime;
        for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
            sum.rejected[upstream] += model.result.rejected[upstream];
        }
    }
    return sum;
}

// Starts one request that is answered after `time`. Returns its first upstream.
InstanceId answerOne(GatewayCore &core, Kind kind, double now, double time)
{
    GatewayRequest request;
    request.table = tableFor(kind);
    request.route = request.table->match("x", "/");
    request.deadline = std::chrono::seconds(8);
    GatewayActions actions;
    const RequestNumber number = core.begin(std::move(request), at(now), actions);
    InstanceId upstream = std::get<StartAttempt>(actions.front()).upstream.id;
    core.onHead(number, AnswerKind::Success, at(now + time), actions);
    core.onEnd(number, AttemptEnd::Complete, at(now + time), actions);
    return upstream;
}

} // namespace

TEST_GROUP(UnevenUpstreamsTest){};

TEST(UnevenUpstreamsTest, CallersAreAnsweredInTimeAtALoadThatUpstreamsCarryBySpeed)
{
    for (const double load : {0.2, 0.4, 0.6}) {
        const Result result = simulate(load * kCarriedWithOneSlow, 4.0, kEnabled);
        CHECK_TRUE(result.inTimeShare() >= kInTimeAim);
    }
}

TEST(UnevenUpstreamsTest, NoMoreRequestsAreRejectedAsFullThanWithEqualShares)
{
    for (const double load : {0.2, 0.4, 0.6, 0.8}) {
        const Result result = simulate(load * kCarriedWithOneSlow, 4.0, kEnabled);
        const Result equal = simulate(load * kCarriedWithOneSlow, 4.0, kDisabled);
        CHECK_TRUE(result.rejections() <= equal.rejections());
    }
}

TEST(UnevenUpstreamsTest, HalfOfTheLateAnswersOfEqualSharesAreAvoidedAtLowLoad)
{
    const Result result = simulate(0.2 * kCarriedWithOneSlow, 4.0, kEnabled);
    const Result equal = simulate(0.2 * kCarriedWithOneSlow, 4.0, kDisabled);
    CHECK_TRUE(1.0 - result.inTimeShare() <= (1.0 - equal.inTimeShare()) / 2);
}

TEST(UnevenUpstreamsTest, EqualUpstreamsServeAsManyInTimeAsWithEqualShares)
{
    for (const double load : {0.2, 0.6, 0.9}) {
        const Result result = simulate(load * kUpstreams * kSpeed, 1.0, kEnabled);
        const Result equal = simulate(load * kUpstreams * kSpeed, 1.0, kDisabled);
        CHECK_TRUE(result.inTimeShare() >= equal.inTimeShare() - 0.01);
    }
}

TEST(UnevenUpstreamsTest, ARecoveredUpstreamGetsItsShareBackWithoutAHerd)
{
    Model model(0.4 * kUpstreams * kSpeed, kEnabled, 1);
    model.factor = 4.0;
    model.runUntil(10.0);
    model.factor = 1.0;
    model.countFrom = 10.0;
    model.runUntil(20.0);
    const Result recovering = model.result;
    CHECK_TRUE(recovering.inTimeShare() >= kInTimeAim);
    CHECK_TRUE(recovering.rejected[2] <= std::max(recovering.rejected[0], recovering.rejected[1]));
    model.result = Result();
    model.countFrom = 20.0;
    model.runUntil(30.0);
    CHECK_TRUE(model.result.served[2] >= model.result.served[0] / 2);
}

TEST(UnevenUpstreamsTest, ASlowUpstreamOfTheOwnHallIsAvoidedForOneInAnotherHall)
{
    GatewayCore::Settings settings;
    settings.hall = HallId("north");
    GatewayCore core(settings);
    core.upstreams().put(recordOf(0));
    core.upstreams().put(recordOf(1, "south"));
    double now = 1.0;
    for (int request = 0; request < 10; ++request) {
        CHECK_TRUE(answerOne(core, Kind::Repeatable, now += 0.5, 0.06) == recordOf(0).id);
    }
    answerOne(core, Kind::Repeatable, now += 0.5, 0.6);
    CHECK_TRUE(answerOne(core, Kind::Repeatable, now += 0.7, 0.06) == recordOf(1).id);
}

TEST(UnevenUpstreamsTest, AStreamGoesToTheUpstreamWithTheFewestRequestsHoweverSlowItIs)
{
    GatewayCore::Settings settings;
    settings.hall = HallId("north");
    GatewayCore core(settings);
    core.upstreams().put(recordOf(0));
    core.upstreams().put(recordOf(1));
    const InstanceId first = answerOne(core, Kind::Stream, 1.0, 0.06);
    for (int request = 1; request < 10; ++request) {
        CHECK_TRUE(answerOne(core, Kind::Stream, 1.0 + request, 0.6) == first);
    }
    LONGS_EQUAL(0, core.takePaceChanges(at(20.0)).size());
}
