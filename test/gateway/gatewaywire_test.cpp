#include "gateway/gatewaywire.h"

#include "net/crashwire.h"

#include <capnp/message.h>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(GatewayWireTest){};

TEST(GatewayWireTest, GatewayRecordRoundTrips)
{
    const GatewayRecord record{InstanceId("gateway-1"), HallId("north"), "10.0.0.7", 7001};
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<wire::GatewayRecord>();
    writeGateway(record, std::chrono::milliseconds(40), to);
    CHECK_TRUE(readGateway(to.asReader()) == record);
    LONGS_EQUAL(40'000, to.asReader().getHeardMicrosAgo());
}

TEST(GatewayWireTest, UpstreamRecordRoundTrips)
{
    const UpstreamRecord record{InstanceId("i-1"),
                                TargetName("portal"),
                                "10.0.0.9",
                                8001,
                                HallId("south"),
                                6,
                                true,
                                41,
                                40,
                                UpstreamStart(1'764'000'000'123),
                                std::chrono::milliseconds(2500),
                                TimePoint(std::chrono::seconds(9))};
    const TimePoint now{std::chrono::seconds(7)};
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<wire::ListedUpstream>();
    writeUpstream(record, now, to);
    CHECK_TRUE(readUpstream(to.asReader(), now) == record);
}

// The steady clocks of two gateways are unrelated.
TEST(GatewayWireTest, WarmUpIsSentAsRemainingTime)
{
    UpstreamRecord record;
    record.warmAt = TimePoint(std::chrono::seconds(9));
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<wire::ListedUpstream>();
    writeUpstream(record, TimePoint(std::chrono::seconds(7)), to);
    const TimePoint readAt{std::chrono::seconds(100)};
    CHECK_TRUE(readUpstream(to.asReader(), readAt).warmAt == readAt + std::chrono::seconds(2));
    writeUpstream(record, TimePoint(std::chrono::seconds(10)), to);
    CHECK_TRUE(readUpstream(to.asReader(), readAt).warmAt <= readAt);
}

TEST(GatewayWireTest, DrainedHallsRoundTrip)
{
    const std::set<HallId> halls{HallId("north"), HallId("south")};
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<wire::GatewayNews>();
    writeDrainedHalls(halls, to);
    CHECK_TRUE(readDrainedHalls(to.asReader()) == halls);
}

TEST(GatewayWireTest, CompressedDocumentRoundTrips)
{
    std::string text;
    for (int route = 0; route < 2000; ++route) {
        text += R"({"name":"route-)" + std::to_string(route) + R"(","type":"streaming"},)";
    }
    const auto bytes = compressText(text);
    CHECK_TRUE(bytes.size() < text.size() / 5);
    STRCMP_EQUAL(text.c_str(), decompressText(bytes.data(), bytes.size(), text.size())->c_str());
}

TEST(GatewayWireTest, TruncatedOrMissizedDocumentIsRejected)
{
    const auto bytes = compressText("a document of some length, a document of some length");
    CHECK_FALSE(decompressText(bytes.data(), bytes.size() / 2, 52).has_value());
    CHECK_FALSE(decompressText(bytes.data(), bytes.size(), 51).has_value());
    CHECK_FALSE(decompressText(bytes.data(), bytes.size(), 53).has_value());
}

TEST(GatewayWireTest, OversizedDocumentIsRejected)
{
    const auto bytes = compressText("short");
    CHECK_FALSE(decompressText(bytes.data(), bytes.size(), std::size_t{1} << 40U).has_value());
}

// Times are sent as ages, because the clocks of two gateways are not comparable.
TEST(GatewayWireTest, SuspectTimesAreSentAsAges)
{
    CrashSuspect suspect;
    suspect.key = SuspectKey(RequestDigest(0xfeed));
    suspect.account = 12;
    suspect.crashes = {{1, TimePoint(std::chrono::seconds(3))},
                       {2, TimePoint(std::chrono::seconds(7))}};
    suspect.lastCompletedAt = TimePoint(std::chrono::seconds(2));
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<wire::CrashSuspect>();
    writeSuspect(suspect, TimePoint(std::chrono::seconds(10)), to);
    const auto read = readSuspect(to.asReader(), TimePoint(std::chrono::seconds(110)));
    CHECK_TRUE(read.key == suspect.key);
    LONGS_EQUAL(12, read.account);
    LONGS_EQUAL(2, read.crashes.size());
    CHECK_TRUE(read.crashes[1].at == TimePoint(std::chrono::seconds(107)));
    CHECK_TRUE(read.lastCompletedAt == TimePoint(std::chrono::seconds(102)));
}

TEST(GatewayWireTest, PromptPartsStayDistinctFromRequests)
{
    CrashSuspect suspect;
    suspect.key = SuspectKey(TargetName("model"), PromptPartId(7));
    capnp::MallocMessageBuilder message;
    auto to = message.initRoot<wire::CrashSuspect>();
    writeSuspect(suspect, TimePoint(), to);
    CHECK_TRUE(readSuspect(to.asReader(), TimePoint()).key == suspect.key);
}

// A later version may know further kinds.
TEST(GatewayWireTest, SuspectsOfUnknownKindsAreSkipped)
{
    capnp::MallocMessageBuilder message;
    auto news = message.initRoot<wire::GatewayNews>();
    auto list = news.initCrashes(2);
    list[0].setKind(200);
    list[0].initEnds(1);
    list[1].initEnds(1);
    CrashRecord record{CrashRecord::Settings()};
    mergeSuspects(news.asReader().getCrashes(), TimePoint(), record);
    LONGS_EQUAL(1, record.size());
}
