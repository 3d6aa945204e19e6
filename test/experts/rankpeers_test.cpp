// What a decider does when the agent beside a rank goes silent. Real sockets on loopback.
#include "enginehttp.h"
#include "experts/rankpeers.h"
#include "freeport.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

class NoListener final : public RankPeersListener
{
public:
    void onPeerFacts(const RankFacts & /*facts*/, TimePoint /*askedAt*/) override {}
    void onPeerOrderAnswer(std::uint32_t /*rank*/, const MapOrder & /*order*/,
                           MapOrderAnswer /*answer*/) override
    {}
};

} // namespace

TEST_GROUP(RankPeersTest){};

// An open connection may go silent for good, without a reset, while new ones work.
TEST(RankPeersTest, ConnectsAnewToAnAgentWhoseConnectionHasGoneSilent)
{
    auto loop = *EventLoop::create();
    auto transport = *RawTransport::create(*loop);
    auto client = *HttpClient::create(*loop);
    const platform::EngineHttp calls;
    RankClient ranks(*loop, *client, calls);
    NoListener listener;
    const int agentPort = freePort();
    // Accepts, and never says a word.
    std::vector<kj::Own<RawStream>> accepted;
    const auto keep = [&accepted](kj::Own<RawStream> stream) {
        accepted.push_back(kj::mv(stream));
    };
    CHECK_TRUE(transport->listen({"127.0.0.1", agentPort}, keep).has_value());
    {
        const RankPeers::Settings settings{agentPort, GroupId("north"), 1e6};
        RankPeers peers(*loop, *transport, ranks, settings, listener);
        peers.setListed({{InstanceId("i-1"), SocketAddress{"127.0.0.1", freePort()}}});
        constexpr Duration kTurn = std::chrono::milliseconds(50);
        PeriodicTimer asking(*loop, kTurn,
                             [&peers, kTurn] { peers.askReports({}, 2 * kTurn, kTurn, 0); });
        loop->schedule(std::chrono::milliseconds(3500), [&loop] { loop->stop(); });
        loop->run();
    }
    CHECK_TEXT(accepted.size() >= 2,
               "expected a second connection within 3.5 s, found the silent one still in use");
    accepted.clear();
    loop->shutDown();
}
