// Compact deltas of the per-expert choice counts of a rank.
//
// An engine counts how often each expert was chosen since the engine started. A decider polls all
// ranks of its group several times a second; with a few dozen ranks and thousands of experts, full
// counts exceed the capacity of its link. The agent beside a rank therefore keeps snapshots of the
// last few counts and sends only the delta since the snapshot that the decider names, quantized to
// one byte per expert. The quantization error is at most 1/510 of the largest count in a block,
// which is far below the sampling noise of the counts.
//
// Performs no I/O; not thread-safe.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

namespace seamarch {

// How often each expert was chosen between two snapshots, quantized by block of experts.
struct ChoiceCounts
{
    std::uint64_t snapshotId = 0; // Identifies the later snapshot.
    std::uint64_t since = 0;      // Identifies the earlier snapshot; zero if there is no delta.
    // Choices per quantization step, for each block of kBlockSize experts.
    std::vector<float> scales;
    std::vector<std::uint8_t> quantized; // Quantization steps, by expert.

    static constexpr std::size_t kBlockSize = 64;
};

// Returns the number of choices by expert. Returns an empty vector if `counts` has no earlier
// snapshot or the number of scales does not match the number of experts.
std::vector<double> decodeChoices(const ChoiceCounts &counts);

// Keeps the last few snapshots of a rank's counts and computes deltas from them.
class ChoiceCountHistory
{
public:
    // `firstSnapshotId` is a random number, so that ids from an earlier run of the process do not
    // match a snapshot of this one.
    explicit ChoiceCountHistory(std::uint64_t firstSnapshotId)
        : nextSnapshotId_(firstSnapshotId == 0 ? 1 : firstSnapshotId)
    {}

    // Stores a snapshot of the counts since the engine's start and returns the delta since the
    // snapshot `since`. The delta is empty if that snapshot is unknown or a count has decreased,
    // which means that the engine has restarted.
    ChoiceCounts record(std::vector<std::uint64_t> counts, std::uint64_t since);

private:
    struct Snapshot
    {
        std::uint64_t snapshotId = 0;
        std::vector<std::uint64_t> counts;
    };

    // Two deciders may poll alternately for a while; older snapshots are not requested again.
    static constexpr std::size_t kMaxSnapshots = 4;

    std::deque<Snapshot> snapshots_;
    std::uint64_t nextSnapshotId_;
};

} // namespace seamarch
