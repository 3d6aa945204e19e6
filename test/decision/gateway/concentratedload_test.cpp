// Guards against a gateway that rejects requests when most new connections of its site go to it for
// some seconds: what a gateway may send must follow its own load, not its usual part of it.
#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/routekinds.h"

#include <cstdint>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using namespace seamarch::testing;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kGateways = 7;
constexpr std::size_t kUpstreams = 12;
constexpr std::uint32_t kSlots = 12;
constexpr int kEventsPerStream = 24;
constexpr double kRequestsPerSecond = 56.0;
constexpr Duration kStep = 5ms;
constexpr Duration kTick = 25ms;
constexpr Duration kContactTime = 3s;

constexpr TimePoint kCalmFrom{5s};
constexpr TimePoint kConcentratedFrom{12s};
constexpr TimePoint kEnd{24s};

// One group of engines behind all gateways. Its passes take longer the more streams run.
class Site
{
public:
    // The share of the requests that go to the first gateway while the load is concentrated.
    Site(Kind kind, std::uint64_t seed, double share)
        : table_(tableFor(kind))
        , random_(seed)
        , share_(share)
    {
        for (std::size_t index = 0; index < kGateways; ++index) {
            GatewayCore::Settings settings;
            settings.hall = HallId(fmt::format("hall-{}", index % 3));
            settings.seed = seed * kGateways + index;
            settings.retries = {0.2, 88.0};
            cores_.push_back(std::make_unique<GatewayCore>(settings));
            cores_.back()->setGatewayCount(kGateways);
            cores_.back()->setHallPosition({index / 3, index % 3 == 0 ? 3U : 2U});
            for (std::size_t upstream = 0; upstream < kUpstreams; ++upstream) {
                cores_.back()->upstreams().put(recordOf(upstream));
            }
        }
    }

    void run()
    {
        std::exponential_distribution<double> gap(kRequestsPerSecond);
        TimePoint nextArrival{};
        for (now_ = TimePoint(); now_ < kEnd; now_ += kStep) {
            while (nextArrival <= now_) {
                arrive();
                nextArrival += fromSeconds(gap(random_));
            }
            deliverEvents();
            if (now_.time_since_epoch() % kTick == Duration{}) {
                for (std::size_t index = 0; index < kGateways; ++index) {
                    GatewayActions actions;
                    cores_[index]->onTick(now_, actions);
                    carryOut(index, actions);
                }
            }
        }
    }

    // Returns the share of the requests that arrived in the time and were not rejected.
    double servedShare(TimePoint from, TimePoint until) const
    {
        int all = 0;
        int served = 0;
        for (const auto &[at, rejected] : arrivals_) {
            if (at >= from && at < until) {
                ++all;
                served += rejected ? 0 : 1;
            }
        }
        return static_cast<double>(served) / std::max(1, all);
    }

private:
    struct Stream
    {
        std::size_t arrival = 0;
        std::size_t upstream = 0;
        int events = -1; // -1: the head has not come yet.
        TimePoint nextAt{};
        TimePoint lastAt{};
    };
    using StreamId = std::pair<std::size_t, RequestNumber>;

    static UpstreamRecord recordOf(std::size_t index)
    {
        UpstreamRecord record;
        record.id = InstanceId(fmt::format("i-{}", index));
        record.service = TargetName("service");
        record.hall = HallId(fmt::format("hall-{}", index % 3));
        record.slots = kSlots;
        return record;
    }

    void arrive()
    {
        std::bernoulli_distribution concentrated(now_ >= kConcentratedFrom ? share_ : 0.0);
        std::uniform_int_distribution<std::size_t> any(0, kGateways - 1);
        const std::size_t gateway = concentrated(random_) ? 0 : any(random_);
        GatewayRequest request;
        request.table = table_;
        request.route = table_->match("x", "/");
        request.account = AccountId("bids");
        request.deadline = 8s;
        request.digest = RequestDigest(arrivals_.size() + 1);
        arrivals_.emplace_back(now_, false);
        GatewayActions actions;
        const RequestNumber number = cores_[gateway]->begin(request, now_, actions);
        arrivalOf_[{gateway, number}] = arrivals_.size() - 1;
        carryOut(gateway, actions);
    }

