#include "decision/rollout/reloadpermits.h"

#include <fmt/format.h>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

enum class InjectedFault { None, ForgetPermits, AskSomeMembers, ExpirePermits };

// Simulates a pool that reloads all its upstreams, while agents are replaced and messages are lost,
// delayed and duplicated.
class PoolSimulation
{
public:
    PoolSimulation(std::uint64_t seed, InjectedFault fault)
        : random_(seed)
        , fault_(fault)
    {
        std::vector<InstanceId> names;
        for (std::size_t index = 0; index < kAgents; ++index) {
            names.push_back(name(index));
        }
        members_ = makeMemberSet(names);
        for (std::size_t index = 0; index < kAgents; ++index) {
            start(index);
        }
    }

    // Returns the largest number of upstreams that were out of service at once.
    int run()
    {
        for (now_ = 0; now_ < kSteps; ++now_) {
            deliver();
            for (std::size_t index = 0; index < kAgents; ++index) {
                step(index);
            }
            // Replaces an agent. The state of its upstream is kept.
            if (now_ < kSteps / 2 && chance(0.02)) {
                start(pickAgent());
            }
            int down = 0;
            for (const Agent &agent : agents_) {
                down += agent.down ? 1 : 0;
            }
            maxDown_ = std::max(maxDown_, down);
        }
        return maxDown_;
    }

    bool allReloaded() const
    {
        for (const Agent &agent : agents_) {
            if (!agent.reloaded || agent.down) {
                return false;
            }
        }
        return true;
    }

private:
    static constexpr std::size_t kAgents = 5;
    static constexpr std::uint32_t kMaxConcurrent = 2;
    static constexpr int kSteps = 4000;

    struct Agent
    {
        std::unique_ptr<ReloadPermitIssuer> issuer;
        std::unique_ptr<ReloadPermitCollector> collector;
        Incarnation incarnation;
        bool down = false;     // The upstream's state, kept when the agent is replaced.
        bool reloaded = false; // Likewise.
        int reloadEndsAt = 0;
        int nextReleaseAt = 0;
    };

    struct Message
    {
        int at = 0;
        std::size_t to = 0;
        Incarnation recipientIncarnation;
        std::function<void()> action;
    };

    static InstanceId name(std::size_t index) { return InstanceId(fmt::format("bid-{}", index)); }
    bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }
    std::size_t pickAgent()
    {
        return std::uniform_int_distribution<std::size_t>(0, kAgents - 1)(random_);
    }

    void start(std::size_t index)
    {
        Agent &agent = agents_[index];
        agent.incarnation = Incarnation(++lastIncarnation_);
        agent.issuer = std::make_unique<ReloadPermitIssuer>(name(index));
        agent.issuer->setPool(members_, kMaxConcurrent);
        agent.collector = std::make_unique<ReloadPermitCollector>();
        agent.collector->setPool(members_);
        if (fault_ == InjectedFault::ForgetPermits) {
            for (std::size_t other = 0; other < kAgents; ++other) {
                agent.issuer->onMemberState(name(other), {agents_[other].incarnation, 0, false});
            }
        }
        if (agent.down) {
            // The engine reports to the new incarnation that it is being reloaded, so the
            // incarnation counts its own permit as held.
            agent.collector->startCollecting();
            agent.collector->onIssued(name(index));
        }
    }

    void send(std::size_t to, Incarnation recipientIncarnation, const std::function<void()> &action)
    {
        if (chance(0.05)) {
            return;
        }
        const int copies = chance(0.05) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const int maxDelay = chance(0.05) ? 60 : 4;
            const int delay = std::uniform_int_distribution<int>(1, maxDelay)(random_);
            messages_.push_back({now_ + delay, to, recipientIncarnation, action});
        }
    }

    void deliver()
    {
        std::vector<Message> due;
        std::erase_if(messages_, [&](const Message &message) {
            if (message.at <= now_) {
                due.push_back(message);
            }
            return message.at <= now_;
        });
        for (const Message &message : due) {
            // Messages to an earlier incarnation are lost with its connection.
            if (agents_[message.to].incarnation == message.recipientIncarnation) {
                message.action();
            }
        }
    }

    void sendState(std::size_t index)
    {
        const Agent &agent = agents_[index];
        for (std::size_t other = 0; other < kAgents; ++other) {
            ReloadPermitState state = agent.collector->state(agent.incarnation);
            // With either of these faults no agent reports the permits that it holds.
            state.holds = state.holds && fault_ != InjectedFault::ForgetPermits
                          && fault_ != InjectedFault::ExpirePermits;
            send(other, agents_[other].incarnation,
                 [this, index, other, incarnation = agent.incarnation, state] {
                     if (agents_[index].incarnation == incarnation) {
                         agents_[other].issuer->onMemberState(name(index), state);
                     }
                 });
        }
    }

    void requestNext(std::size_t index)
    {
        Agent &agent = agents_[index];
        const auto member = agent.collector->nextMember();
        if (!member) {
            return;
        }
        const auto to = static_cast<std::size_t>(member->value().back() - '0');
        const Incarnation incarnation = agent.incarnation;
        const Incarnation issuerIncarnation = agents_[to].incarnation;
        const std::uint64_t number = agent.collector->permitNumber();
        send(to, issuerIncarnation, [this, index, to, incarnation, issuerIncarnation, number] {
            if (!agents_[to].issuer->tryIssue(name(index), incarnation, number)) {
                return;
            }
            send(index, incarnation, [this, index, to, issuerIncarnation] {
                // There is one connection per pair, so nothing arrives from an earlier incarnation.
                if (agents_[to].incarnation == issuerIncarnation) {
                    agents_[index].collector->onIssued(name(to));
                }
            });
        });
    }

    void step(std::size_t index)
    {
        Agent &agent = agents_[index];
        if (now_ % 5 == static_cast<int>(index)) {
            sendState(index);
        }
        if (!agent.reloaded) {
            agent.collector->startCollecting();
        }
        if (now_ % 3 == 0) {
            requestNext(index);
        }
        if (fault_ == InjectedFault::ExpirePermits && chance(0.05)) {
            for (std::size_t other = 0; other < kAgents; ++other) {
                agent.issuer->release(name(other), agents_[other].incarnation, 99);
            }
        }
        const bool permitted =
            agent.collector->holdsAll()
            || (fault_ == InjectedFault::AskSomeMembers && agent.collector->holdsAny());
        if (permitted && !agent.down && !agent.reloaded) {
            agent.down = true;
            agent.reloadEndsAt = now_ + 50;
        }
        if (!agent.down && agent.collector->holdsAny() && !agent.collector->holdsAll()
            && now_ >= agent.nextReleaseAt) {
            agent.nextReleaseAt = now_ + std::uniform_int_distribution<int>(150, 400)(random_);
            for (const InstanceId &member : agent.collector->releaseAll()) {
                sendRelease(static_cast<std::size_t>(member.value().back() - '0'), index);
            }
        }
        if (agent.down && now_ >= agent.reloadEndsAt) {
            agent.down = false;
            agent.reloaded = true;
            for (const InstanceId &member : agent.collector->releaseAll()) {
                sendRelease(static_cast<std::size_t>(member.value().back() - '0'), index);
            }
        }
    }

    void sendRelease(std::size_t to, std::size_t index)
    {
        const ReloadPermitState state = agents_[index].collector->state(agents_[index].incarnation);
        send(to, agents_[to].incarnation, [this, to, index, state] {
            agents_[to].issuer->release(name(index), state.incarnation, state.released);
        });
    }

    std::mt19937_64 random_;
    InjectedFault fault_;
    MemberSet members_;
    Agent agents_[kAgents];
    std::vector<Message> messages_;
    std::uint64_t lastIncarnation_ = 0;
    int now_ = 0;
    int maxDown_ = 0;
};

