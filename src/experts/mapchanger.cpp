#include "experts/mapchanger.h"

#include "base/log.h"
#include "experts/maplognames.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace seamarch {

using nlohmann::json;

void MapChanger::takeRole(GroupDecider::Settings settings)
{
    settings.fenceFloor = std::max(fenceFloor_, settings.fenceFloor);
    settings.epochOfUnresolvedArms = epochOfUnresolvedArms_;
    decider_ = std::make_unique<GroupDecider>(settings);
    loggedPhase_ = GroupDecider::Phase::Idle;
    loggedChanges_ = 0;
    loggedCleared_ = 0;
}

void MapChanger::leaveRole()
{
    fenceFloor_ = decider_->nextFenceFloor();
    epochOfUnresolvedArms_ = decider_->epochOfUnresolvedArms();
    decider_.reset();
    discardMaps();
    currentMap_.reset();
}

void MapChanger::discardMaps()
{
    rankExperts_.clear();
    cachedMap_.reset();
    proposedVersion_ = 0;
}

void MapChanger::leaveGroup()
{
    epochOfUnresolvedArms_.reset();
    epoch_ = 0;
    discardMaps();
}

void MapChanger::updateEpoch(const RankReport &report)
{
    if (report.epoch <= epoch_) {
        return;
    }
    logLine(LogLevel::Info, "group.formed",
            {{"group", report.group.value()},
             {"epoch", report.epoch},
             {"before", epoch_},
             {"ranks", report.ranks}});
    epoch_ = report.epoch;
    discardMaps();
}

void MapChanger::setService(const std::optional<ExpertRule> &rule, Duration gapTarget)
{
    gapTarget_ = gapTarget;
    rule_ = rule;
    if (rule_) {
        planner_.setRule(*rule_);
    }
}

CollectionPlan MapChanger::planCollection(double linkBytesPerSecond)
{
    CollectionInputs inputs;
    inputs.ranks = decider_->size();
    inputs.countsBytes = rule_ ? std::uint64_t{rule_->sets} * rule_->experts : 0;
    inputs.linkBytesPerSecond = linkBytesPerSecond;
    const CollectionPlan plan = seamarch::planCollection(inputs);
    decider_->setReportTimeToLive(plan.reportTimeToLive);
    planner_.setRoundWindow(plan.roundWindow);
    return plan;
}

// After an alarm, polls as often as rounds allow, so that it is soon confirmed or dismissed.
Duration MapChanger::countsInterval(const CollectionPlan &plan) const
{
    return planner_.shiftSuspected() ? std::max(plan.countsInterval / 2, plan.roundWindow)
                                     : plan.countsInterval;
}

bool MapChanger::onFacts(const RankFacts &facts, TimePoint requestedAt, TimePoint now)
{
    const RankReport &report = facts.report;
    if (!isDecider() || report.group != decider_->group()) {
        return false;
    }
    updateEpoch(report);
    if (facts.experts && report.epoch == epoch_) {
        rankExperts_[report.rank] = *facts.experts;
    }
    if (facts.choices) {
        planner_.addChoices(decodeChoices(*facts.choices), now);
    }
    decider_->onReport(report, requestedAt, now);
    return facts.choices && planner_.roundAnswered();
}

void MapChanger::onAnswer(std::uint32_t rank, const MapOrder &order, MapOrderAnswer answer,
                          TimePoint now)
{
    decider_->onAnswer(rank, order, answer, now);
}

void MapChanger::endRound(TimePoint now)
{
    currentMap_ = mapInUse(now);
    planner_.endRound(currentMap_, now);
}

// Returns the map in use, or nothing if it is not known for all ranks. A map that this agent
// proposed or has cached needs no query to the ranks.
std::optional<ExpertMap> MapChanger::mapInUse(TimePoint now)
{
    const auto version = decider_->mapInUse(now);
    if (!version) {
        return std::nullopt;
    }
    if (proposedVersion_ != 0 && *version == proposedVersion_) {
        if (!cachedMap_ || cachedMap_->version != *version) {
            planner_.recordActivation(now - proposedAt_);
        }
        cachedMap_ = CachedMap{*version, proposedMap_};
    } else if (!cachedMap_ || cachedMap_->version != *version) {
        cachedMap_.reset();
        if (auto assembled = assembleMap(*version)) {
            cachedMap_ = CachedMap{*version, std::move(*assembled)};
        }
    }
    return cachedMap_ ? std::optional(cachedMap_->map) : std::nullopt;
}

// Assembles map `version` from the experts that each rank has reported. Returns nothing if a rank
// is missing or has reported another version.
std::optional<ExpertMap> MapChanger::assembleMap(std::uint64_t version) const
{
    ExpertMap map;
    for (const auto &[rank, experts] : rankExperts_) {
        if (experts.mapVersion != version || rank != (map.empty() ? 0 : map.front().size())) {
            return std::nullopt;
        }
        map.resize(experts.bySet.size());
        for (std::size_t set = 0; set < map.size(); ++set) {
            map[set].push_back(experts.bySet[set]);
            std::sort(map[set].back().begin(), map[set].back().end());
        }
    }
    if (map.empty() || map.front().size() != decider_->size()) {
        return std::nullopt;
    }
    return map;
}

