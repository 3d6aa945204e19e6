#include "decision/expertmap/evenplacement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <tuple>
#include <utility>

namespace seamarch {
namespace {

// The objective is the sum of the loads raised to this power. It approximates the largest load, but
// also decreases when one of several ranks with the largest load improves.
constexpr int kPower = 8;
// Minimum relative improvement of the objective that justifies a copy.
constexpr double kMinGain = 1e-3;

double power(double load)
{
    const double square = load * load;
    const double fourth = square * square;
    static_assert(kPower == 8);
    return fourth * fourth;
}

// A change of the placement that puts `expert` on rank `to`. If `dropped` is set, it replaces that
// expert there; if `from` is set as well, the two experts are swapped between `from` and `to`. If
// `removesReplica` is set, the change only removes `expert` from `to`.
struct PlacementChange
{
    std::uint16_t expert = 0;
    std::size_t to = 0;
    std::optional<std::uint16_t> dropped;
    std::optional<std::size_t> from;
    bool removesReplica = false;
};

double paceOf(RankPaces paces, std::size_t rank)
{
    return rank < paces.size() ? paces[rank] : 1.0;
}

// The loads of the ranks, together with the deltas of a tentative change. Evaluating a change only
// visits the few ranks that hold its experts.
class TentativeLoads
{
public:
    TentativeLoads(std::vector<double> loads, RankPaces paces)
        : loads_(std::move(loads))
        , paces_(paces)
        , deltas_(loads_.size(), 0.0)
    {
        powers_.reserve(loads_.size());
        for (const double load : loads_) {
            powers_.push_back(power(load));
            objective_ += powers_.back();
        }
    }

    const std::vector<double> &loads() const { return loads_; }
    double objective() const { return objective_; }

    void add(std::size_t rank, double load)
    {
        if (deltas_[rank] == 0.0) {
            changedRanks_.push_back(rank);
        }
        deltas_[rank] += load * paceOf(paces_, rank);
    }

    // Returns the increase of the objective under the tentative change, and discards that change.
    double evaluateAndReset()
    {
        double rise = 0.0;
        for (const std::size_t rank : changedRanks_) {
            rise += power(loads_[rank] + deltas_[rank]) - powers_[rank];
            deltas_[rank] = 0.0;
        }
        changedRanks_.clear();
        return rise;
    }

    // Applies the tentative change to the loads.
    void commit()
    {
        for (const std::size_t rank : changedRanks_) {
            loads_[rank] += deltas_[rank];
            objective_ -= powers_[rank];
            powers_[rank] = power(loads_[rank]);
            objective_ += powers_[rank];
            deltas_[rank] = 0.0;
        }
        changedRanks_.clear();
    }

private:
    std::vector<double> loads_;
    RankPaces paces_;
    std::vector<double> powers_; // The loads raised to kPower.
    double objective_ = 0.0;     // The sum of `powers_`.
    std::vector<double> deltas_; // Load deltas of the tentative change.
    std::vector<std::size_t> changedRanks_;
};

// A greedy search for a better placement of one set.
class PlacementSearch
{
public:
    PlacementSearch(const RankExperts &current, std::span<const double> shares,
                    const PlacementBounds &bounds, RankPaces paces)
        : original_(current)
        , placement_(current)
        , shares_(shares)
        , bounds_(bounds)
        , total_(std::accumulate(shares.begin(), shares.end(), 0.0))
        , tentativeLoads_(rankLoads(current, shares, paces), paces)
        , holders_(shares.size())
        , newExperts_(current.size(), 0)
    {
        for (std::size_t rank = 0; rank < placement_.size(); ++rank) {
            for (const std::uint16_t expert : placement_[rank]) {
                holders_[expert].push_back(rank);
            }
        }
    }

