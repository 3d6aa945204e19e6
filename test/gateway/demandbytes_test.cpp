#include "gateway/gatewaywire.h"

#include "decision/gateway/demandsite.h"

#include <CppUTest/TestHarness.h>
#include <capnp/rpc.capnp.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <random>

using namespace seamarch;
using namespace std::chrono_literals;

namespace {

using Statement = std::vector<std::uint8_t>;

std::size_t sizeOf(capnp::MessageBuilder &message)
{
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

// Returns the bytes of a poll, as sent.
std::size_t pollBytes(const Statement &statement)
{
    capnp::MallocMessageBuilder message;
    auto call = message.initRoot<capnp::rpc::Message>().initCall();
    call.initTarget().setImportedCap(0);
    call.setInterfaceId(capnp::typeId<wire::GatewayPeer>());
    auto params = initWithDemand<wire::GatewayPeer::ExchangeParams>(call.initParams().initContent(),
                                                                    statement);
    writeGateway({InstanceId("edge-zilina-a-5"), HallId("zilina-a"), "10.3.64.12", 7001},
                 Duration{}, params.initSelf());
    return sizeOf(message);
}

// Returns the bytes of an answer that states one group, and of the message that ends the call.
std::size_t answerBytes(const Statement &statement)
{
    capnp::MallocMessageBuilder message;
    auto content = message.initRoot<capnp::rpc::Message>().initReturn().initResults().initContent();
    auto results = content.initAs<wire::GatewayPeer::ExchangeResults>();
    capnp::AnyStruct::Builder fields(kj::mv(results));
    auto news = initWithDemand<wire::GatewayNews>(fields.getPointerSection()[0], statement);
    GroupFacts facts;
    facts.group = DemandSite::kGroup;
    writeGroup(facts, 100ms, false, news.initGroups(1)[0]);
    capnp::MallocMessageBuilder end;
    end.initRoot<capnp::rpc::Message>().initFinish();
    return sizeOf(message) + sizeOf(end);
}

// Returns the bytes per second that demand adds at the busiest gateway of a site, sent and
// received, while the demand of all gateways changes all the time.
double busiestBytesPerSecond(DemandSite &site)
{
    std::mt19937 engine(7);
    std::vector<double> bytes(site.gateways.size());
    site.onPoll = [&](std::size_t from, std::size_t to, bool isAdded, const Statement &stated,
                      const Statement &answer) {
        const auto unchanged = isAdded ? 0 : pollBytes({}) + answerBytes({});
        const auto added = static_cast<double>(pollBytes(stated) + answerBytes(answer) - unchanged);
        bytes[from] += added;
        bytes[to] += added;
    };
    constexpr int kSeconds = 10;
    for (int change = 0; change < kSeconds * 5; ++change) {
        for (auto &gateway : site.gateways) {
            gateway.inFlight = static_cast<std::uint32_t>(engine() % 40);
            gateway.queued = static_cast<std::uint32_t>(engine() % 30);
            gateway.limit = 3.0 + static_cast<double>(engine() % 30);
        }
        site.run(200ms);
    }
    return *std::max_element(bytes.begin(), bytes.end()) / kSeconds;
}

} // namespace

TEST_GROUP(DemandBytesTest){};

TEST(DemandBytesTest, TheBusiestOfManyGatewaysSendsAndReceivesLittleMore)
{
    DemandSite site(5, 107, 10.0); // 535 gateways.
    const double bytes = busiestBytesPerSecond(site);
    CHECK_TEXT(bytes < 10'000.0, std::to_string(bytes).c_str());
}

TEST(DemandBytesTest, TheBusiestOfAFewGatewaysSendsAndReceivesLittleMore)
{
    DemandSite site(3, 3, 10.0); // 9 gateways.
    const double bytes = busiestBytesPerSecond(site);
    CHECK_TEXT(bytes < 2'000.0, std::to_string(bytes).c_str());
}

TEST(DemandBytesTest, AMessageWithoutAStatementIsNoLongerThanInEarlierVersions)
{
    capnp::MallocMessageBuilder now;
    initWithDemand<wire::GatewayNews>(now.getRoot<capnp::AnyPointer>(), {});
    capnp::MallocMessageBuilder before;
    before.initRoot<wire::GatewayNews>();
    LONGS_EQUAL(sizeOf(before), sizeOf(now));
}

TEST(DemandBytesTest, AnEarlierVersionReadsMessagesWithAStatement)
{
    capnp::MallocMessageBuilder message;
    auto news = initWithDemand<wire::GatewayNews>(message.getRoot<capnp::AnyPointer>(), {1, 2, 3});
    news.setRevision(41);
    LONGS_EQUAL(41, message.getRoot<wire::GatewayNews>().getRevision());
    const auto read = readDemand(message.getRoot<wire::GatewayNews>().asReader());
    CHECK_TRUE(Statement(read.begin(), read.end()) == (Statement{1, 2, 3}));
}
