#include "decision/membership/membertable.h"

#include <algorithm>
#include <set>

namespace seamarch {

bool MemberTable::applyList(const InstanceList &list)
{
    if (list.version <= listVersion_) {
        return false;
    }
    listVersion_ = list.version;
    std::set<InstanceId> listed;
    for (const InstanceRecord &record : list.instances) {
        if (record.role == InstanceRole::Agent) {
            listed.insert(record.id);
            members_[record.id].record = record;
        }
    }
    std::erase_if(members_, [&](const auto &entry) { return !listed.contains(entry.first); });
    return true;
}

bool MemberTable::onReport(const InstanceId &agent, const AgentReport &report,
                           TimePoint requestedAt, TimePoint now)
{
    const auto found = members_.find(agent);
    if (found == members_.end()) {
        return false;
    }
    Member &member = found->second;
    if (member.hasReported && requestedAt < member.reportRequestedAt) {
        return false;
    }
    const bool restarted = !member.hasReported || member.report.incarnation != report.incarnation;
    if (restarted) {
        member.firstReportAt = now;
    }
    member.hasReported = true;
    member.report = report;
    member.reportRequestedAt = requestedAt;
    member.leaseExpiresAt = requestedAt + lease_;
    return restarted;
}

bool MemberTable::mayReceive(const InstanceId &agent, TimePoint now) const
{
    const Member *member = find(agent);
    return member != nullptr && member->hasReported && now < member->leaseExpiresAt
           && !member->report.leaving && member->record.state == InstanceState::Live;
}

std::vector<const Member *> MemberTable::candidates(const TargetName &target, TimePoint now) const
{
    std::vector<const Member *> found;
    for (const auto &[id, member] : members_) {
        const auto &serves = member.record.serves;
        const bool servesTarget = std::find(serves.begin(), serves.end(), target) != serves.end();
        if (servesTarget && mayReceive(id, now)) {
            found.push_back(&member);
        }
    }
    return found;
}

std::vector<InstanceId> MemberTable::listedAgents(const TargetName &target,
                                                  const HallId &hall) const
{
    std::vector<InstanceId> found;
    for (const auto &[id, member] : members_) {
        const auto &serves = member.record.serves;
        const bool servesTarget = std::find(serves.begin(), serves.end(), target) != serves.end();
        if (servesTarget && member.record.hall == hall) {
            found.push_back(id);
        }
    }
    return found;
}

const Member *MemberTable::find(const InstanceId &agent) const
{
    const auto found = members_.find(agent);
    return found == members_.end() ? nullptr : &found->second;
}

} // namespace seamarch