    RankExperts run()
    {
        for (std::uint32_t count = 0; count < bounds_.maxChanges; ++count) {
            if (skew() <= bounds_.targetSkew) {
                break;
            }
            const auto change = findBestChange();
            if (!change) {
                break;
            }
            apply(*change);
        }
        return placement_;
    }

private:
    static bool holds(const RankExperts &placement, std::size_t rank, std::uint16_t expert)
    {
        return std::find(placement[rank].begin(), placement[rank].end(), expert)
               != placement[rank].end();
    }

    double skew() const
    {
        const std::vector<double> &loads = tentativeLoads_.loads();
        return *std::max_element(loads.begin(), loads.end()) * static_cast<double>(loads.size())
               / total_;
    }

    // Returns whether placing `expert` on `rank` respects the bounds on new experts.
    bool canReceive(std::size_t rank, std::uint16_t expert) const
    {
        const std::uint32_t bound =
            bounds_.maxNewByRank.empty() ? bounds_.maxNewExperts : bounds_.maxNewByRank[rank];
        return (newExperts_[rank] < bound && totalNew_ < bounds_.maxNewTotal)
               || holds(original_, rank, expert);
    }

    // Adds another replica of `expert` on rank `to` to the tentative change.
    void stageReplica(std::uint16_t expert, std::size_t to)
    {
        const auto count = static_cast<double>(holders_[expert].size());
        const double before = shares_[expert] / count;
        const double after = shares_[expert] / (count + 1.0);
        for (const std::size_t rank : holders_[expert]) {
            tentativeLoads_.add(rank, after - before);
        }
        tentativeLoads_.add(to, after);
    }

    // Adds the removal of `expert` from rank `from` to the tentative change.
    void stageRemoval(std::uint16_t expert, std::size_t from)
    {
        const auto count = static_cast<double>(holders_[expert].size());
        const double before = shares_[expert] / count;
        const double after = shares_[expert] / (count - 1.0);
        for (const std::size_t rank : holders_[expert]) {
            tentativeLoads_.add(rank, rank == from ? -before : after - before);
        }
    }

    void stageChange(const PlacementChange &change)
    {
        if (change.removesReplica) {
            stageRemoval(change.expert, change.to);
            return;
        }
        if (change.from) {
            const double moved =
                shares_[change.expert] / static_cast<double>(holders_[change.expert].size());
            const double back =
                shares_[*change.dropped] / static_cast<double>(holders_[*change.dropped].size());
            tentativeLoads_.add(*change.from, back - moved);
            tentativeLoads_.add(change.to, moved - back);
            return;
        }
        stageReplica(change.expert, change.to);
        if (change.dropped) {
            stageRemoval(*change.dropped, change.to);
        }
    }

    // Returns the `maxTargets` least loaded ranks, in ascending order of rank.
    const std::vector<std::size_t> &leastLoaded()
    {
        const std::vector<double> &loads = tentativeLoads_.loads();
        const std::size_t count = std::min(bounds_.maxTargets, loads.size());
        targets_.resize(loads.size());
        std::iota(targets_.begin(), targets_.end(), std::size_t{0});
        std::partial_sort(targets_.begin(), targets_.begin() + static_cast<std::ptrdiff_t>(count),
                          targets_.end(), [&loads](std::size_t one, std::size_t other) {
                              return std::tie(loads[one], one) < std::tie(loads[other], other);
                          });
        targets_.resize(count);
        std::sort(targets_.begin(), targets_.end());
        return targets_;
    }

    std::optional<PlacementChange> findBestChange()
    {
        const std::vector<double> &loads = tentativeLoads_.loads();
        const std::vector<std::size_t> &targets = leastLoaded();
        const auto mostLoaded =
            static_cast<std::size_t>(std::max_element(loads.begin(), loads.end()) - loads.begin());
        std::optional<PlacementChange> bestChange;
        double bestRise = -tentativeLoads_.objective() * kMinGain;
        const auto consider = [&](const PlacementChange &change) {
            stageChange(change);
            const double rise = tentativeLoads_.evaluateAndReset();
            if (rise < bestRise) {
                bestRise = rise;
                bestChange = change;
            }
        };
        for (const std::uint16_t expert : placement_[mostLoaded]) {
            if (holders_[expert].size() > 1) {
                consider(PlacementChange{expert, mostLoaded, std::nullopt, std::nullopt, true});
            }
            for (const std::size_t to : targets) {
                if (to != mostLoaded && !holds(placement_, to, expert) && canReceive(to, expert)) {
                    considerMove(expert, mostLoaded, to, consider);
                }
            }
        }
        return bestChange;
    }

