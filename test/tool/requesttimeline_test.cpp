#include "tool/requesttimeline.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

// Returns a log line with a time of `second` seconds after 16:01 and with `extraFields`, which
// begin with a comma.
std::string line(double second, const std::string &event, const std::string &extraFields,
                 const std::string &instance = "g-1")
{
    return fmt::format(R"({{"time":"2026-12-02T16:01:{:06.3f}Z","event":"{}","instance":"{}"{}}})"
                       "\n",
                       second, event, instance, extraFields);
}

const std::string kRequestIdField = R"(,"id":"r-1")";

} // namespace

TEST_GROUP(RequestTimelineTest){};

TEST(RequestTimelineTest, SortsLinesOfSeveralFilesByTime)
{
    const RequestTimeline timeline = readRequestTimeline(
        "r-1", {line(3, "request.ended", kRequestIdField + R"(,"result":"served")"),
                line(1, "attempt.started", kRequestIdField)
                    + line(2, "attempt.started", R"(,"id":"r-2")")});
    LONGS_EQUAL(2, timeline.lines.size());
    STRCMP_EQUAL("attempt.started", timeline.lines[0]["event"].get<std::string>().c_str());
    STRCMP_EQUAL("served", timeline.cause.c_str());
}

TEST(RequestTimelineTest, IncludesStateChangesOfItsGatewayAndOfExpertAgents)
{
    const RequestTimeline timeline = readRequestTimeline(
        "r-1", {line(10, "store.lost", "") + line(10, "store.lost", "", "g-2")
                + line(2, "store.reached", "")
                + line(11, "group.formed", R"(,"role":"expertagent")", "a-1")
                + line(12, "request.refused", kRequestIdField + R"(,"code":"knowledge_stale")")});
    LONGS_EQUAL(3, timeline.lines.size());
    CHECK_TRUE(timeline.cause.find("had not heard from the store") != std::string::npos);
}

TEST(RequestTimelineTest, DistinguishesFullUpstreamsFromRequestNeverSent)
{
    const std::string refused =
        line(2, "request.refused", kRequestIdField + R"(,"code":"no_upstream")");
    const std::string full = line(1, "attempt.started", kRequestIdField)
                             + line(1, "attempt.refused", kRequestIdField + R"(,"kind":"full")");
    CHECK_TRUE(readRequestTimeline("r-1", {full + refused}).cause.find("had no room")
               != std::string::npos);
    CHECK_TRUE(readRequestTimeline("r-1", {refused}).cause.find("not sent") != std::string::npos);
}

TEST(RequestTimelineTest, NamesTheUpstreamThatLostTheAnswer)
{
    const RequestTimeline timeline = readRequestTimeline(
        "r-1",
        {line(1, "attempt.started", kRequestIdField)
         + line(2, "attempt.lost", kRequestIdField + R"(,"upstream":"i-9","end":"interrupted")")
         + line(2, "request.refused", kRequestIdField + R"(,"code":"upstream_unreachable")")});
    CHECK_TRUE(timeline.cause.find("i-9 lost the answer (interrupted)") != std::string::npos);
}

TEST(RequestTimelineTest, ReportsUpstreamThatEndedWhileRunningTheRequest)
{
    const RequestTimeline timeline = readRequestTimeline(
        "r-1",
        {line(1, "attempt.started", kRequestIdField)
         + line(2, "attempt.lost", kRequestIdField + R"(,"upstream":"i-9","end":"interrupted")")
         + line(2, "upstream.probed", kRequestIdField + R"(,"upstream":"i-9","state":"ended")")
         + line(2, "request.refused", kRequestIdField + R"(,"code":"upstream_unreachable")")});
    CHECK_TRUE(timeline.cause.find("i-9 ended under it") != std::string::npos);
}

TEST(RequestTimelineTest, ReportsRequestRefusedForEndingUpstreams)
{
    const RequestTimeline timeline = readRequestTimeline(
        "r-1",
        {line(1, "request.refused", kRequestIdField + R"(,"code":"request_ends_upstreams")")});
    CHECK_TRUE(timeline.cause.find("ended, one after the other") != std::string::npos);
}

TEST(RequestTimelineTest, SkipsAndCountsUnreadableLines)
{
    const RequestTimeline timeline =
        readRequestTimeline("r-1", {"node-1 | " + line(1, "attempt.started", kRequestIdField)
                                    + "{\"time\":\"2026\nno log\n"});
    LONGS_EQUAL(1, timeline.lines.size());
    LONGS_EQUAL(2, timeline.unreadableLines);
    STRCMP_EQUAL("its end is not in these logs", timeline.cause.c_str());
}

TEST(RequestTimelineTest, UnknownRequestIsNotFound)
{
    CHECK_FALSE(readRequestTimeline("r-9", {line(1, "attempt.started", kRequestIdField)}).found());
}
