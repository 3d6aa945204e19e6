// What the gateways of a site want of each group of engines, and the share of one of them.
//
// Answers uneven demand: callers arrive unevenly at gateways and halls, so one gateway queues
// streams while another has unused places at the same group. Each gateway states its streams in
// flight, its queued streams and its limit for each group. The limits that are known to be unused
// are redistributed by max-min fairness: no gateway gets more than it wants, and none that wants
// more gets less than another.
//
// Only statements that are younger than their time to live count, and only limits that were stated
// are redistributed. So on both sides of a cut the shares add up to at most the limits held there
// before, and a gateway that hears from nobody has no share and keeps to its own limit.
//
// A gateway wants its streams and queued streams, and as many more as the number of streams of
// independent callers varies by: the square root. Sums keep gateways that queue apart from those
// that do not; within a sum the wants count as equal, which can only lower a share.
//
// Many gateways may want more at the same moment, as after an outage, before any of them has heard
// of the others. So what a gateway wants counts for its own share only once all others have heard
// of it, or have ceased to count on its last statement. Until then it gets what it wanted before,
// and its even part of the places that nobody wants.
//
// Pure and single-threaded.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace seamarch {

// What one gateway, or all gateways of one hall together, want of one group.
struct GroupDemand
{
    TargetName service;
    GroupId group;
    std::uint32_t gateways = 1; // Number of gateways that are summed up.
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    double limit = 0.0; // Streams that may be in flight.

    bool operator==(const GroupDemand &) const = default;
};

class DemandTable
{
public:
    struct Settings
    {
        // Statements older than this do not count: several rounds of the exchange between halls.
        Duration timeToLive = std::chrono::milliseconds(1000);
        // A share is only stated if it differs from the limit by more than this fraction: smaller
        // changes are not worth a message.
        double minChange = 0.1;
        // How long others may count on an earlier statement: its time to live at the first gateway
        // of a hall, and a poll of that one by the others.
        Duration spreadTime = std::chrono::milliseconds(1500);
    };

    using Demands = std::vector<GroupDemand>;

    explicit DemandTable(const InstanceId &self, const HallId &hall)
        : self_(self)
        , hall_(hall)
    {}

    // Sets what this gateway wants. Returns whether it changed by enough to tell others.
    bool setOwn(const Demands &demands, TimePoint now);
    // Adds what another gateway of this hall wants as of `asOf`. Older statements are ignored.
    void mergeGateway(const InstanceId &gateway, const Demands &demands, TimePoint asOf);
    // Adds the sums of another hall as of `asOf`. Under this gateway's own hall: the sums of all
    // halls, this gateway included, from the first gateway of this hall.
    void mergeHall(const HallId &hall, const Demands &demands, TimePoint asOf);
    // Returns what this gateway has stated that it wants.
    const Demands &own() const { return own_.demands; }
    // Returns the sums of this hall, this gateway included, for other halls. A group has up to two
    // entries: the gateways that have queued streams, and those that have none.
    Demands hallSums(TimePoint now) const;
    // Returns the sums of all halls, for the gateways of this hall.
    Demands siteSums(TimePoint now) const;
    // Returns this gateway's share of a group; nullopt if no other gateway is known that wants or
    // has any of it.
    std::optional<double> shareOf(const TargetName &service, const GroupId &group,
                                  TimePoint now) const;
    // Removes what is older than its time to live.
    void expire(TimePoint now);
    // Returns the age of the oldest statement that shares rest on; zero if there is none.
    Duration oldestAge(TimePoint now) const;
    // Returns a counter that rises with each change that others have to hear of.
    std::uint64_t version() const { return version_; }

private:
    struct Statement
    {
        Demands demands;
        TimePoint asOf{};
    };

    bool isFresh(const Statement &statement, TimePoint now) const
    {
        return now - statement.asOf < settings_.timeToLive;
    }
    const Statement *freshSite(TimePoint now) const;
    bool differs(const Demands &told, const Demands &present) const;
    void updateVersion(TimePoint now);
    double knownWant(const TargetName &service, const GroupId &group, TimePoint now) const;

    Settings settings_;
    InstanceId self_;
    HallId hall_;
    Statement own_;
    std::deque<Statement> earlierOwn_; // With the times until which they were stated.
    Demands toldSums_;                 // The sums of all halls at the last change of the version.
    std::map<InstanceId, Statement> gateways_;
    std::map<HallId, Statement> halls_;
    std::uint64_t version_ = 1;
};

} // namespace seamarch
