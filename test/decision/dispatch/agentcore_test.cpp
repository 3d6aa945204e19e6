#include "decision/dispatch/agentcore.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(AgentCoreTest)
{
    AgentCore core{settings(), TimePoint{}};
    AgentActions actions;

    static AgentCore::Settings settings()
    {
        AgentCore::Settings result;
        result.self = InstanceId("bid-1");
        result.incarnation = Incarnation(7);
        result.slots = 1;
        return result;
    }

    static AgentCall call(std::uint64_t number, Tokens answerTokens)
    {
        AgentCall result;
        result.id = {Incarnation(1), number};
        result.account = AccountId("bids");
        result.answerTokens = answerTokens;
        result.deadline = std::chrono::seconds(10);
        result.agentIncarnation = Incarnation(7);
        return result;
    }
};

TEST(AgentCoreTest, NewAgentAcceptsLongDeclaredAnswer)
{
    // Guards against a new agent that takes the declared length for the actual one. It would refuse
    // the normal requests of callers that declare the maximum that they would accept.
    AgentCall longCall = call(1, 60'000);
    longCall.deadline = std::chrono::seconds(60);

    CHECK(core.onCall(longCall, TimePoint{}, {}, actions).accepted);
}

TEST(AgentCoreTest, RefusesCallForAnotherIncarnation)
{
    AgentCall wrongIncarnation = call(1, 10);
    wrongIncarnation.agentIncarnation = Incarnation(6);

    const AdmissionResult admission = core.onCall(wrongIncarnation, TimePoint{}, {}, actions);

    CHECK_FALSE(admission.accepted);
    CHECK(admission.outcome == Outcome::NotRun);
}

TEST(AgentCoreTest, DuplicateRequestDoesNotStart)
{
    core.onCall(call(1, 10), TimePoint{}, {}, actions);

    CHECK_FALSE(core.onCall(call(1, 10), TimePoint{}, {}, actions).accepted);
    CHECK_EQUAL(1U, actions.size());
}

TEST(AgentCoreTest, ReloadingAgentReportsWaitingRequestsAsNotRun)
{
    core.onCall(call(1, 10), TimePoint{}, {}, actions);
    core.onCall(call(2, 10), TimePoint{}, {}, actions);
    actions.clear();

    core.setServing(false, actions);

    CHECK_EQUAL(1U, actions.size());
    CHECK(std::get<ReportNotRun>(actions.front()).id == call(2, 10).id);
    CHECK_FALSE(core.onCall(call(3, 10), TimePoint{}, {}, actions).accepted);
    core.setServing(true, actions);
    CHECK(core.onCall(call(4, 10), TimePoint{}, {}, actions).accepted);
}

TEST(AgentCoreTest, RefusesRequestsUntilBackoffEnds)
{
    const TimePoint start{};
    const TimePoint end = start + std::chrono::seconds(3);
    core.onCall(call(1, 10), start, {}, actions);
    core.onCall(call(2, 10), start, {}, actions);
    actions.clear();

    core.backOffUntil(end, start, actions);
    core.onEnded(call(1, 10).id, start, actions);

    CHECK_EQUAL(1U, actions.size());
    CHECK(std::get<ReportNotRun>(actions.front()).id == call(2, 10).id);
    CHECK(std::get<ReportNotRun>(actions.front()).retryAfter == end - start);
    const AdmissionResult admission =
        core.onCall(call(3, 10), start + std::chrono::seconds(1), {}, actions);
    CHECK_FALSE(admission.accepted);
    CHECK(admission.outcome == Outcome::NotRun);
    CHECK(admission.retryAfter == Duration(std::chrono::seconds(2)));
    CHECK(core.report().leaving);
    core.onTick(end, actions);
    CHECK_FALSE(core.report().leaving);
    CHECK(core.onCall(call(4, 10), end, {}, actions).accepted);
}

TEST(AgentCoreTest, LaterShorterBackoffDoesNotReplaceLongerOne)
{
    const TimePoint end = TimePoint{} + std::chrono::seconds(3);
    core.backOffUntil(end, TimePoint{}, actions);
    core.backOffUntil(TimePoint{} + std::chrono::seconds(1), TimePoint{}, actions);

    core.onTick(end - std::chrono::milliseconds(1), actions);
    CHECK(core.report().leaving);
    core.onTick(end, actions);
    CHECK_FALSE(core.report().leaving);
}
