#include "gateway/gatewaywire.h"

#include <algorithm>
#include <cmath>
#include <zlib.h>

namespace seamarch {
namespace {

// Larger than any configuration that the store accepts. Bounds the memory that a message can make
// `decompressText` allocate.
constexpr std::size_t kMaxTextBytes = std::size_t{64} * 1024 * 1024;

} // namespace

void writeGateway(const GatewayRecord &record, Duration lastSeenAge,
                  wire::GatewayRecord::Builder to)
{
    to.setId(record.id.value());
    to.setHall(record.hall.value());
    to.setHost(record.host);
    to.setPort(static_cast<std::uint16_t>(record.port));
    to.setHeardMicrosAgo(lastSeenAge.count());
}

GatewayRecord readGateway(wire::GatewayRecord::Reader from)
{
    return {InstanceId(from.getId().cStr()), HallId(from.getHall().cStr()), from.getHost().cStr(),
            from.getPort()};
}

void writeUpstream(const UpstreamRecord &record, TimePoint now, wire::ListedUpstream::Builder to)
{
    to.setId(record.id.value());
    to.setService(record.service.value());
    to.setHost(record.host);
    to.setPort(static_cast<std::uint16_t>(record.port));
    to.setHall(record.hall.value());
    to.setSlots(record.slots);
    to.setLeaving(record.leaving);
    to.setStartedUnixMillis(record.start.value());
    to.setTellsWarmUp(record.warmUpLeft.has_value());
    to.setWarmUpLeftMicros(record.warmUpLeft.value_or(Duration{}).count());
    to.setListedAt(record.listedAt);
    to.setCreatedAt(record.createdAt);
    to.setWarmInMicros(std::max(Duration{}, record.warmAt - now).count());
}

UpstreamRecord readUpstream(wire::ListedUpstream::Reader from, TimePoint now)
{
    UpstreamRecord record;
    record.id = InstanceId(from.getId().cStr());
    record.service = TargetName(from.getService().cStr());
    record.host = from.getHost().cStr();
    record.port = from.getPort();
    record.hall = HallId(from.getHall().cStr());
    record.slots = from.getSlots();
    record.leaving = from.getLeaving();
    record.start = UpstreamStart(from.getStartedUnixMillis());
    record.listedAt = from.getListedAt();
    record.createdAt = from.getCreatedAt();
    if (from.getTellsWarmUp()) {
        record.warmUpLeft = Duration(from.getWarmUpLeftMicros());
    }
    const Duration warmIn(from.getWarmInMicros());
    record.warmAt = warmIn > Duration{} ? now + warmIn : TimePoint{};
    return record;
}

void writeDrainedHalls(const std::set<HallId> &halls, wire::GatewayNews::Builder to)
{
    auto list = to.initDrainedHalls(static_cast<std::uint32_t>(halls.size()));
    std::uint32_t index = 0;
    for (const HallId &hall : halls) {
        list.set(index++, hall.value());
    }
}

std::set<HallId> readDrainedHalls(wire::GatewayNews::Reader from)
{
    std::set<HallId> halls;
    for (const auto &hall : from.getDrainedHalls()) {
        halls.insert(HallId(hall.cStr()));
    }
    return halls;
}

void writeLimit(const LimitReport &report, TimePoint now, wire::UpstreamLimit::Builder to)
{
    to.setUpstream(report.upstream.value());
    to.setStartedUnixMillis(report.start.value());
    to.setNamed(report.rate.has_value());
    to.setPerSecond(report.rate.value_or(RequestRate()).perSecond());
    to.setSaidMicrosAgo((now - report.reportedAt).count());
}

LimitReport readLimit(wire::UpstreamLimit::Reader from, TimePoint writtenAt)
{
    LimitReport report;
    report.upstream = InstanceId(from.getUpstream().cStr());
    report.start = UpstreamStart(from.getStartedUnixMillis());
    // A negative or non-finite rate counts as zero, at which an occasional request is still
    // permitted.
    const double perSecond = from.getPerSecond();
    const bool readable = std::isfinite(perSecond) && perSecond >= 0.0;
    if (from.getNamed()) {
        report.rate = RequestRate(readable ? perSecond : 0.0);
    }
    report.reportedAt = writtenAt - std::max(Duration{}, Duration(from.getSaidMicrosAgo()));
    return report;
}

void writeGroup(const GroupFacts &facts, Duration age, bool members, wire::GroupNews::Builder to)
{
    to.setGroup(facts.group.value());
    to.setEpoch(facts.epoch);
    to.setOpen(facts.open);
    to.setForming(facts.forming);
    to.setAgeMicros(age.count());
    if (!members) {
        return;
    }
    auto list = to.initMembers(static_cast<std::uint32_t>(facts.members.size()));
    for (std::uint32_t index = 0; index < list.size(); ++index) {
        const GroupMember &member = facts.members[index];
        list[index].setHost(member.host);
        list[index].setPort(static_cast<std::uint16_t>(member.port));
        list[index].setPace(static_cast<float>(member.pace));
    }
}

GroupFacts readGroup(wire::GroupNews::Reader from)
{
    GroupFacts facts;
    facts.group = GroupId(from.getGroup().cStr());
    facts.epoch = from.getEpoch();
    facts.open = from.getOpen();
    facts.forming = from.getForming();
    for (const auto &member : from.getMembers()) {
        facts.members.push_back(
            {member.getHost().cStr(), member.getPort(), static_cast<double>(member.getPace())});
    }
    return facts;
}

std::vector<std::uint8_t> compressText(std::string_view text)
{
    uLongf size = compressBound(text.size());
    std::vector<std::uint8_t> bytes(size);
    // The buffer has the size of the bound, so compression fails only if memory runs out.
    const int result = compress2(bytes.data(), &size, reinterpret_cast<const Bytef *>(text.data()),
                                 text.size(), Z_BEST_SPEED);
    bytes.resize(result == Z_OK ? size : 0);
    return bytes;
}

std::optional<std::string> decompressText(const std::uint8_t *bytes, std::size_t count,
                                          std::size_t size)
{
    if (size > kMaxTextBytes) {
        return std::nullopt;
    }
    std::string text(size, '\0');
    uLongf length = size;
    const int result = uncompress(reinterpret_cast<Bytef *>(text.data()), &length, bytes, count);
    if (result != Z_OK || length != size) {
        return std::nullopt;
    }
    return text;
}

} // namespace seamarch
