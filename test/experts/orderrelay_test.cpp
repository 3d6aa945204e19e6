// Tests of OrderRelay with agents that answer, are unreachable, or accept connections but never
// answer. Uses real sockets on loopback; each agent has its own address.
#include "experts/orderrelay.h"
#include "experts/rankwire.h"
#include "freeport.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

// Answers each order with Copied and records its version.
class CopyingAgent final : public wire::RankAgent::Server
{
public:
    explicit CopyingAgent(std::vector<std::uint64_t> &versions)
        : versions_(versions)
    {}

    kj::Promise<void> order(OrderContext context) override
    {
        versions_.push_back(readOrder(context.getParams().getOrder())->version);
        context.getResults().setStatus(static_cast<std::uint16_t>(MapOrderAnswer::Copied));
        return kj::READY_NOW;
    }

private:
    std::vector<std::uint64_t> &versions_;
};

MapOrder prepareOf(std::uint64_t version)
{
    MapOrder order;
    order.version = version;
    order.experts = std::make_shared<const ExpertMap>(ExpertMap{{{0}, {1}}});
    return order;
}

MapOrderAnswer answerOf(const std::vector<RelayedAnswer> &answers, std::uint32_t rank)
{
    for (const RelayedAnswer &answer : answers) {
        if (answer.rank == rank) {
            return answer.answer;
        }
    }
    FAIL("no answer reported for a target of the order");
    return MapOrderAnswer::Lost;
}

} // namespace

TEST_GROUP(OrderRelayTest){};

TEST(OrderRelayTest, CollectsAnswersAndReportsSilentAndUnreachableAgentsAsLost)
{
    auto loop = *EventLoop::create();
    auto transport = *RawTransport::create(*loop);
    const int port = freePort();
    std::vector<std::uint64_t> versions;
    std::vector<std::unique_ptr<RpcPeer>> serving;
    const auto serve = [&](kj::Own<RawStream> stream) {
        serving.push_back(RpcPeer::server(kj::mv(stream), kj::heap<CopyingAgent>(versions)));
    };
    CHECK_TRUE(transport->listen({"127.0.0.1", port}, serve).has_value());
    std::vector<kj::Own<RawStream>> silentStreams;
    const auto keep = [&silentStreams](kj::Own<RawStream> stream) {
        silentStreams.push_back(kj::mv(stream));
    };
    CHECK_TRUE(transport->listen({"127.0.0.2", port}, keep).has_value());
    std::vector<RelayedAnswer> answers;
    int doneCalls = 0;
    {
        OrderRelay relay(*loop, *transport, port);
        relay.relay(prepareOf(9), {{1, "127.0.0.1"}, {2, "127.0.0.2"}, {3, "127.0.0.3"}},
                    [&](const std::vector<RelayedAnswer> &collected) {
                        answers = collected;
                        ++doneCalls;
                    });
        loop->schedule(std::chrono::milliseconds(1500), [&loop] { loop->stop(); });
        loop->run();
    }
    LONGS_EQUAL(1, doneCalls);
    LONGS_EQUAL(3, answers.size());
    CHECK_TRUE(answerOf(answers, 1) == MapOrderAnswer::Copied);
    CHECK_TRUE(answerOf(answers, 2) == MapOrderAnswer::Lost);
    CHECK_TRUE(answerOf(answers, 3) == MapOrderAnswer::Lost);
    CHECK_TRUE(versions == std::vector<std::uint64_t>{9});
    serving.clear();
    silentStreams.clear();
    loop->shutDown();
}

TEST(OrderRelayTest, ReconnectsToASilentAgentForTheNextOrder)
{
    auto loop = *EventLoop::create();
    auto transport = *RawTransport::create(*loop);
    const int port = freePort();
    std::vector<kj::Own<RawStream>> silentStreams;
    const auto keep = [&silentStreams](kj::Own<RawStream> stream) {
        silentStreams.push_back(kj::mv(stream));
    };
    CHECK_TRUE(transport->listen({"127.0.0.1", port}, keep).has_value());
    {
        OrderRelay relay(*loop, *transport, port);
        const auto sendAgain = [&](const std::vector<RelayedAnswer> & /*lost*/) {
            loop->schedule(std::chrono::milliseconds(10), [&relay] {
                relay.relay(prepareOf(10), {{1, "127.0.0.1"}}, [](const auto & /*answers*/) {});
            });
        };
        relay.relay(prepareOf(9), {{1, "127.0.0.1"}}, sendAgain);
        loop->schedule(std::chrono::milliseconds(1500), [&loop] { loop->stop(); });
        loop->run();
    }
    CHECK_TEXT(silentStreams.size() >= 2, "the second order reused the silent connection");
    silentStreams.clear();
    loop->shutDown();
}