void MapChanger::updatePassOutlook()
{
    if (!currentMap_) {
        return; // The last outlook stands until the map in use is known again.
    }
    planner_.setPaces(decider_->paces());
    const double costNow = planner_.relativePassCost(planner_.skew(*currentMap_));
    const double costAfterChange = planner_.relativePassCost(planner_.expectedSkew());
    decider_->setPassOutlook({costNow, costAfterChange, gapTarget_});
}

void MapChanger::run(TimePoint now, MapOrders &orders)
{
    updatePassOutlook();
    decider_->onTick(now, orders);
    const bool proposalOutdated = decider_->phase() == GroupDecider::Phase::Preparing
                                  && planner_.planOutdated() && currentMap_;
    if (proposalOutdated) {
        replaceOutdatedChange(now, orders);
    } else if (decider_->phase() == GroupDecider::Phase::Idle) {
        proposeChange(now, orders);
    }
    if (decider_->phase() != GroupDecider::Phase::Idle) {
        logObstacleChange(logName(GroupDecider::Obstacle::ChangeUnderWay));
    }
    logPhaseChange();
}

std::optional<ExpertMap> MapChanger::plan(TimePoint now)
{
    planner_.setPaces(decider_->paces());
    planner_.setPassTimes(decider_->currentPassTime(), decider_->evenPassTime(), gapTarget_);
    return planner_.plan(*currentMap_, now);
}

// Replaces a proposed map whose experts are still being copied after demand has shifted, provided
// that a map for the new demand is worth its cost.
void MapChanger::replaceOutdatedChange(TimePoint now, MapOrders &orders)
{
    auto planned = plan(now);
    if (planned && decider_->abandon(now)) {
        logLine(LogLevel::Info, "map.abandoned",
                {{"version", proposedVersion_}, {"epoch", epoch_}});
        orders.clear();
        propose(std::move(*planned), now, orders);
    }
}

void MapChanger::proposeChange(TimePoint now, MapOrders &orders)
{
    const GroupDecider::Obstacle obstacle = decider_->obstacle(now);
    if (obstacle != GroupDecider::Obstacle::None) {
        logObstacleChange(logName(obstacle));
        return;
    }
    if (!rule_ || !currentMap_) {
        logObstacleChange(rule_ ? "experts of a rank unknown" : "no configuration");
        return;
    }
    logObstacleChange(kNoObstacleName);
    logLine(LogLevel::Debug, "map.weighed",
            {{"distance", planner_.roundDistance()}, {"skew", planner_.skew(*currentMap_)}});
    if (auto planned = plan(now)) {
        propose(std::move(*planned), now, orders);
    }
}

void MapChanger::propose(ExpertMap planned, TimePoint now, MapOrders &orders)
{
    proposedMap_ = std::move(planned);
    const auto version = decider_->propose(proposedMap_, now, orders);
    proposedVersion_ = version.value_or(0);
    proposedAt_ = now;
    if (version) {
        logLine(LogLevel::Info, "map.proposed",
                {{"version", *version},
                 {"group", decider_->group().value()},
                 {"epoch", epoch_},
                 {"skew", planner_.skew(*currentMap_)},
                 {"expectedSkew", planner_.expectedSkew()},
                 {"expectedCopyMs", toMillis(planner_.expectedCopying())},
                 {"expectedLifeMs", toMillis(planner_.expectedWorkloadDuration(now))},
                 {"shifts", planner_.shifts()}});
    }
}

void MapChanger::logObstacleChange(std::string_view obstacle)
{
    if (obstacle != loggedObstacle_) {
        logLine(LogLevel::Info, "map.obstacle",
                {{"obstacle", obstacle}, {"before", loggedObstacle_}, {"epoch", epoch_}});
        loggedObstacle_ = obstacle;
    }
}

void MapChanger::logPhaseChange()
{
    const GroupDecider::Phase phase = decider_->phase();
    if (phase != loggedPhase_) {
        const auto excludedRank = decider_->excludedRank();
        logLine(LogLevel::Info, "map.phase",
                {{"phase", logName(phase)},
                 {"epoch", epoch_},
                 {"expectedPassMs", toMillis(decider_->expectedPassTime())},
                 {"measuredPassMs", toMillis(decider_->passTime())},
                 {"withoutRank", excludedRank ? json(*excludedRank) : json()}});
        loggedPhase_ = phase;
    }
    if (decider_->changes() != loggedChanges_) {
        loggedChanges_ = decider_->changes();
        metrics_.count("seamarch_map_changes_total", "changed");
        logLine(LogLevel::Info, "map.changed", {{"changes", loggedChanges_}});
    }
    if (decider_->cleared() != loggedCleared_) {
        loggedCleared_ = decider_->cleared();
        metrics_.count("seamarch_map_changes_total", "cleared");
        logLine(LogLevel::Warning, "map.cleared", {{"cleared", loggedCleared_}});
    }
}

GroupFacts MapChanger::groupFacts(const std::map<std::uint32_t, SocketAddress> &engines,
                                  TimePoint now) const
{
    constexpr double kPaceStep = 0.25;
    GroupFacts facts;
    facts.group = decider_->group();
    facts.epoch = decider_->epoch();
    facts.open = decider_->acceptsRequests();
    facts.forming = decider_->forming(now);
    const std::vector<double> paces = decider_->paces();
    for (const auto &[rank, engine] : engines) {
        const double pace = rank < paces.size() ? paces[rank] : 1.0;
        facts.members.push_back(
            {engine.host, engine.port, std::round(pace / kPaceStep) * kPaceStep});
    }
    return facts;
}

} // namespace seamarch
