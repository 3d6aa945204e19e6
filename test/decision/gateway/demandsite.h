// The gateways of a site that tell each other demand, with a network that delays, loses and cuts.
#pragma once

#include "decision/gateway/demandexchange.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace seamarch {

struct DemandSite
{
    static inline const TargetName kService{"tint-llm"};
    static inline const GroupId kGroup{"tint-llm-0"};
    static constexpr Duration kStep = std::chrono::milliseconds(50);
    // The polls that gateways exchange anyway: of the first of their hall, and between halls.
    static constexpr Duration kFollowInterval = std::chrono::milliseconds(400);
    static constexpr Duration kListInterval = std::chrono::seconds(2);

    struct Gateway
    {
        DemandExchange::Peer peer;
        std::unique_ptr<DemandExchange> exchange;
        std::size_t first = 0; // The first gateway of its hall.
        bool isFirst = false;
        bool silent = false; // Of an earlier software version, or standing still.
        std::uint32_t inFlight = 0;
        std::uint32_t queued = 0;
        double limit = 0.0;
        TimePoint polledAt{};
    };

    DemandSite(std::size_t halls, std::size_t perHall, double limit)
    {
        for (std::size_t index = 0; index < halls * perHall; ++index) {
            Gateway gateway;
            gateway.peer = {InstanceId("edge-zilina-a-" + std::to_string(index)),
                            HallId("zilina-" + std::to_string(index / perHall))};
            gateway.first = index / perHall * perHall;
            gateway.isFirst = gateway.first == index;
            gateway.limit = limit;
            gateway.polledAt = now + kFollowInterval * (index % perHall) / perHall;
            gateways.push_back(std::move(gateway));
        }
        for (std::size_t index = 0; index < halls * perHall; ++index) {
            start(index);
        }
    }

    // Starts a gateway, or starts it again.
    void start(std::size_t index)
    {
        Gateway &gateway = gateways[index];
        gateway.exchange = std::make_unique<DemandExchange>(gateway.peer.id, gateway.peer.hall);
        std::size_t hallGateways = 0;
        for (const Gateway &other : gateways) {
            hallGateways += other.first == gateway.first ? 1 : 0;
        }
        gateway.exchange->setPosition(gateway.isFirst, hallGateways);
    }

    bool reach(std::size_t left, std::size_t right) const
    {
        return !cut || cut(left, right) == false;
    }

    // One poll and its answer; `isAdded` if it is not one that gateways exchange anyway.
    void poll(std::size_t from, std::size_t to, bool isAdded)
    {
        Gateway &asking = gateways[from];
        Gateway &answering = gateways[to];
        const auto stated = asking.exchange->takeStatement(answering.peer, now);
        if (answering.silent || !reach(from, to) || (lost && lost())) {
            asking.exchange->onFailed(answering.peer.id);
            return;
        }
        answering.exchange->onMessage(asking.peer, stated, now);
        const auto answer = answering.exchange->takeStatement(asking.peer, now);
        if (lost && lost()) {
            asking.exchange->onFailed(answering.peer.id);
            return;
        }
        asking.exchange->onMessage(answering.peer, answer, now);
        statements += (stated.empty() ? 0 : 1) + (answer.empty() ? 0 : 1);
        if (onPoll) {
            onPoll(from, to, isAdded, stated, answer);
        }
    }

    void step()
    {
        now += kStep;
        for (Gateway &gateway : gateways) {
            if (!gateway.silent) {
                gateway.exchange->setOwn(
                    {{kService, kGroup, 1, gateway.inFlight, gateway.queued, gateway.limit}}, now);
                gateway.exchange->expire(now);
            }
        }
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            Gateway &gateway = gateways[index];
            if (gateway.silent) {
                continue;
            }
            if (!gateway.isFirst && now - gateway.polledAt >= kFollowInterval) {
                gateway.polledAt = now;
                poll(index, gateway.first, false);
            }
            const bool lists = gateway.isFirst && now - gateway.polledAt >= kListInterval;
            gateway.polledAt = lists ? now : gateway.polledAt;
            for (std::size_t other = 0; gateway.isFirst && other < gateways.size(); ++other) {
                if (other != index && gateways[other].isFirst
                    && (lists || gateway.exchange->isHallPollDue(gateways[other].peer, now))) {
                    poll(index, other, !lists);
                }
            }
        }
    }

    void run(Duration duration)
    {
        for (const TimePoint end = now + duration; now < end;) {
            step();
        }
    }

    std::optional<double> shareOf(std::size_t index) const
    {
        return gateways[index].exchange->table().shareOf(kService, kGroup, now);
    }

    double statedLimit(std::size_t index) const
    {
        return gateways[index].exchange->table().own().at(0).limit;
    }

    // Returns the sum of the shares that the gateways [begin, end) believe; of a gateway without
    // one, its own limit.
    double shares(std::size_t begin, std::size_t end) const
    {
        double sum = 0.0;
        for (std::size_t index = begin; index < end; ++index) {
            sum += shareOf(index).value_or(statedLimit(index));
        }
        return sum;
    }

    double limits(std::size_t begin, std::size_t end) const
    {
        double sum = 0.0;
        for (std::size_t index = begin; index < end; ++index) {
            sum += statedLimit(index);
        }
        return sum;
    }

    TimePoint now{std::chrono::seconds(100)};
    std::vector<Gateway> gateways;
    std::function<bool(std::size_t, std::size_t)> cut;
    std::function<bool()> lost;
    std::function<void(std::size_t, std::size_t, bool, const std::vector<std::uint8_t> &,
                       const std::vector<std::uint8_t> &)>
        onPoll;
    std::size_t statements = 0;
};

} // namespace seamarch
