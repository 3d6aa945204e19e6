// The generations of a group as one rank sees them: which incarnations of the ranks are known, and
// which ranks have joined the present generation (see mapswitchparticipant.h).
//
// Performs no I/O; not thread-safe.
#pragma once

#include "seamarch/ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace seamarch {

// Identifies a change, and the map that it introduces, and defines the order of changes.
struct MapFence
{
    std::uint64_t configVersion = 0;
    std::uint64_t ballot = 0;
    std::uint32_t rank = 0; // Rank of the proposer; makes fences of different proposers distinct.

    friend auto operator<=>(const MapFence &, const MapFence &) = default;
};

// Identifies one run of a rank's agent. Later incarnations of a rank compare higher; only progress,
// not consistency, depends on that.
using RankIncarnation = std::uint64_t;

// The incarnations of all ranks, by rank.
using Generation = std::vector<RankIncarnation>;

class GenerationMembership
{
public:
    // What a rank announces when it joins: the last map that it saw committed, and its step.
    struct Join
    {
        MapFence committed;
        std::uint64_t step = 0;
    };

    GenerationMembership(RankIndex rank, std::uint32_t ranks, RankIncarnation incarnation);

    // Adds the incarnations that a peer knows. Returns false if one of them is a newer incarnation
    // of this rank.
    bool merge(const Generation &known);
    // Returns whether the incarnations of all ranks are known and form a new generation.
    bool hasNewGeneration() const;
    // Joins the new generation.
    void join(const Join &own);
    // Records that a rank has joined `generation`. Returns false if that is not the present one.
    bool recordJoin(RankIndex rank, const Generation &generation, const Join &join);
    bool allJoined() const { return joins_.size() == incarnations_.size(); }
    // Returns the newest map that any rank saw committed, and the highest step of a rank.
    Join start() const;
    const Join &ownJoin() const { return joins_.at(rank_); }

    const Generation &present() const { return present_; }
    const Generation &incarnations() const { return incarnations_; }

private:
    RankIndex rank_;
    Generation incarnations_;
    Generation present_; // Empty until all incarnations have been known.
    std::map<RankIndex, Join> joins_;
};

} // namespace seamarch