    template <typename Consider>
    void considerMove(std::uint16_t expert, std::size_t from, std::size_t to, Consider consider)
    {
        if (placement_[to].size() < bounds_.maxExperts) {
            consider(PlacementChange{expert, to, std::nullopt, std::nullopt, false});
        }
        for (const std::uint16_t other : placement_[to]) {
            if (holders_[other].size() > 1) {
                consider(PlacementChange{expert, to, other, std::nullopt, false});
            }
            if (!holds(placement_, from, other) && canReceive(from, other)) {
                consider(PlacementChange{expert, to, other, from, false});
            }
        }
    }

    void insert(std::size_t rank, std::uint16_t expert)
    {
        auto &experts = placement_[rank];
        experts.insert(std::lower_bound(experts.begin(), experts.end(), expert), expert);
        holders_[expert].push_back(rank);
        if (!holds(original_, rank, expert)) {
            ++newExperts_[rank];
            ++totalNew_;
        }
    }

    void erase(std::size_t rank, std::uint16_t expert)
    {
        std::erase(placement_[rank], expert);
        std::erase(holders_[expert], rank);
        if (!holds(original_, rank, expert)) {
            --newExperts_[rank];
            --totalNew_;
        }
    }

    void apply(const PlacementChange &change)
    {
        stageChange(change);
        tentativeLoads_.commit();
        if (change.removesReplica) {
            erase(change.to, change.expert);
            return;
        }
        if (change.dropped) {
            erase(change.to, *change.dropped);
        }
        if (change.from) {
            erase(*change.from, change.expert);
            insert(*change.from, *change.dropped);
        }
        insert(change.to, change.expert);
    }

    const RankExperts &original_;
    RankExperts placement_;
    std::span<const double> shares_;
    PlacementBounds bounds_;
    double total_; // Sum of the shares.
    TentativeLoads tentativeLoads_;
    std::vector<std::vector<std::size_t>> holders_; // The ranks that hold each expert.
    std::vector<std::uint32_t> newExperts_;
    std::uint32_t totalNew_ = 0;
    std::vector<std::size_t> targets_; // Result buffer of leastLoaded().
};

} // namespace

std::vector<double> rankLoads(const RankExperts &placement, std::span<const double> shares,
                              RankPaces paces)
{
    std::vector<std::uint32_t> holders(shares.size(), 0);
    for (const auto &experts : placement) {
        for (const std::uint16_t expert : experts) {
            ++holders[expert];
        }
    }
    std::vector<double> loads(placement.size(), 0.0);
    for (std::size_t rank = 0; rank < placement.size(); ++rank) {
        for (const std::uint16_t expert : placement[rank]) {
            loads[rank] += shares[expert] / holders[expert] * paceOf(paces, rank);
        }
    }
    return loads;
}

double placementSkew(const RankExperts &placement, std::span<const double> shares, RankPaces paces)
{
    const std::vector<double> loads = rankLoads(placement, shares, paces);
    const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
    if (loads.empty() || sum <= 0.0) {
        return 1.0;
    }
    const double mean = sum / static_cast<double>(loads.size());
    return *std::max_element(loads.begin(), loads.end()) / mean;
}

RankExperts improvePlacement(const RankExperts &current, std::span<const double> shares,
                             const PlacementBounds &bounds, RankPaces paces)
{
    RankExperts improved = PlacementSearch(current, shares, bounds, paces).run();
    return placementSkew(improved, shares, paces) < placementSkew(current, shares, paces) ? improved
                                                                                          : current;
}

} // namespace seamarch
