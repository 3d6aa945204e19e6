// Tests of RankPeers with an agent that does not answer. Uses real sockets on loopback.
#include "enginehttp.h"
#include "experts/rankpeers.h"
#include "freeport.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

class NullListener final : public RankPeersListener
{
public:
    void onPeerFacts(const RankFacts & /*facts*/, TimePoint /*requestedAt*/) override {}
    void onPeerOrderAnswer(std::uint32_t /*rank*/, const MapOrder & /*order*/,
                           MapOrderAnswer /*answer*/) override
    {}
};

} // namespace

TEST_GROUP(RankPeersTest){};

// Guards against a peer that stays on one connection for good: an open connection may stop carrying
// data without a reset while new connections work.
TEST(RankPeersTest, ReconnectsToAnAgentWhoseConnectionHasGoneSilent)
{
    auto loop = *EventLoop::create();
    auto transport = *RawTransport::create(*loop);
    auto client = *HttpClient::create(*loop);
    const platform::EngineHttp protocol;
    EngineClient engineClient(*loop, *client, protocol);
    NullListener listener;
    const int agentPort = freePort();
    // Accepts connections and never answers.
    std::vector<kj::Own<RawStream>> accepted;
    const auto keep = [&accepted](kj::Own<RawStream> stream) {
        accepted.push_back(kj::mv(stream));
    };
    CHECK_TRUE(transport->listen({"127.0.0.1", agentPort}, keep).has_value());
    {
        const RankPeers::Settings settings{agentPort, GroupId("north"), 1e6};
        RankPeers peers(*loop, *transport, engineClient, settings, listener);
        peers.setEngines({{InstanceId("i-1"), SocketAddress{"127.0.0.1", freePort()}}});
        constexpr Duration kCallInterval = std::chrono::milliseconds(50);
        PeriodicTimer requestTimer(*loop, kCallInterval, [&peers, kCallInterval] {
            peers.requestReports({}, 2 * kCallInterval, kCallInterval, 0);
        });
        loop->schedule(std::chrono::milliseconds(3500), [&loop] { loop->stop(); });
        loop->run();
    }
    CHECK_TEXT(accepted.size() >= 2,
               "no second connection within 3.5 s; the silent one is still in use");
    accepted.clear();
    loop->shutDown();
}
