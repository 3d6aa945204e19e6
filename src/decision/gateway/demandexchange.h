// What this gateway states of its demand to which other gateway, and what it hears from them.
//
// Answers uneven demand at many gateways with few bytes. Statements ride on the polls that gateways
// exchange anyway: a gateway states its own demand to the first gateway of its hall, which answers
// with the sums of the site; the first gateways of two halls state the sums of their halls to each
// other. A statement is sent only if it differs from the last one to the same gateway by enough; a
// message without one confirms the last one. So demand that does not change costs no bytes.
//
// At most one statement is sent to a gateway in each interval, which grows with the number of
// gateways of the hall, as the first of them states to all. A statement that was lost is requested
// again. A gateway of an earlier software version states nothing and ignores statements.
//
// Pure and single-threaded.
#pragma once

#include "decision/gateway/demandmessage.h"
#include "decision/gateway/demandtable.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace seamarch {

class DemandExchange
{
public:
    struct Settings
    {
        // Bytes per second that the statements of a hall may take at its first gateway. A gateway
        // of a hall of a hundred may take 10,000 in all, and polls between halls need the rest.
        double statementBytesPerSecond = 5000.0;
        // Bytes of a statement and of its answer.
        double roundBytes = 90.0;
        // The first gateways of two halls poll each other if they exchanged nothing for this long,
        // which is less than the time to live of statements by a few round trips. A poll takes
        // about 600 bytes, and a site of three small halls may take 2000 bytes per second in all.
        Duration hallInterval = std::chrono::milliseconds(700);
        // The gateway with the higher id waits for this much longer, so that one of the two polls.
        Duration secondPollDelay = std::chrono::milliseconds(100);
    };

    // Another gateway.
    struct Peer
    {
        InstanceId id;
        HallId hall;
    };

    DemandExchange(const InstanceId &self, const HallId &hall)
        : self_(self)
        , hall_(hall)
        , table_(self, hall)
    {}

    DemandTable &table() { return table_; }
    const DemandTable &table() const { return table_; }

    // Sets what this gateway wants.
    void setOwn(const DemandTable::Demands &demands, TimePoint now);
    // Sets whether this gateway is the first of its hall, and the number of the hall's gateways.
    void setPosition(bool isFirst, std::size_t hallGateways);

    // Returns the statement to send to `peer` with a message, encoded; empty if it has it already.
    std::vector<std::uint8_t> takeStatement(const Peer &peer, TimePoint now);
    // Handles a message from `peer` that was written at `asOf`; `bytes` is its statement, or empty.
    void onMessage(const Peer &peer, std::span<const std::uint8_t> bytes, TimePoint asOf);
    // Handles the failure of an exchange with `peer`: statements may be lost both ways.
    void onFailed(const InstanceId &peer);
    // Returns whether the first gateway of another hall, `peer`, is due to be polled.
    bool isHallPollDue(const Peer &peer, TimePoint now) const;
    // Removes what is old.
    void expire(TimePoint now);

private:
    struct Link
    {
        DemandScope sentScope = DemandScope::None;
        std::uint64_t sentVersion = 0; // Zero: the peer may not have the last statement.
        TimePoint sentAt{};
        std::optional<DemandMessage> heard; // Its last statement.
        TimePoint heardAt{};
        TimePoint usedAt{};
    };

    DemandScope scopeFor(const Peer &peer) const;
    void apply(const Peer &peer, const DemandMessage &message, TimePoint asOf);

    Settings settings_;
    InstanceId self_;
    HallId hall_;
    DemandTable table_;
    std::uint64_t ownVersion_ = 1;
    bool isFirst_ = false;
    Duration minInterval_{};
    bool wantsAny_ = false; // Some gateway has streams.
    std::map<InstanceId, Link> links_;
};

} // namespace seamarch