bool isCaught(InjectedFault fault)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        if (PoolSimulation(seed, fault).run() > 2) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(ReloadPermitsTest){};

TEST(ReloadPermitsTest, NeverExceedsLimitOverManySchedules)
{
    int completed = 0;
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        PoolSimulation simulation(seed, InjectedFault::None);
        const int maxDown = simulation.run();
        if (maxDown > 2) {
            FAIL(fmt::format("seed {}: {} upstreams were out of service at once", seed, maxDown)
                     .c_str());
        }
        completed += simulation.allReloaded() ? 1 : 0;
    }
    CHECK_EQUAL(500, completed);
}

TEST(ReloadPermitsTest, ReportedPermitsCountTowardsLimit)
{
    // Guards against a failure of the simulation with seed 457: two replaced members each received
    // reports from three requesters that held some of the permits, and confirmed all three although
    // that exceeded the limit.
    ReloadPermitIssuer issuer(InstanceId("a"));
    issuer.setPool(makeMemberSet({InstanceId("a"), InstanceId("b"), InstanceId("c")}), 1);
    issuer.onMemberState(InstanceId("b"), {Incarnation(1), 0, true});
    issuer.onMemberState(InstanceId("c"), {Incarnation(2), 0, true});

    CHECK_FALSE(issuer.tryIssue(InstanceId("b"), Incarnation(1), 1));
    CHECK_FALSE(issuer.tryIssue(InstanceId("c"), Incarnation(2), 1));
}

TEST(ReloadPermitsTest, CheckerDetectsForgottenPermits)
{
    CHECK(isCaught(InjectedFault::ForgetPermits));
}

TEST(ReloadPermitsTest, CheckerDetectsPermitsOfSomeMembersOnly)
{
    CHECK(isCaught(InjectedFault::AskSomeMembers));
}

TEST(ReloadPermitsTest, CheckerDetectsExpiringPermits)
{
    CHECK(isCaught(InjectedFault::ExpirePermits));
}

TEST(ReloadPermitsTest, NewIncarnationIssuesNothingUntilAllHaveReported)
{
    ReloadPermitIssuer issuer(InstanceId("a"));
    issuer.setPool(makeMemberSet({InstanceId("a"), InstanceId("b"), InstanceId("c")}), 1);
    issuer.onMemberState(InstanceId("b"), {Incarnation(1), 0, true});

    CHECK_FALSE(issuer.tryIssue(InstanceId("c"), Incarnation(2), 1));
    issuer.onMemberState(InstanceId("c"), {Incarnation(2), 0, false});
    CHECK_FALSE(issuer.tryIssue(InstanceId("c"), Incarnation(2), 1));
    issuer.release(InstanceId("b"), Incarnation(1), 1);
    CHECK(issuer.tryIssue(InstanceId("c"), Incarnation(2), 1));
}

TEST(ReloadPermitsTest, LateReleaseOfOlderPermitKeepsNewerPermit)
{
    ReloadPermitIssuer issuer(InstanceId("a"));
    issuer.setPool(makeMemberSet({InstanceId("a"), InstanceId("b")}), 1);
    issuer.onMemberState(InstanceId("b"), {Incarnation(1), 1, false});
    issuer.tryIssue(InstanceId("b"), Incarnation(1), 2);

    issuer.release(InstanceId("b"), Incarnation(1), 1);
    issuer.onMemberState(InstanceId("b"), {Incarnation(1), 1, false});

    CHECK_EQUAL(1U, issuer.issuedCount());
}
