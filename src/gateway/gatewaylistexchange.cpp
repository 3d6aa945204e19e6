#include "gateway/gatewaylistexchange.h"

#include "gateway/gatewaywire.h"

namespace seamarch {
namespace {

// The interval at which the gateway list is requested from any gateway: several requests fit into
// the time to live of a list entry.
constexpr Duration kInterval = std::chrono::seconds(2);
// A gateway that has just started requests the list more often: when a site starts, all of its
// gateways appear within a second.
constexpr Duration kStartupPeriod = std::chrono::seconds(3);
constexpr Duration kStartupInterval = std::chrono::milliseconds(800);

} // namespace

bool GatewayListExchange::isDue() const
{
    const TimePoint now = loop_.now();
    const bool startingUp = now - startedAt_ < kStartupPeriod;
    return now - requestedAt_ >= (startingUp ? kStartupInterval : kInterval);
}

void GatewayListExchange::apply(wire::GatewayNews::Reader news)
{
    const TimePoint now = loop_.now();
    GatewayDirectory::GossipUpdate update;
    update.digest = news.getGatewaysMark();
    const auto listed = news.getGateways();
    directory_.recordSeen(readGateway(listed[0]), now);
    for (std::uint32_t index = 1; index < listed.size(); ++index) {
        const TimePoint lastSeen = now - Duration(listed[index].getHeardMicrosAgo());
        update.peers.push_back({readGateway(listed[index]), lastSeen});
    }
    const auto ages = news.getGatewayAges();
    update.ages.assign(ages.begin(), ages.end());
    directory_.applyGossip(update, now);
}

void GatewayListExchange::write(wire::GatewayNews::Builder news, std::uint64_t knownDigest) const
{
    const TimePoint now = loop_.now();
    const GatewayDirectory::GossipUpdate update = directory_.gossipFor(knownDigest, now);
    news.setGatewaysMark(update.digest);
    auto list = news.initGateways(static_cast<std::uint32_t>(update.peers.size() + 1));
    writeGateway(directory_.self(), Duration{}, list[0]);
    for (std::uint32_t index = 0; index < update.peers.size(); ++index) {
        writeGateway(update.peers[index].record, now - update.peers[index].lastSeen,
                     list[index + 1]);
    }
    news.setGatewayAges(kj::arrayPtr(update.ages.data(), update.ages.size()));
}

} // namespace seamarch