    void carryOut(std::size_t gateway, const GatewayActions &actions)
    {
        for (const GatewayAction &action : actions) {
            if (const auto *start = std::get_if<StartAttempt>(&action)) {
                Stream stream;
                stream.arrival = arrivalOf_.at({gateway, start->request});
                stream.upstream = std::stoul(start->upstream.id.value().substr(2));
                stream.nextAt = now_ + pause();
                streams_[{gateway, start->request}] = stream;
            } else if (const auto *cancel = std::get_if<CancelAttempt>(&action)) {
                streams_.erase({gateway, cancel->request});
            } else if (const auto *reject = std::get_if<RejectRequest>(&action)) {
                arrivals_[arrivalOf_.at({gateway, reject->request})].second = true;
            }
        }
    }

    Duration pause() const
    {
        constexpr double kEmptyPassSeconds = 0.03;
        constexpr double kSecondsPerStream = 0.0004;
        return fromSeconds(kEmptyPassSeconds
                           + kSecondsPerStream * static_cast<double>(streams_.size()));
    }

    std::size_t streamsAt(std::size_t upstream) const
    {
        std::size_t count = 0;
        for (const auto &[id, stream] : streams_) {
            count += stream.upstream == upstream && stream.events >= 0 ? 1 : 0;
        }
        return count;
    }

    void deliverEvents()
    {
        std::vector<StreamId> due;
        for (const auto &[id, stream] : streams_) {
            if (stream.nextAt <= now_) {
                due.push_back(id);
            }
        }
        for (const StreamId &id : due) {
            if (streams_.contains(id)) {
                deliver(id);
            }
        }
    }

    void deliver(const StreamId &id)
    {
        Stream &stream = streams_.at(id);
        GatewayCore &core = *cores_[id.first];
        GatewayActions actions;
        if (stream.events < 0) {
            const bool full = streamsAt(stream.upstream) >= kSlots;
            if (full) {
                streams_.erase(id);
                core.onHead(id.second, AnswerKind::Full, now_, actions);
                carryOut(id.first, actions);
                return;
            }
            core.onHead(id.second, AnswerKind::Success, now_, actions);
            core.onFirstEvent(id.second, now_);
        } else {
            core.onPause(id.second, now_ - stream.lastAt, now_);
        }
        stream.events = std::max(stream.events, 0) + 1;
        stream.lastAt = now_;
        stream.nextAt = now_ + pause();
        if (stream.events == kEventsPerStream) {
            streams_.erase(id);
            core.onEnd(id.second, AttemptEnd::Complete, now_, actions);
        }
        carryOut(id.first, actions);
    }

    std::shared_ptr<const RouteTable> table_;
    std::mt19937_64 random_;
    double share_;
    TimePoint now_{};
    std::vector<std::unique_ptr<GatewayCore>> cores_;
    std::map<StreamId, Stream> streams_;
    std::map<StreamId, std::size_t> arrivalOf_;
    std::vector<std::pair<TimePoint, bool>> arrivals_; // With whether the request was rejected.
};

} // namespace

TEST_GROUP(ConcentratedLoadTest){};

TEST(ConcentratedLoadTest, OneGatewayServesNearlyTheLoadOfAll)
{
    for (const double share : {0.7, 0.9, 1.0}) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Site site(Kind::Stream, seed, share);
            site.run();
            const double calm = site.servedShare(kCalmFrom, kConcentratedFrom);
            const double concentrated = site.servedShare(kConcentratedFrom + kContactTime, kEnd);
            CHECK_TRUE(calm > 0.9);
            CHECK_TRUE_TEXT(
                concentrated >= 0.75 * calm,
                fmt::format("seed {}: {:.0f}% of the requests go to one gateway; {:.2f} "
                            "of them are served, {:.2f} were before",
                            seed, 100 * share, concentrated, calm)
                    .c_str());
        }
    }
}
