// Simulates gossip between the directories of hundreds of gateways in several halls. Every gateway
// must learn of all others although it contacts only a few, and a gateway that has stopped must be
// evicted everywhere.
//
// Runs the real GatewayDirectory in virtual time. All gateways of a hall exchange gossip with the
// hall's store follower, which in turn contacts the store follower of every other hall, one peer in
// round-robin order, and a seed.
#include "decision/membership/gatewaydirectory.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr int kStepMs = 400;     // The duration of a long poll at the store follower.
constexpr int kStartupMs = 3000; // Gateways exchange gossip more often while they start.
constexpr int kStartupIntervalMs = 800;
// The size of a gateway record on the wire: an id, a hall and an address.
constexpr std::size_t kRecordBytes = 64;
constexpr std::size_t kGossipHeaderBytes = 48;

struct SimulationConfig
{
    std::size_t gateways = 30;
    std::size_t halls = 3;
    int millis = 22000;
    // The interval between exchanges, by the number of known gateways.
    std::function<int(std::size_t)> intervalMs = [](std::size_t) { return 2000; };
    int lastStopsAtMs = -1; // When the last gateway stops; never if negative.
    std::uint64_t seed = 1;
};

struct Result
{
    int convergedAtMs = -1;         // Since when every gateway knows all others.
    std::size_t minKnownLate = 0;   // The fewest known by any gateway in the last 10 s.
    double maxBytesPerSecond = 0.0; // Sent by the busiest gateway in the last 10 s.
    int evictedAtMs = -1;           // Since when no gateway knows the stopped one.
};

class Simulation
{
public:
    explicit Simulation(const SimulationConfig &config)
        : config_(config)
        , random_(config.seed)
        , listRequestedAt_(config.gateways, -config.millis)
        , bytesSent_(config.gateways, 0)
    {
        for (std::size_t index = 0; index < config.gateways; ++index) {
            records_.push_back(
                {InstanceId(fmt::format("g-{:04}", index)),
                 HallId(fmt::format("hall-{}", index * config.halls / config.gateways)), "10.0.0.1",
                 static_cast<int>(index)});
            directories_.emplace_back(records_.back(), GatewayDirectory::Settings());
        }
    }

    Result run()
    {
        constexpr int kLastPhaseMs = 10000;
        Result result;
        result.minKnownLate = config_.gateways;
        for (now_ = kStepMs; now_ <= config_.millis; now_ += kStepMs) {
            if (now_ == config_.millis - kLastPhaseMs) {
                std::fill(bytesSent_.begin(), bytesSent_.end(), 0);
            }
            for (std::size_t index = 0; index < runningCount(); ++index) {
                step(index);
            }
            measure(result, now_ > config_.millis - kLastPhaseMs);
        }
        const double seconds = std::min(kLastPhaseMs, config_.millis) / 1000.0;
        result.maxBytesPerSecond =
            static_cast<double>(*std::max_element(bytesSent_.begin(), bytesSent_.end())) / seconds;
        return result;
    }

private:
    TimePoint now() const { return TimePoint(std::chrono::milliseconds(now_)); }
    bool stopped() const { return config_.lastStopsAtMs >= 0 && now_ >= config_.lastStopsAtMs; }
    std::size_t runningCount() const { return config_.gateways - (stopped() ? 1 : 0); }

    void step(std::size_t index)
    {
        GatewayDirectory &directory = directories_[index];
        directory.expire(now());
        const InstanceId followed = directory.localStoreFollower(now());
        const int interval =
            now_ < kStartupMs ? kStartupIntervalMs : config_.intervalMs(directory.size());
        const bool due = now_ - listRequestedAt_[index] >= interval;
        if (followed != records_[index].id) {
            // Polls the store follower continuously, which thereby sees this gateway.
            exchange(index, indexOf(followed), due);
            listRequestedAt_[index] = due ? now_ : listRequestedAt_[index];
        } else if (due) {
            listRequestedAt_[index] = now_;
            for (const HallId &hall : directory.peerHalls()) {
                if (hall != records_[index].hall) {
                    exchangeWith(index, directory.storeFollowerOf(hall, now()));
                }
            }
            exchangeWith(index, directory.nextPeer(records_[index].id, now()));
            exchange(index, seed(), true);
        }
        if (directory.size() <= 3) {
            exchange(index, seed(), true);
        }
    }

    // Returns one of three seeds at random, each in a different hall.
    std::size_t seed() { return random_() % 3 * config_.gateways / 3; }

    void exchangeWith(std::size_t receiver, const std::optional<InstanceId> &id)
    {
        if (id) {
            exchange(receiver, indexOf(*id), true);
        }
    }

