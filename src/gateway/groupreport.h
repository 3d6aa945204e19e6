// A report of the state of an engine group, as a gateway receives it from the agent that decides
// for the group or from another gateway.
#pragma once

#include "decision/gateway/grouptable.h"
#include "seamarch/units.h"

#include <string>

namespace seamarch {

struct GroupReport
{
    GroupFacts facts;
    TimePoint asOf{};       // When the facts were true.
    std::string sourceKind; // The field of the log line that names the source.
    std::string source;
};

// Stores the report in `groups`, unless that has a newer state of the group. Logs the outcome if
// the reported state differs from the one held before.
void storeGroupReport(GroupTable &groups, const GroupReport &report, TimePoint now);

} // namespace seamarch
