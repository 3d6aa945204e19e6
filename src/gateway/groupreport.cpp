#include "gateway/groupreport.h"

#include "base/log.h"

#include <nlohmann/json.hpp>

namespace seamarch {

void storeGroupReport(GroupTable &groups, const GroupReport &report, TimePoint now)
{
    const GroupFacts &facts = report.facts;
    const bool differs = groups.digestOf(facts.group) != digestOf(facts);
    const bool stored = groups.update(facts, report.asOf);
    if (!differs) {
        return;
    }
    logLine(LogLevel::Info, stored ? "group.heard" : "group.outdated",
            {{"group", facts.group.value()},
             {"epoch", facts.epoch},
             {"open", facts.open},
             {"forming", facts.forming},
             {"ranks", facts.members.size()},
             {"ageMs", toMillis(now - report.asOf)},
             {"heldAgeMs", toMillis(now - groups.groups().at(facts.group).asOf)},
             {report.sourceKind, report.source}});
}

} // namespace seamarch
