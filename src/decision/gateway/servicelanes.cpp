#include "decision/gateway/servicelanes.h"

#include <algorithm>
#include <tuple>

namespace seamarch {
namespace {

// Waiting streams are looked at every 25 ms; one whose time to begin ends before the look after the
// next begins now.
constexpr Duration kStartSlack = std::chrono::milliseconds(40);

} // namespace

void ServiceLanes::setGroups(const UpstreamChooser::Groups &groups, const GatewayShare &share)
{
    const bool otherShare =
        share.gateways != share_.gateways || share.place.gateways != share_.place.gateways;
    groups_ = &groups;
    share_ = share;
    std::erase_if(lanes_, [&groups](const auto &entry) {
        return entry.second.inFlight() == 0 && !groups.contains(entry.first);
    });
    for (const auto &[id, group] : groups) {
        // A new gateway does not know at once how many share the groups with it.
        if (StreamLane &known = lane(id); otherShare && !known.limiter().learned()) {
            begin(known, group);
        }
    }
}

StreamLane &ServiceLanes::lane(const GroupId &group)
{
    const auto found = lanes_.find(group);
    if (found != lanes_.end()) {
        return found->second;
    }
    StreamLane::Settings settings = settings_.lane;
    const auto known = groups_->find(group);
    if (known != groups_->end() && !known->second.inOwnHall) {
        settings.streams.tooLong *= settings_.guestPart;
        settings.streams.comfortable *= settings_.guestPart;
        settings.streams.strain *= settings_.guestPart;
    }
    StreamLane &added = lanes_.emplace(group, StreamLane(settings)).first->second;
    beginAnew(group);
    return added;
}

const StreamLane *ServiceLanes::find(const GroupId &group) const
{
    const auto found = lanes_.find(group);
    return found == lanes_.end() ? nullptr : &found->second;
}

// Bounds the streams at a group by an even share of its slots, until pauses tell more. Those of a
// group in one hall are for that hall's gateways; a guest begins with the least.
void ServiceLanes::begin(StreamLane &lane, const UpstreamChooser::Group &group) const
{
    if (group.slots <= 0.0) {
        return;
    }
    if (!group.inOwnHall) {
        lane.limiter().beginLeast();
        return;
    }
    const std::size_t sharers = group.spansHalls ? share_.gateways : share_.place.gateways;
    lane.limiter().begin(group.slots, static_cast<double>(sharers));
}

void ServiceLanes::beginAnew(const GroupId &group)
{
    const auto known = groups_->find(group);
    if (known != groups_->end()) {
        begin(lanes_.at(group), known->second);
    }
}

ServiceLanes::Trouble ServiceLanes::troubleOf(const GroupId &group, const StreamLane &lane,
                                              const GroupTable &table, TimePoint now) const
{
    const auto known = groups_->find(group); // Its last upstream may have left.
    const bool foreign = known == groups_->end() || !known->second.inOwnHall;
    if (lane.unreachable() || (foreign && table.isIsolated(group, now) && lane.quiet(now))) {
        return Trouble::Unreachable;
    }
    if (lane.refuses(now) || lane.mayBeForming(now) || table.isClosed(group, now)) {
        return Trouble::Refuses;
    }
    return lane.standsStill() ? Trouble::StandsStill : Trouble::None;
}

// Returns the lanes of groups that have upstreams, the best first.
std::vector<ServiceLanes::Option> ServiceLanes::options(const GroupTable &table,
                                                        TimePoint now) const
{
    std::vector<Option> options;
    for (const auto &[id, group] : *groups_) {
        const StreamLane &lane = lanes_.at(id);
        Option option;
        option.group = id;
        option.trouble = troubleOf(id, lane, table, now);
        option.foreign = !group.inOwnHall;
        option.fill = lane.inFlight() / lane.limiter().limit();
        option.turn = (options.size() + share_.place.index) % groups_->size();
        options.push_back(option);
    }
    std::sort(options.begin(), options.end(), [](const Option &left, const Option &right) {
        return std::tie(left.trouble, left.foreign, left.fill, left.turn)
               < std::tie(right.trouble, right.foreign, right.fill, right.turn);
    });
    return options;
}

// Tells whether a stream may begin now. While pauses are near the goal, each prompt that the
// engines read makes all streams late that are being written: one that can still begin in time
// later waits for passes that are short again, and one that is late already does no harm by
// waiting.
bool ServiceLanes::mayStart(const StreamLane &lane, const StreamQueue::Entry &entry,
                            TimePoint now) const
{
    if (!lane.limiter().admits(lane.inFlight())) {
        return false;
    }
    const bool fewest = lane.inFlight() < settings_.lane.streams.least;
    if (fewest || !lane.limiter().strained(now)) {
        return true;
    }
    return now <= entry.startBy && now + kStartSlack >= entry.startBy;
}

// Returns an avoided lane that is to be tried. One whose own agents say that it is closed is not:
// they will say when it opens.
std::optional<GroupId> ServiceLanes::laneToProbe(const std::vector<Option> &options,
                                                 const GroupTable &table, TimePoint now)
{
    for (const Option &option : options) {
        StreamLane &lane = lanes_.at(option.group);
        // Nor one that cannot be heard: a request would only find out after its caller has left.
        const bool closed =
            table.isClosed(option.group, now) && !table.isForming(option.group, now);
        const bool told = closed || table.isIsolated(option.group, now);
        const bool wanted = option.trouble != Trouble::None && !told;
        if (wanted && lane.probeDue(now)) {
            lane.onProbe(now);
            return option.group;
        }
    }
    return std::nullopt;
}

std::optional<GroupId> ServiceLanes::laneFor(const StreamQueue::Entry &entry,
                                             const GroupTable &table, TimePoint now)
{
    const std::vector<Option> all = options(table, now);
    if (all.empty()) {
        return GroupId(); // There is no upstream at all, which whoever sends it finds out.
    }
    const bool out = opensSoon(table, now);
    if (out || (all.front().trouble == Trouble::None && all.back().trouble != Trouble::None)) {
        auto probe = laneToProbe(all, table, now);
        if (out || probe) {
            return probe;
        }
    }
    for (const Option &option : all) {
        const StreamLane &lane = lanes_.at(option.group);
        if (option.trouble != all.front().trouble) {
            return std::nullopt;
        }
        if (mayStart(lane, entry, now)) {
            return option.group;
        }
        // Where passes are long at home they are long everywhere, as after a shift of demand; a
        // guest would bring a prompt into passes that the gateways there hold theirs back from.
        const bool strained = lane.limiter().admits(lane.inFlight());
        if (strained && !option.foreign) {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

std::optional<GroupId> ServiceLanes::laneForRetry(const GroupTable &table, TimePoint now) const
{
    const std::vector<Option> all = options(table, now);
    if (all.empty()) {
        return std::nullopt;
    }
    for (const Option &option : all) {
        const StreamLane &lane = lanes_.at(option.group);
        if (option.trouble == all.front().trouble && lane.limiter().admits(lane.inFlight())) {
            return option.group;
        }
    }
    return all.front().group;
}

std::optional<GroupId> ServiceLanes::laneForMove(const GroupId &from, const GroupTable &table,
                                                 TimePoint now) const
{
    for (const Option &option : options(table, now)) {
        const StreamLane &lane = lanes_.at(option.group);
        const bool works = option.group != from || lane.speaks(now);
        if (option.trouble == Trouble::None && works && lane.limiter().admits(lane.inFlight())) {
            return option.group;
        }
    }
    return std::nullopt;
}

bool ServiceLanes::isOut(TimePoint now) const
{
    return std::all_of(groups_->begin(), groups_->end(),
                       [&](const auto &entry) { return lanes_.at(entry.first).refuses(now); });
}

bool ServiceLanes::opensSoon(const GroupTable &table, TimePoint now) const
{
    bool soon = false;
    for (const auto &[id, group] : *groups_) {
        const StreamLane &lane = lanes_.at(id);
        const bool forms = lane.mayBeForming(now) || table.isForming(id, now);
        if (!forms && !lane.refuses(now) && !table.isClosed(id, now)) {
            return false;
        }
        soon = soon || forms;
    }
    return soon;
}

void ServiceLanes::onTick(std::size_t waiting, const GroupTable &table, TimePoint now)
{
    for (auto &[id, lane] : lanes_) {
        // A bound that nothing meets, or at a group that is avoided, need not rise.
        const bool met = !lane.limiter().admits(lane.inFlight());
        const bool wanted =
            groups_->size() == 1 || (met && troubleOf(id, lane, table, now) == Trouble::None);
        lane.onTick(wanted ? waiting : 0, now);
    }
}

} // namespace seamarch