    std::size_t indexOf(const InstanceId &id) const
    {
        return static_cast<std::size_t>(
            std::lower_bound(records_.begin(), records_.end(), id,
                             [](const GatewayRecord &record, const InstanceId &wanted) {
                                 return record.id < wanted;
                             })
            - records_.begin());
    }

    void exchange(std::size_t receiver, std::size_t sender, bool withList)
    {
        if (receiver == sender) {
            return;
        }
        GatewayDirectory &directory = directories_[receiver];
        if (sender >= runningCount()) {
            directory.onFailed(records_[sender].id, now());
            return;
        }
        directories_[sender].recordSeen(records_[receiver], now());
        directory.onAnswered(records_[sender].id, now());
        if (!withList) {
            return;
        }
        const GatewayDirectory::GossipUpdate gossip =
            directories_[sender].gossipFor(directory.digest(), now());
        bytesSent_[sender] +=
            kGossipHeaderBytes + gossip.peers.size() * kRecordBytes + gossip.ages.size();
        directory.recordSeen(records_[sender], now());
        directory.applyGossip(gossip, now());
    }

    void measure(Result &result, bool lastPhase)
    {
        std::size_t minKnown = config_.gateways;
        bool evicted = true;
        for (std::size_t index = 0; index < runningCount(); ++index) {
            minKnown = std::min(minKnown, directories_[index].size());
            evicted = evicted && directories_[index].find(records_.back().id) == nullptr;
        }
        const bool all = minKnown == config_.gateways;
        result.convergedAtMs = !all ? -1 : result.convergedAtMs < 0 ? now_ : result.convergedAtMs;
        result.minKnownLate =
            lastPhase ? std::min(result.minKnownLate, minKnown) : result.minKnownLate;
        if (stopped()) {
            result.evictedAtMs = !evicted ? -1 : result.evictedAtMs < 0 ? now_ : result.evictedAtMs;
        }
    }

    SimulationConfig config_;
    std::mt19937_64 random_;
    std::vector<GatewayRecord> records_;
    std::vector<GatewayDirectory> directories_;
    std::vector<int> listRequestedAt_;   // When each gateway last requested gossip.
    std::vector<std::size_t> bytesSent_; // By each gateway.
    int now_ = 0;
};

SimulationConfig configOf(std::size_t gateways, std::size_t halls)
{
    SimulationConfig config;
    config.gateways = gateways;
    config.halls = halls;
    return config;
}

} // namespace

TEST_GROUP(GatewayGossipTest){};

TEST(GatewayGossipTest, GossipConvergesAndStaysComplete)
{
    for (const auto &[gateways, halls] :
         std::vector<std::pair<std::size_t, std::size_t>>{{30, 3}, {149, 3}, {531, 5}, {1062, 9}}) {
        const Result result = Simulation(configOf(gateways, halls)).run();
        const std::string text = fmt::format(
            "{} gateways: converged at {} ms, fewest known later {}, busiest sends "
            "{:.0f} bytes/s",
            gateways, result.convergedAtMs, result.minKnownLate, result.maxBytesPerSecond);
        if (std::getenv("SEAMARCH_PRINT") != nullptr) {
            fmt::print("{}\n", text);
        }
        CHECK_TEXT(result.convergedAtMs >= 0 && result.convergedAtMs <= 6000, text.c_str());
        UNSIGNED_LONGS_EQUAL_TEXT(gateways, result.minKnownLate, text.c_str());
        // 125 kB/s is a fortieth of a 40 Mbit/s link.
        CHECK_TEXT(result.maxBytesPerSecond <= 125'000, text.c_str());
    }
}

TEST(GatewayGossipTest, DetectsIntervalsThatGrowWithFleetSize)
{
    SimulationConfig config = configOf(531, 5);
    config.intervalMs = [](std::size_t knownGateways) {
        return std::max(2000, 50 * static_cast<int>(knownGateways));
    };
    CHECK_TRUE(Simulation(config).run().minKnownLate < config.gateways);
}

TEST(GatewayGossipTest, StoppedGatewayIsEvictedEverywhere)
{
    for (const std::size_t gateways : {30U, 149U, 265U}) {
        SimulationConfig config = configOf(gateways, 5);
        config.lastStopsAtMs = 6000;
        config.millis = 36000;
        const Result result = Simulation(config).run();
        CHECK_TEXT(result.evictedAtMs >= 0,
                   fmt::format("{} gateways: the stopped one was not evicted everywhere", gateways)
                       .c_str());
    }
}
