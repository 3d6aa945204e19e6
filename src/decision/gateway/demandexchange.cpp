#include "decision/gateway/demandexchange.h"

#include <algorithm>

namespace seamarch {
namespace {

// A gateway that was not heard of for this long is forgotten; it is then told everything again.
constexpr Duration kLinkTimeToLive = std::chrono::seconds(10);

} // namespace

void DemandExchange::setOwn(const DemandTable::Demands &demands, TimePoint now)
{
    ownVersion_ += table_.setOwn(demands, now) ? 1 : 0;
}

void DemandExchange::setPosition(bool isFirst, std::size_t hallGateways)
{
    isFirst_ = isFirst;
    minInterval_ = fromSeconds(static_cast<double>(hallGateways) * settings_.roundBytes
                               / settings_.statementBytesPerSecond);
}

// Sums come only from the first gateway of a hall, as only that one hears all others.
DemandScope DemandExchange::scopeFor(const Peer &peer) const
{
    if (peer.hall == hall_) {
        return isFirst_ ? DemandScope::Site : DemandScope::Gateway;
    }
    return isFirst_ ? DemandScope::Hall : DemandScope::None;
}

std::vector<std::uint8_t> DemandExchange::takeStatement(const Peer &peer, TimePoint now)
{
    Link &link = links_[peer.id];
    const DemandScope scope = scopeFor(peer);
    const std::uint64_t version = scope == DemandScope::Gateway || scope == DemandScope::None
                                      ? ownVersion_
                                      : table_.version();
    const bool first = link.sentVersion == 0;
    const bool changed = first || link.sentScope != scope
                         || (scope != DemandScope::None && link.sentVersion != version);
    if (!changed || (!first && now - link.sentAt < minInterval_)) {
        return {};
    }
    DemandMessage message;
    message.scope = scope;
    message.requestsStatement = !link.heard;
    if (scope == DemandScope::Gateway) {
        message.demands = table_.own();
    } else if (scope != DemandScope::None) {
        message.demands = scope == DemandScope::Hall ? table_.hallSums(now) : table_.siteSums(now);
    }
    link.sentScope = scope;
    link.sentVersion = version;
    link.sentAt = now;
    return encodeDemand(message);
}

void DemandExchange::onMessage(const Peer &peer, std::span<const std::uint8_t> bytes,
                               TimePoint asOf)
{
    Link &link = links_[peer.id];
    link.usedAt = std::max(link.usedAt, asOf);
    if (!bytes.empty()) {
        auto message = decodeDemand(bytes);
        if (message && message->requestsStatement) {
            link.sentVersion = 0;
        }
        // Of two statements on their way at once, the later one is not known: both are requested
        // again.
        link.heard = asOf >= link.heardAt ? std::move(message) : std::nullopt;
        link.sentVersion = link.heard ? link.sentVersion : 0;
        link.heardAt = std::max(link.heardAt, asOf);
    }
    if (link.heard) {
        apply(peer, *link.heard, asOf);
    }
}

void DemandExchange::apply(const Peer &peer, const DemandMessage &message, TimePoint asOf)
{
    const bool ownHall = peer.hall == hall_;
    if (message.scope == DemandScope::Gateway && ownHall) {
        table_.mergeGateway(peer.id, message.demands, asOf);
    } else if (message.scope == DemandScope::Hall && !ownHall) {
        table_.mergeHall(peer.hall, message.demands, asOf);
    } else if (message.scope == DemandScope::Site && ownHall && !isFirst_
               && !message.requestsStatement) {
        // Sums without this gateway's statement would give it a share of the others' limits alone.
        table_.mergeHall(peer.hall, message.demands, asOf);
    }
}

void DemandExchange::onFailed(const InstanceId &peer)
{
    links_.erase(peer);
}

bool DemandExchange::isHallPollDue(const Peer &peer, TimePoint now) const
{
    const auto found = links_.find(peer.id);
    const TimePoint last = found == links_.end() ? TimePoint{} : found->second.usedAt;
    const Duration interval = peer.id < self_ ? settings_.hallInterval + settings_.secondPollDelay
                                              : settings_.hallInterval;
    return wantsAny_ && isFirst_ && now - last >= interval;
}

void DemandExchange::expire(TimePoint now)
{
    table_.expire(now);
    const auto sums = table_.siteSums(now);
    wantsAny_ = std::any_of(sums.begin(), sums.end(), [](const GroupDemand &demand) {
        return demand.inFlight + demand.queued > 0;
    });
    std::erase_if(links_, [now](const auto &entry) {
        return now - std::max(entry.second.usedAt, entry.second.sentAt) >= kLinkTimeToLive;
    });
}

} // namespace seamarch
