#include "decision/placement/balancer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace seamarch {
namespace {

constexpr int kSplitRounds = 24;      // Most iterations for the split that is returned.
constexpr int kSearchSplitRounds = 6; // Most iterations for the split of a candidate change.
// Iteration stops when less load share than this moves.
constexpr double kConvergenceThreshold = 1e-4;
constexpr double kMinSpeed = 0.02;         // Lower bound, since step times divide by speed.
constexpr std::size_t kHotRanksToTry = 2;  // Ranks with the longest step times.
constexpr std::size_t kColdRanksToTry = 6; // Ranks with the shortest step times.

// The slots that hold each expert.
using Replicas = std::vector<std::vector<std::uint32_t>>;

Replicas replicasOf(const Placement &placement, std::size_t experts)
{
    Replicas replicas(experts);
    for (std::uint32_t slot = 0; slot < placement.experts.size(); ++slot) {
        replicas[placement.experts[slot]].push_back(slot);
    }
    return replicas;
}

double speedOf(std::span<const double> speeds, std::uint32_t rank)
{
    return std::max(kMinSpeed, speeds[rank]);
}

// Computes the load split iteratively: each iteration redistributes the tokens of one expert after
// another to equalize the step times of the ranks that hold it.
class Splitter
{
public:
    Splitter(const Placement &placement, std::span<const double> shares,
             std::span<const double> speeds)
        : placement_(placement)
        , shares_(shares)
        , speeds_(speeds)
        , replicas_(replicasOf(placement, shares.size()))
        , load_(placement.ranks, 0.0)
    {
        split_.slotShare.assign(placement.experts.size(), 0.0);
        for (std::size_t expert = 0; expert < shares.size(); ++expert) {
            const auto count = static_cast<double>(replicas_[expert].size());
            for (const std::uint32_t slot : replicas_[expert]) {
                split_.slotShare[slot] = shares[expert] / count;
                load_[slot / placement.slots] += split_.slotShare[slot];
            }
        }
    }

    LoadSplit run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            double changed = 0.0;
            for (std::size_t expert = 0; expert < shares_.size(); ++expert) {
                changed += balanceExpert(expert);
            }
            if (changed < kConvergenceThreshold) {
                break;
            }
        }
        computeRankTimes();
        return std::move(split_);
    }

private:
    // Redistributes the tokens of `expert` by water-filling, so that the ranks that get any of them
    // reach the same step time. Returns the load share that moved.
    double balanceExpert(std::size_t expert)
    {
        const auto &slots = replicas_[expert];
        if (slots.size() < 2) {
            return 0.0;
        }
        for (const std::uint32_t slot : slots) {
            load_[slot / placement_.slots] -= split_.slotShare[slot];
        }
        order_.assign(slots.begin(), slots.end());
        std::sort(order_.begin(), order_.end(), [this](std::uint32_t left, std::uint32_t right) {
            return baseTime(left) < baseTime(right);
        });
        const double level = waterFillingLevel(shares_[expert]);
        double moved = 0.0;
        for (const std::uint32_t slot : slots) {
            const std::uint32_t rank = slot / placement_.slots;
            const double share = std::max(0.0, level - baseTime(slot)) * speedOf(speeds_, rank);
            moved += std::abs(share - split_.slotShare[slot]);
            split_.slotShare[slot] = share;
            load_[rank] += share;
        }
        return moved;
    }

    // Returns the step time of the slot's rank under its current load.
    double baseTime(std::uint32_t slot) const
    {
        const std::uint32_t rank = slot / placement_.slots;
        return load_[rank] / speedOf(speeds_, rank);
    }

    // Returns the step time up to which `amount` of load fills the ranks in `order_`, least loaded
    // first.
    double waterFillingLevel(double amount) const
    {
        double speed = 0.0;
        double existingLoad = 0.0;
        double level = 0.0;
        for (std::size_t index = 0; index < order_.size(); ++index) {
            const double base = baseTime(order_[index]);
            if (index > 0 && base >= level) {
                break;
            }
            const double ownSpeed = speedOf(speeds_, order_[index] / placement_.slots);
            speed += ownSpeed;
            existingLoad += base * ownSpeed;
            level = (existingLoad + amount) / speed;
        }
        return level;
    }

    void computeRankTimes()
    {
        const double idealTime = 1.0 / std::accumulate(speeds_.begin(), speeds_.end(), 0.0);
        double largest = 0.0;
        double sum = 0.0;
        split_.rankTime.resize(placement_.ranks);
        for (std::uint32_t rank = 0; rank < placement_.ranks; ++rank) {
            const double time = load_[rank] / speedOf(speeds_, rank);
            split_.rankTime[rank] = time / idealTime;
            largest = std::max(largest, time);
            sum += time;
        }
        split_.skew = sum > 0.0 ? largest * placement_.ranks / sum : 1.0;
    }

    const Placement &placement_;
    std::span<const double> shares_;
    std::span<const double> speeds_;
    Replicas replicas_;
    std::vector<double> load_;
    LoadSplit split_;
    std::vector<std::uint32_t> order_;
};

