#include "decision/once/keyhome.h"

#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <queue>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

constexpr Duration kLease = std::chrono::seconds(3);
const AccountId kAccount("bids");

std::string keyAt(UnixMillis wall, std::uint64_t low)
{
    const auto millis = static_cast<std::uint64_t>(wall.count());
    return fmt::format("{:08x}-{:04x}-7{:03x}-8{:03x}-{:012x}", millis >> 16U, millis & 0xffffU,
                       low & 0xfffU, (low >> 12U) & 0xfffU, low & 0xffffffffffffU);
}

enum class InjectedFault {
    None,
    GrantAnySet,
    NoRefusalAfterStart,
    LeaseFromAnswer,
    StaleMinKeyTime
};

// Simulates agents that run the key-home protocol while messages are delayed and lost, agents are
// paused and restarted, and member lists change at different times. Clients retry each key at
// random agents. No key may be accepted more than once in total.
class KeyHomeSimulation
{
public:
    KeyHomeSimulation(std::uint64_t seed, InjectedFault fault)
        : random_(seed)
        , fault_(fault)
    {}

    // Runs for 60 simulated seconds and returns the number of duplicate acceptances.
    int run()
    {
        for (std::size_t index = 0; index < kAgents; ++index) {
            start(index, allMembers());
        }
        for (now_ = TimePoint{}; now_.time_since_epoch() < std::chrono::seconds(60);
             now_ += std::chrono::milliseconds(100)) {
            step();
        }
        int duplicates = 0;
        for (const auto &[key, count] : accepted_) {
            duplicates += count - 1;
        }
        return duplicates;
    }

    std::size_t acceptedKeys() const { return accepted_.size(); }

private:
    static constexpr std::size_t kAgents = 4;

    struct Agent
    {
        std::unique_ptr<KeyHome> home;
        std::unique_ptr<GrantIssuer> grants;
        TimePoint pausedUntil{};
    };

    struct Message
    {
        TimePoint at;
        std::size_t to = 0;
        std::function<void()> action;
    };

    static InstanceId name(std::size_t index) { return InstanceId(fmt::format("agent-{}", index)); }

    bool chance(double probability) { return std::bernoulli_distribution(probability)(random_); }

    std::size_t pick(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(random_);
    }

    Duration delay(int highMs)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(0, highMs)(random_));
    }

    UnixMillis wall() const
    {
        return UnixMillis(1'700'000'000'000)
               + std::chrono::duration_cast<UnixMillis>(now_.time_since_epoch());
    }

    static std::vector<std::size_t> allMembers() { return {0, 1, 2, 3}; }

    // Agent 0 is in every list, since operators must not replace a whole pool within
    // `maxMembersAge`.
    std::vector<std::size_t> someMembers()
    {
        std::vector<std::size_t> members = {0};
        for (std::size_t index = 1; index < kAgents; ++index) {
            if (chance(0.5)) {
                members.push_back(index);
            }
        }
        return members;
    }

    static MemberSet setOf(const std::vector<std::size_t> &members)
    {
        std::vector<InstanceId> ids;
        for (const std::size_t member : members) {
            ids.push_back(name(member));
        }
        return makeMemberSet(ids);
    }

    void start(std::size_t index, const std::vector<std::size_t> &members)
    {
        KeyHome::Settings settings;
        settings.lease = kLease;
        Agent &agent = agents_[index];
        agent.home = std::make_unique<KeyHome>(name(index), settings);
        agent.grants = std::make_unique<GrantIssuer>(kLease);
        if (fault_ != InjectedFault::NoRefusalAfterStart) {
            agent.grants->refuseUntil(now_ + kLease);
        }
        agent.home->setMembers(setOf(members));
        agent.home->confirmMembers(now_);
        ++incarnations_[index];
    }

    void send(std::size_t to, std::function<void()> action)
    {
        if (!chance(0.05)) {
            messages_.push_back({now_ + delay(chance(0.1) ? 2500 : 150), to, std::move(action)});
        }
    }

    void deliver()
    {
        std::vector<Message> notDue;
        std::vector<Message> due;
        for (Message &message : messages_) {
            const bool ready = message.at <= now_ && agents_[message.to].pausedUntil <= now_;
            (ready ? due : notDue).push_back(std::move(message));
        }
        messages_ = std::move(notDue);
        for (const Message &message : due) {
            message.action();
        }
    }

    void requestGrants(std::size_t index)
    {
        const std::uint64_t set = agents_[index].home->members().hash;
        const TimePoint requestedAt = now_;
        const int incarnation = incarnations_[index];
        for (std::size_t other = 0; other < kAgents; ++other) {
            send(other, [this, index, other, set, requestedAt, incarnation] {
                const bool granted = agents_[other].grants->grant(set, now_);
                if (!granted && fault_ != InjectedFault::GrantAnySet) {
                    return;
                }
                send(index, [this, index, other, set, requestedAt, incarnation] {
                    if (incarnations_[index] == incarnation) {
                        const bool fromAnswer = fault_ == InjectedFault::LeaseFromAnswer;
                        // A wall time in the past sets a minimum key time that is too early.
                        const UnixMillis grantedAtWall = fault_ == InjectedFault::StaleMinKeyTime
                                                             ? wall() - std::chrono::hours(1)
                                                             : wall();
                        agents_[index].home->onGrant(name(other), set,
                                                     fromAnswer ? now_ + kLease : requestedAt, now_,
                                                     grantedAtWall);
                    }
                });
            });
        }
    }

    void injectDisturbances()
    {
        const std::size_t index = pick(kAgents);
        if (chance(0.02)) {
            agents_[index].pausedUntil = now_ + delay(9000);
        }
        if (chance(0.03)) {
            const std::size_t replaced = chance(0.5) ? 0 : index;
            agents_[replaced].pausedUntil = {};
            start(replaced, memberList_);
        }
        if (chance(0.02)) {
            memberList_ = someMembers();
            for (std::size_t other = 0; other < kAgents; ++other) {
                const MemberSet set = setOf(memberList_);
                messages_.push_back({now_ + delay(8000), other,
                                     [this, other, set] { agents_[other].home->setMembers(set); }});
            }
        }
    }

    void sendKeys()
    {
        if (chance(0.5)) {
            keys_.push_back(keyAt(wall(), random_()));
        }
        // Clients stop retrying a key after 40 newer ones, which takes several seconds.
        while (keys_.size() > 40) {
            keys_.pop_front();
        }
        for (const std::string &key : keys_) {
            const std::size_t index = pick(kAgents);
            Agent &agent = agents_[index];
            if (agent.pausedUntil > now_) {
                continue;
            }
            if (agent.home->accept(kAccount, key, now_, wall()) == KeyVerdict::Accept) {
                ++accepted_[key];
            }
        }
    }

    void step()
    {
        deliver();
        injectDisturbances();
        if (now_.time_since_epoch() % std::chrono::milliseconds(500) == Duration{}) {
            for (std::size_t index = 0; index < kAgents; ++index) {
                if (agents_[index].pausedUntil <= now_) {
                    requestGrants(index);
                }
            }
        }
        sendKeys();
    }

    std::mt19937_64 random_;
    InjectedFault fault_;
    TimePoint now_{};
    Agent agents_[kAgents];
    int incarnations_[kAgents] = {};
    std::vector<std::size_t> memberList_ = allMembers();
    std::vector<Message> messages_;
    std::deque<std::string> keys_;
    std::map<std::string, int> accepted_;
};

