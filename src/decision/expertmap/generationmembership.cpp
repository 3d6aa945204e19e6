#include "decision/expertmap/generationmembership.h"

#include <algorithm>

namespace seamarch {

GenerationMembership::GenerationMembership(RankIndex rank, std::uint32_t ranks,
                                           RankIncarnation incarnation)
    : rank_(rank)
    , incarnations_(ranks, 0)
{
    incarnations_[rank_.value()] = incarnation;
}

bool GenerationMembership::merge(const Generation &known)
{
    for (std::size_t rank = 0; rank < incarnations_.size() && rank < known.size(); ++rank) {
        if (rank == rank_.value() && known[rank] > incarnations_[rank]) {
            return false;
        }
        incarnations_[rank] = std::max(incarnations_[rank], known[rank]);
    }
    return true;
}

bool GenerationMembership::hasNewGeneration() const
{
    const bool complete = std::find(incarnations_.begin(), incarnations_.end(), RankIncarnation{0})
                          == incarnations_.end();
    return complete && incarnations_ != present_;
}

void GenerationMembership::join(const Join &own)
{
    present_ = incarnations_;
    joins_.clear();
    joins_[rank_] = own;
}

bool GenerationMembership::recordJoin(RankIndex rank, const Generation &generation,
                                      const Join &join)
{
    if (generation != present_) {
        return false;
    }
    joins_[rank] = join;
    return true;
}

GenerationMembership::Join GenerationMembership::start() const
{
    Join start;
    for (const auto &[rank, join] : joins_) {
        start.committed = std::max(start.committed, join.committed);
        start.step = std::max(start.step, join.step);
    }
    return start;
}

} // namespace seamarch
