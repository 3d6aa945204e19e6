// How often a rank's experts were chosen between two moments, small enough for the link of an
// agent.
//
// An engine counts since its start, in as many digits as it takes. A decider asks all ranks of its
// group several times a second, and at a few dozen ranks with thousands of experts the whole counts
// are more than its link carries. So the agent beside a rank keeps its counts of the last few
// moments, and tells a decider only what was chosen since the moment that it names, in one byte an
// expert. The error is one part in 510 of the most chosen expert of a block, far below what the
// counts themselves vary.
//
// Pure and single-threaded.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

namespace seamarch {

struct ChoiceCounts
{
    std::uint64_t mark = 0;  // Names the later moment.
    std::uint64_t since = 0; // Names the earlier one; zero: there is none, and all counts are zero.
    // The choices that one part stands for, by block of kBlockSize experts.
    std::vector<float> scales;
    std::vector<std::uint8_t> quantized; // By expert.

    static constexpr std::size_t kBlockSize = 64;
};

// Returns the choices by expert; none, where `counts` holds no earlier moment or does not fit
// together.
std::vector<double> decodeChoices(const ChoiceCounts &counts);

// Keeps what a rank counted at the last few moments.
class ChoiceCountHistory
{
public:
    // `firstMark` is drawn at random, so that a mark of an earlier life of the process is unknown.
    explicit ChoiceCountHistory(std::uint64_t firstMark)
        : nextMark_(firstMark == 0 ? 1 : firstMark)
    {}

    // Notes the counts since the engine's start, and returns those since the moment `since`. An
    // engine that has started anew has counted less than before; then nothing is returned.
    ChoiceCounts record(std::vector<std::uint64_t> counts, std::uint64_t since);

private:
    struct Snapshot
    {
        std::uint64_t mark = 0;
        std::vector<std::uint64_t> counts;
    };

    // Two deciders may ask in turn for a moment; more than a few moments nobody names again.
    static constexpr std::size_t kMaxSnapshots = 4;

    std::deque<Snapshot> snapshots_;
    std::uint64_t nextMark_;
};

} // namespace seamarch
