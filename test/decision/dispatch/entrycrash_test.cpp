// Guards against a request that ends the process of every upstream that runs it: its caller repeats
// it, and the entry itself retries it at the next agent.
#include "decision/dispatch/entrycore.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

TimePoint at(int millis)
{
    return TimePoint(std::chrono::milliseconds(millis));
}

const RequestDigest kCrashingRequest(7);
const TargetName kTarget("portal");

} // namespace

TEST_GROUP(EntryCrashTest)
{
    std::unique_ptr<EntryCore> core;
    EntryActions actions;
    InstanceList list;
    RequestDigest digest = kCrashingRequest;
    std::uint64_t prefixHash = 0;

    void setup() override
    {
        EntryCore::Settings settings;
        settings.hall = HallId("north");
        settings.incarnation = Incarnation(1);
        core = std::make_unique<EntryCore>(settings, std::make_unique<ExpectedWaitRouter>());
        list.version = ListVersion(1);
        for (const char *id : {"one", "two", "three", "four"}) {
            InstanceRecord record;
            record.id = InstanceId(id);
            record.hall = settings.hall;
            record.serves = {kTarget};
            list.instances.push_back(record);
        }
        core->applyList(list);
        for (const InstanceRecord &record : list.instances) {
            AgentReport report;
            report.incarnation = Incarnation(7);
            report.slots = 8;
            report.tokensPerSecond = 1000;
            core->onReport(record.id, report, at(0), at(0), actions);
        }
    }

    RequestId begin(bool repeatable, int now)
    {
        EntryRequest request;
        request.account = AccountId("bids");
        request.target = kTarget;
        request.repeatable = repeatable;
        request.deadline = std::chrono::seconds(60);
        request.digest = digest;
        request.prefixHash = prefixHash;
        return core->begin(request, at(now), actions);
    }

    InstanceId sentTo() const
    {
        InstanceId agent;
        for (const EntryAction &action : actions) {
            if (const auto *call = std::get_if<SendCall>(&action)) {
                agent = call->agent;
            }
        }
        return agent;
    }

    void endUpstreamOf(RequestId id, int now)
    {
        actions.clear();
        core->onRefused(id, FailureCode::UpstreamEnded, Outcome::Unknown, {}, at(now), actions);
    }

    const FailRequest *failure() const
    {
        const auto *last = actions.empty() ? nullptr : std::get_if<FailRequest>(&actions.back());
        return last;
    }
};

TEST(EntryCrashTest, RequestIsNotSentAgainAfterEndingTwoUpstreams)
{
    const RequestId id = begin(true, 0);
    endUpstreamOf(id, 100);
    CHECK_TRUE(sentTo() != InstanceId());
    endUpstreamOf(id, 200);
    CHECK_TRUE(sentTo() == InstanceId());
    CHECK_TRUE(failure()->outcome == Outcome::Unknown);
    actions.clear();
    begin(false, 300);
    CHECK_TRUE(failure()->failure == FailureCode::RequestEndsUpstreams);
    CHECK_TRUE(failure()->outcome == Outcome::NotRun);
    CHECK_TRUE(failure()->retryAfter == Duration{});
}

TEST(EntryCrashTest, CompleteAnswerClearsTheRecord)
{
    endUpstreamOf(begin(false, 0), 100);
    LONGS_EQUAL(1, core->crashes().crashCount(SuspectKey(kCrashingRequest)));
    actions.clear();
    const RequestId id = begin(false, 200);
    const InstanceId agent = sentTo();
    CHECK_TRUE(core->onAnswer(id, agent));
    core->onComplete(id, agent, at(300));
    LONGS_EQUAL(0, core->crashes().crashCount(SuspectKey(kCrashingRequest)));
}

TEST(EntryCrashTest, CrashAfterTheCallerHasLeftCounts)
{
    const RequestId id = begin(false, 0);
    const InstanceId agent = sentTo();
    core->onCallerGone(id, actions);
    core->onAbandonedCallCrashed(id, InstanceId("other"), at(100));
    LONGS_EQUAL(0, core->crashes().crashCount(SuspectKey(kCrashingRequest)));
    core->onAbandonedCallCrashed(id, agent, at(100));
    core->onAbandonedCallCrashed(id, agent, at(200)); // Counts once.
    LONGS_EQUAL(1, core->crashes().crashCount(SuspectKey(kCrashingRequest)));
}

TEST(EntryCrashTest, EndOfLeavingUpstreamIsNotCounted)
{
    const RequestId id = begin(false, 0);
    for (InstanceRecord &record : list.instances) {
        record.state = record.id == sentTo() ? InstanceState::Leaving : record.state;
    }
    list.version = ListVersion(2);
    core->applyList(list);
    endUpstreamOf(id, 100);
    LONGS_EQUAL(0, core->crashes().crashCount(SuspectKey(kCrashingRequest)));
}

TEST(EntryCrashTest, LostConnectionIsNotCounted)
{
    const RequestId id = begin(false, 0);
    core->onConnectionLost(id, at(100), actions);
    LONGS_EQUAL(0, core->crashes().crashCount(SuspectKey(kCrashingRequest)));
}

// Guards against crash records that are kept by whole calls when their common prefix is the cause.
TEST(EntryCrashTest, CallsWithACrashingPromptPrefixAreNotSent)
{
    prefixHash = 71;
    digest = RequestDigest(98);
    const RequestId sound = begin(false, 0);
    core->onAnswer(sound, sentTo());
    core->onComplete(sound, sentTo(), at(10));
    prefixHash = 70;
    for (const int now : {100, 700}) {
        digest = RequestDigest(static_cast<std::uint64_t>(now) + 100);
        endUpstreamOf(begin(false, now), now + 50);
    }
    actions.clear();
    digest = RequestDigest(99);
    begin(false, 900);
    CHECK_TRUE(sentTo() == InstanceId());
    CHECK_TRUE(failure()->failure == FailureCode::RequestEndsUpstreams);
    actions.clear();
    prefixHash = 71;
    begin(false, 950);
    CHECK_TRUE(sentTo() != InstanceId());
}

TEST(EntryCrashTest, CompleteAnswerClearsThePromptPrefix)
{
    prefixHash = 70;
    const SuspectKey prefix(kTarget, PromptPartId(prefixHash));
    endUpstreamOf(begin(false, 0), 100);
    LONGS_EQUAL(1, core->crashes().crashCount(prefix));
    actions.clear();
    digest = RequestDigest(99);
    const RequestId id = begin(false, 200);
    const InstanceId agent = sentTo();
    CHECK_TRUE(core->onAnswer(id, agent));
    core->onComplete(id, agent, at(300));
    LONGS_EQUAL(0, core->crashes().crashCount(prefix));
}