double largestTime(const LoadSplit &split)
{
    return *std::max_element(split.rankTime.begin(), split.rankTime.end());
}

// Returns the ranks by step time, longest first.
std::vector<std::uint32_t> ranksByTime(const LoadSplit &split)
{
    std::vector<std::uint32_t> ranks(split.rankTime.size());
    std::iota(ranks.begin(), ranks.end(), 0U);
    std::sort(ranks.begin(), ranks.end(), [&split](std::uint32_t left, std::uint32_t right) {
        return split.rankTime[left] > split.rankTime[right];
    });
    return ranks;
}

bool holds(const Placement &placement, std::uint32_t rank, ExpertIndex expert)
{
    for (std::uint32_t slot = 0; slot < placement.slots; ++slot) {
        if (placement.at(rank, slot) == expert) {
            return true;
        }
    }
    return false;
}

// Searches for the replacement or swap that lowers the largest step time most per moved slot. Tries
// only changes between the ranks with the longest and those with the shortest step times.
class MoveSearch
{
public:
    MoveSearch(const Placement &placement, const LoadSplit &split, const BalanceInput &input)
        : placement_(placement)
        , split_(split)
        , input_(input)
        , replicas_(replicasOf(placement, input.shares.size()))
        , bestTime_(largestTime(split))
    {}

    // Returns false if no change lowers the largest step time.
    bool run()
    {
        const auto ranks = ranksByTime(split_);
        const std::size_t hot = std::min(kHotRanksToTry, ranks.size());
        const std::size_t cold = std::min(kColdRanksToTry, ranks.size() - hot);
        for (std::size_t h = 0; h < hot; ++h) {
            for (std::size_t c = 0; c < cold; ++c) {
                tryRankPair(ranks[h], ranks[ranks.size() - 1 - c]);
            }
        }
        return found_;
    }

    const Placement &placement() const { return best_; }
    const LoadSplit &split() const { return bestSplit_; }
    std::uint32_t moves() const { return moves_; }

private:
    void tryRankPair(std::uint32_t hot, std::uint32_t cold)
    {
        for (std::uint32_t from = 0; from < placement_.slots; ++from) {
            const ExpertIndex expert = placement_.at(hot, from);
            if (holds(placement_, cold, expert)) {
                continue;
            }
            for (std::uint32_t to = 0; to < placement_.slots; ++to) {
                tryAddReplica(expert, cold * placement_.slots + to);
                trySwap(hot * placement_.slots + from, cold * placement_.slots + to);
            }
        }
    }

    // Replaces the expert in `slot` by a further replica of `expert`, unless `slot` holds the only
    // replica of its expert.
    void tryAddReplica(ExpertIndex expert, std::uint32_t slot)
    {
        if (replicas_[placement_.experts[slot]].size() < 2) {
            return;
        }
        Placement changed = placement_;
        changed.experts[slot] = expert;
        consider(std::move(changed), 1);
    }

    void trySwap(std::uint32_t left, std::uint32_t right)
    {
        const ExpertIndex incoming = placement_.experts[right];
        if (holds(placement_, left / placement_.slots, incoming)) {
            return;
        }
        Placement changed = placement_;
        std::swap(changed.experts[left], changed.experts[right]);
        consider(std::move(changed), 2);
    }

    void consider(Placement changed, std::uint32_t moves)
    {
        LoadSplit split = Splitter(changed, input_.shares, input_.speeds).run(kSearchSplitRounds);
        const double time = largestTime(split);
        // Compares the gain per moved slot, since a swap loads weights into two slots.
        const double gain = (largestTime(split_) - time) / moves;
        const double bestGain = found_ ? (largestTime(split_) - bestTime_) / moves_ : 0.0;
        if (gain <= bestGain) {
            return;
        }
        found_ = true;
        bestTime_ = time;
        best_ = std::move(changed);
        bestSplit_ = std::move(split);
        moves_ = moves;
    }

    const Placement &placement_;
    const LoadSplit &split_;
    const BalanceInput &input_;
    Replicas replicas_;
    double bestTime_;
    bool found_ = false;
    Placement best_;
    LoadSplit bestSplit_;
    std::uint32_t moves_ = 1;
};

double objectiveOf(const ObjectiveConfig &objective, const LoadSplit &split, std::uint32_t moves,
                   std::size_t slots)
{
    return objective.skewWeight * (largestTime(split) - 1.0)
           + objective.moveWeight * static_cast<double>(moves) / static_cast<double>(slots);
}

} // namespace