bool detects(InjectedFault fault)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        if (KeyHomeSimulation(seed, fault).run() > 0) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_GROUP(KeyHomeTest)
{
    KeyHome home{InstanceId("a"), {}};
    MemberSet set = makeMemberSet({InstanceId("a")});
    UnixMillis wall{1'700'000'000'000};
    TimePoint now{std::chrono::seconds(100)};

    void becomeHome()
    {
        home.setMembers(set);
        home.confirmMembers(now);
        home.onGrant(InstanceId("a"), set.hash, now, now, wall);
    }
};

TEST(KeyHomeTest, AcceptsEachKeyAtMostOnceOverManySchedules)
{
    std::size_t accepted = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed) {
        KeyHomeSimulation simulation(seed, InjectedFault::None);
        const int duplicates = simulation.run();
        if (duplicates != 0) {
            FAIL(fmt::format("seed {}: {} keys were accepted twice", seed, duplicates).c_str());
        }
        accepted += simulation.acceptedKeys();
    }
    CHECK(accepted > 2000);
}

TEST(KeyHomeTest, SimulationDetectsGrantsOfAnySet)
{
    CHECK(detects(InjectedFault::GrantAnySet));
}

TEST(KeyHomeTest, SimulationDetectsGrantsIssuedRightAfterARestart)
{
    CHECK(detects(InjectedFault::NoRefusalAfterStart));
}

TEST(KeyHomeTest, SimulationDetectsALeaseCountedFromTheAnswer)
{
    CHECK(detects(InjectedFault::LeaseFromAnswer));
}

TEST(KeyHomeTest, SimulationDetectsAStaleMinKeyTime)
{
    CHECK(detects(InjectedFault::StaleMinKeyTime));
}

TEST(KeyHomeTest, RefusesWithAnUnconfirmedMemberList)
{
    becomeHome();
    const TimePoint muchLater = now + std::chrono::minutes(10);
    const UnixMillis later = wall + std::chrono::minutes(10);
    home.onGrant(InstanceId("a"), set.hash, muchLater, muchLater, later);

    CHECK(home.accept(kAccount, keyAt(later + UnixMillis(2500), 1), muchLater,
                      later + UnixMillis(2500))
          == KeyVerdict::Unsure);
}

TEST(KeyHomeTest, RefusesKeysMadeBeforeTheGrants)
{
    becomeHome();

    CHECK(home.accept(kAccount, keyAt(wall, 1), now, wall) == KeyVerdict::Unsure);
}

TEST(KeyHomeTest, AcceptsANewKeyOnce)
{
    becomeHome();
    const UnixMillis later = wall + std::chrono::seconds(2) + UnixMillis(1);

    CHECK(home.accept(kAccount, keyAt(later, 1), now, later) == KeyVerdict::Accept);
    CHECK(home.accept(kAccount, keyAt(later, 1), now, later) == KeyVerdict::SeenBefore);
}

TEST(KeyHomeTest, KeepsKeysOfTwoAccountsApart)
{
    becomeHome();
    const UnixMillis later = wall + std::chrono::seconds(5);
    home.accept(kAccount, keyAt(later, 1), now, later);

    CHECK(home.accept(AccountId("other"), keyAt(later, 1), now, later) == KeyVerdict::Accept);
}

TEST(KeyHomeTest, RefusesAfterALeaseExpires)
{
    becomeHome();
    const UnixMillis later = wall + std::chrono::seconds(5);

    CHECK(home.accept(kAccount, keyAt(later, 1), now + kLease, later) == KeyVerdict::Unsure);
}

TEST(KeyHomeTest, ReadsTheTimeOfVersion7UuidsOnly)
{
    CHECK_FALSE(uuidV7Time("0190163d-8694-4f3a-8c0a-000000000001").has_value());
    CHECK_FALSE(uuidV7Time("hello").has_value());
    CHECK(uuidV7Time("0190163d-8694-7f3a-8c0a-000000000001").has_value());
}
