// The part of GatewayPeers that exchanges the states of engine groups.
#include "gateway/gatewaypeers.h"
#include "gateway/gatewaywire.h"
#include "gateway/groupreport.h"

namespace seamarch {

// Applies the other gateway's facts about groups, each as of its own time. If its digest is the
// one that the poll named, the members are omitted and the facts are only confirmed, provided that
// those held here have that digest. Facts that were dropped as outdated when they were received,
// but are newer than those held here by now, are requested again.
void GatewayPeers::applyGroups(Link &link, TimePoint sentAt, wire::GatewayNews::Reader news)
{
    const Duration held(news.getHeldMicros());
    const bool repeated = link.groupsDigest == news.getGroupsMark();
    const bool matchesOwn = groups_.digest() == news.getGroupsMark();
    bool hasNewerFacts = false;
    for (const auto &group : news.getGroups()) {
        const GroupId id(group.getGroup().cStr());
        const TimePoint asOf = sentAt + held - Duration(group.getAgeMicros());
        if (!repeated) {
            storeGroupReport(groups_, {readGroup(group), asOf, "from", link.id.value()},
                             loop_.now());
        } else if (matchesOwn) {
            groups_.confirm(id, groups_.digestOf(id), asOf);
        } else {
            const auto own = groups_.groups().find(id);
            hasNewerFacts =
                hasNewerFacts || own == groups_.groups().end() || own->second.asOf < asOf;
        }
    }
    link.groupsDigest = hasNewerFacts ? 0 : news.getGroupsMark();
}

void GatewayPeers::writeGroups(wire::GatewayNews::Builder news, std::uint64_t knownDigest) const
{
    const TimePoint now = loop_.now();
    const auto &known = groups_.groups();
    const std::uint64_t ownDigest = groups_.digest();
    news.setGroupsMark(ownDigest);
    auto list = news.initGroups(static_cast<std::uint32_t>(known.size()));
    std::uint32_t index = 0;
    for (const auto &[id, group] : known) {
        writeGroup(group.facts, now - group.asOf, ownDigest != knownDigest, list[index++]);
    }
}

} // namespace seamarch