Placement staticPlacement(std::uint32_t ranks, std::uint32_t slots, std::uint32_t experts)
{
    Placement placement{ranks, slots, {}};
    placement.experts.resize(static_cast<std::size_t>(ranks) * slots);
    for (std::uint32_t slot = 0; slot < slots; ++slot) {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            // Each row of slots is shifted by one rank, so that further replicas of an expert are
            // placed on other ranks.
            const std::uint32_t number = slot * ranks + (rank + slot) % ranks;
            placement.experts[rank * slots + slot] = number % experts;
        }
    }
    return placement;
}

Placement greedyPlacement(std::uint32_t ranks, std::uint32_t slots, std::span<const double> shares,
                          std::span<const double> speeds)
{
    const auto experts = static_cast<std::uint32_t>(shares.size());
    std::vector<std::uint32_t> counts(experts, 1);
    const auto sharePerReplica = [&](std::uint32_t expert) {
        return counts[expert] >= ranks ? 0.0 : shares[expert] / counts[expert];
    };
    for (std::uint32_t spare = experts; spare < ranks * slots; ++spare) {
        std::uint32_t hottest = 0;
        for (std::uint32_t expert = 1; expert < experts; ++expert) {
            hottest = sharePerReplica(expert) > sharePerReplica(hottest) ? expert : hottest;
        }
        ++counts[hottest];
    }
    std::vector<ExpertIndex> order(experts);
    std::iota(order.begin(), order.end(), 0U);
    std::stable_sort(order.begin(), order.end(), [&](ExpertIndex left, ExpertIndex right) {
        return shares[left] / counts[left] > shares[right] / counts[right];
    });
    std::vector<std::vector<ExpertIndex>> expertsOfRank(ranks);
    std::vector<double> load(ranks, 0.0);
    for (const ExpertIndex expert : order) {
        for (std::uint32_t replica = 0; replica < counts[expert]; ++replica) {
            std::uint32_t best = ranks;
            for (std::uint32_t rank = 0; rank < ranks; ++rank) {
                const auto &held = expertsOfRank[rank];
                const bool fits = held.size() < slots
                                  && std::find(held.begin(), held.end(), expert) == held.end();
                const bool better =
                    best == ranks
                    || load[rank] / speedOf(speeds, rank) < load[best] / speedOf(speeds, best);
                best = fits && better ? rank : best;
            }
            if (best == ranks) {
                // All ranks with a free slot already hold the expert: use the first free slot.
                best = static_cast<std::uint32_t>(
                    std::find_if(expertsOfRank.begin(), expertsOfRank.end(),
                                 [slots](const auto &held) { return held.size() < slots; })
                    - expertsOfRank.begin());
            }
            expertsOfRank[best].push_back(expert);
            load[best] += shares[expert] / counts[expert];
        }
    }
    Placement placement{ranks, slots, {}};
    for (const auto &held : expertsOfRank) {
        placement.experts.insert(placement.experts.end(), held.begin(), held.end());
    }
    return placement;
}

LoadSplit splitLoad(const Placement &placement, std::span<const double> shares,
                    std::span<const double> speeds)
{
    return Splitter(placement, shares, speeds).run(kSplitRounds);
}

std::uint32_t movedSlots(const Placement &from, const Placement &to)
{
    std::uint32_t moved = 0;
    for (std::uint32_t rank = 0; rank < to.ranks; ++rank) {
        for (std::uint32_t slot = 0; slot < to.slots; ++slot) {
            moved += holds(from, rank, to.at(rank, slot)) ? 0 : 1;
        }
    }
    return moved;
}

BalanceResult balance(const Placement &current, const BalanceInput &input)
{
    BalanceResult result;
    result.placement = current;
    result.split = splitLoad(current, input.shares, input.speeds);
    const std::size_t slots = current.experts.size();
    // Noise in the shares alone can appear as a gain; it does not justify moving weights.
    const double noiseFloor = input.objective.skewWeight * input.noise * current.ranks;
    while (result.moves < input.maxMoves) {
        MoveSearch search(result.placement, result.split, input);
        if (!search.run() || result.moves + search.moves() > input.maxMoves) {
            break;
        }
        const double gain =
            input.objective.skewWeight * (largestTime(result.split) - largestTime(search.split()));
        const double cost =
            input.objective.moveWeight * search.moves() / static_cast<double>(slots);
        if (gain <= cost + noiseFloor * 0.1) {
            break;
        }
        result.placement = search.placement();
        result.split = splitLoad(result.placement, input.shares, input.speeds);
        result.moves += search.moves();
    }
    result.objective = objectiveOf(input.objective, result.split, result.moves, slots);
    return result;
}

} // namespace seamarch
