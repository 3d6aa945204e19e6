#include "gateway/upstreamlistexchange.h"

#include "gateway/gatewaywire.h"

#include <set>

namespace seamarch {

void UpstreamListExchange::recordState()
{
    if (storeView_.confirmed()) {
        history_.recordState(storeView_.upstreamsDigest(), storeView_.upstreams().all());
    }
}

void UpstreamListExchange::write(wire::GatewayNews::Builder news, std::uint64_t baseDigest)
{
    recordState();
    std::vector<const UpstreamRecord *> records = storeView_.upstreams().all();
    const auto changed = baseDigest != 0 ? history_.changedSince(baseDigest) : std::nullopt;
    if (changed) {
        std::set<InstanceId> removed = *changed;
        std::erase_if(records, [&](const UpstreamRecord *record) {
            removed.erase(record->id);
            return !changed->contains(record->id);
        });
        news.setUpstreamsSince(baseDigest);
        auto ids = news.initRemovedUpstreams(static_cast<std::uint32_t>(removed.size()));
        std::uint32_t index = 0;
        for (const InstanceId &id : removed) {
            ids.set(index++, id.value());
        }
    }
    auto list = news.initUpstreams(static_cast<std::uint32_t>(records.size()));
    for (std::uint32_t index = 0; index < records.size(); ++index) {
        writeUpstream(*records[index], loop_.now(), list[index]);
    }
}

std::optional<std::vector<UpstreamRecord>>
UpstreamListExchange::read(wire::GatewayNews::Reader news) const
{
    std::vector<UpstreamRecord> records;
    for (const auto &upstream : news.getUpstreams()) {
        records.push_back(readUpstream(upstream, loop_.now()));
    }
    if (news.getUpstreamsSince() == 0) {
        return records;
    }
    if (news.getUpstreamsSince() != storeView_.advertisedDigest()) {
        return std::nullopt;
    }
    std::set<InstanceId> removed;
    for (const auto &id : news.getRemovedUpstreams()) {
        removed.insert(InstanceId(id.cStr()));
    }
    return applyChanges(storeView_.upstreams().all(), records, removed);
}

} // namespace seamarch
