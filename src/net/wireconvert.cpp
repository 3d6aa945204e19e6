#include "net/wireconvert.h"

namespace seamarch {

RequestId readRequestId(wire::RequestId::Reader reader)
{
    return {Incarnation(reader.getEntry()), reader.getCounter()};
}

void writeRequestId(const RequestId &id, wire::RequestId::Builder builder)
{
    builder.setEntry(id.entry.value());
    builder.setCounter(id.counter);
}

DocumentVersions readVersions(wire::Status::Reader reader)
{
    return {reader.getConfigVersion(), reader.getConfigDigest(), reader.getConfigFloor(),
            reader.getListVersion(), reader.getListDigest()};
}

void writeVersions(const DocumentVersions &versions, wire::Status::Builder builder)
{
    builder.setConfigVersion(versions.config);
    builder.setConfigDigest(versions.configDigest);
    builder.setConfigFloor(versions.configFloor);
    builder.setListVersion(versions.list);
    builder.setListDigest(versions.listDigest);
}

AgentReport readReport(wire::Status::Reader reader)
{
    AgentReport report;
    report.incarnation = Incarnation(reader.getIncarnation());
    report.configVersion = ConfigVersion(reader.getConfigVersion());
    report.leaving = reader.getLeaving();
    report.queuedTokens = reader.getQueuedTokens();
    report.runningTokens = reader.getRunningTokens();
    report.queuedRequests = reader.getQueuedRequests();
    report.runningRequests = reader.getRunningRequests();
    report.tokensPerSecond = reader.getTokensPerSecond();
    report.slots = reader.getSlots();
    return report;
}

void writeReport(const AgentReport &report, wire::Status::Builder builder)
{
    builder.setIncarnation(report.incarnation.value());
    builder.setLeaving(report.leaving);
    builder.setQueuedTokens(report.queuedTokens);
    builder.setRunningTokens(report.runningTokens);
    builder.setQueuedRequests(report.queuedRequests);
    builder.setRunningRequests(report.runningRequests);
    builder.setTokensPerSecond(report.tokensPerSecond);
    builder.setSlots(report.slots);
}

std::optional<VersionedUpdate> readUpdate(wire::Update::Reader reader)
{
    if (reader.getTo() == 0) {
        return std::nullopt;
    }
    return VersionedUpdate{reader.getFrom(), reader.getTo(), reader.getDigest(),
                           toString(reader.getPayload())};
}

void writeUpdate(const std::optional<VersionedUpdate> &update, wire::Update::Builder builder)
{
    if (!update) {
        return;
    }
    builder.setFrom(update->from);
    builder.setTo(update->to);
    builder.setDigest(update->digest);
    builder.setPayload(update->payload);
}

} // namespace seamarch
