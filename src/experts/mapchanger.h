// Adapts the expert map of one group to current demand, while this agent is the group's decider: it
// collects what the ranks report, plans maps with ExpertPlanner and changes to them with
// GroupDecider. What has been learned of demand, and the fences, outlast a term as decider.
//
// Performs no I/O: the caller polls the ranks and sends the orders. Single-threaded.
#pragma once

#include "decision/expertmap/collectionplan.h"
#include "decision/expertmap/expertplanner.h"
#include "decision/expertmap/groupdecider.h"
#include "decision/gateway/grouptable.h"
#include "experts/rankwire.h"
#include "observe/metrics.h"

#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace seamarch {

class MapChanger
{
public:
    // The metrics must outlive the object.
    explicit MapChanger(Metrics &metrics)
        : metrics_(metrics)
    {}

    // Begins a term as decider. Its fences are above those of earlier terms.
    void takeRole(GroupDecider::Settings settings);
    // Ends the term. Leaves a change in progress as it is; the next decider clears it.
    void leaveRole();
    bool isDecider() const { return decider_ != nullptr; }
    // Only while this agent is the decider, as all functions below the next two.
    const GroupDecider &decider() const { return *decider_; }

    // Discards all known maps if `report` names a later epoch, which voids those of earlier ones.
    void updateEpoch(const RankReport &report);
    // Discards all state of the own engine's group, including the epoch, which is meaningless in
    // the group that it has entered.
    void leaveGroup();
    std::uint64_t epoch() const { return epoch_; }

    // Sets what the store lists of the service. The gap target may be zero: unknown.
    void setService(const std::optional<ExpertRule> &rule, Duration gapTarget);
    // Returns how often and how many ranks are polled over a link of this bandwidth.
    CollectionPlan planCollection(double linkBytesPerSecond);
    // Returns the interval between two rounds of counts under `plan`.
    Duration countsInterval(const CollectionPlan &plan) const;
    // Sets the number of ranks that have been polled for the next round of counts.
    void expectAnswers(std::uint32_t ranks) { planner_.expectAnswers(ranks); }
    // Returns whether the ranks' experts have to be queried, because the map in use is not known.
    bool needsExperts() const { return !cachedMap_; }

    // Handles the facts of a rank that was polled at `requestedAt`. Returns whether all answers of
    // a round of counts have arrived, so that it can end before the next tick.
    bool onFacts(const RankFacts &facts, TimePoint requestedAt, TimePoint now);
    // Ends a round of counts if it is complete. Must be called on every tick.
    void endRound(TimePoint now);
    void onAnswer(std::uint32_t rank, const MapOrder &order, MapOrderAnswer answer, TimePoint now);
    // Continues the change in progress, or starts one if it is worth its cost.
    void run(TimePoint now, MapOrders &orders);

    // Returns the group's state for gateways. Paces are rounded so that small changes do not wake
    // waiting calls.
    GroupFacts groupFacts(const std::map<std::uint32_t, SocketAddress> &engines,
                          TimePoint now) const;
    // Return the number of completed and of cleared changes of this term, or of the last one.
    std::uint64_t changes() const { return loggedChanges_; }
    std::uint64_t cleared() const { return loggedCleared_; }

private:
    // The most recent map of this epoch that was known to be in use.
    struct CachedMap
    {
        std::uint64_t version = 0;
        ExpertMap map;
    };

    void discardMaps();
    std::optional<ExpertMap> mapInUse(TimePoint now);
    std::optional<ExpertMap> assembleMap(std::uint64_t version) const;
    void updatePassOutlook();
    std::optional<ExpertMap> plan(TimePoint now);
    void replaceOutdatedChange(TimePoint now, MapOrders &orders);
    void proposeChange(TimePoint now, MapOrders &orders);
    void propose(ExpertMap planned, TimePoint now, MapOrders &orders);
    void logPhaseChange();
    void logObstacleChange(std::string_view obstacle);

    Metrics &metrics_;
    ExpertPlanner planner_;
    std::optional<ExpertRule> rule_;
    Duration gapTarget_{}; // Shortest gap target of the service's routes; zero: unknown.
    std::uint64_t epoch_ = 0;
    std::uint64_t fenceFloor_ = 0; // Above all fences that this agent has used as the decider.
    // The epoch in which this agent has sent arms whose outcome it does not know (see
    // GroupDecider).
    std::optional<std::uint64_t> epochOfUnresolvedArms_;
    std::unique_ptr<GroupDecider> decider_;              // Null while another agent decides.
    std::map<std::uint32_t, ExpertsOfRank> rankExperts_; // By rank.
    std::optional<CachedMap> cachedMap_;
    std::optional<ExpertMap> currentMap_; // The map in use, once known for all ranks.
    ExpertMap proposedMap_;               // The last map that this agent proposed.
    std::uint64_t proposedVersion_ = 0;   // Version of `proposedMap_`; zero: none in this epoch.
    TimePoint proposedAt_{};
    GroupDecider::Phase loggedPhase_ = GroupDecider::Phase::Idle;
    std::string_view loggedObstacle_;
    std::uint64_t loggedChanges_ = 0;
    std::uint64_t loggedCleared_ = 0;
};

} // namespace seamarch
