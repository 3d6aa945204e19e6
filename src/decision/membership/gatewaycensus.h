// Counts the gateways that share a limit of the whole site, whether or not this gateway reaches
// them.
//
// A gateway that is cut off from others must not use their parts of a limit, because they go on
// using them. The directory forgets such gateways within seconds; the census remembers them for
// long. A gateway that has replaced another one counts in addition until the other one is
// forgotten, so a share may be too small but not too large.
//
// Performs no I/O, reads no clock, and is not thread-safe.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>

namespace seamarch {

class GatewayCensus
{
public:
    struct Settings
    {
        std::set<HallId> halls;    // The halls of the site; empty if not known.
        bool expectsPeers = false; // The settings name other gateways.
        // How long a gateway counts after it was last seen: longer than halls stay cut off from
        // each other.
        Duration memory = std::chrono::hours(1);
    };

    // `ownHall` is the hall of this gateway, which always counts.
    GatewayCensus(const Settings &settings, const HallId &ownHall);

    // Records that another gateway was in the directory at `now`.
    void recordSeen(const InstanceId &gateway, const HallId &hall, TimePoint now);
    // Forgets gateways that were not seen for long.
    void expire(TimePoint now);

    // Returns the number of gateways, this one included; nullopt if there may be any number of them
    // because it has not yet seen a gateway of each hall, or none of those in its settings.
    std::optional<std::size_t> count() const;

private:
    Settings settings_;
    std::map<InstanceId, TimePoint> lastSeen_;
    std::set<HallId> unseenHalls_;
};

} // namespace seamarch
