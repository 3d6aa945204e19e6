#include "decision/expertmap/relayplan.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace seamarch {
namespace {

// Maximum total transfer time for which orders are sent directly. A relay hop costs the scheduling
// of two agents and the network latency, some ten milliseconds for processes with a small CPU
// share. Up to a few times that, sending directly is as fast, and a failure affects a single rank
// only.
constexpr double kMaxDirectSeconds = 0.05;

} // namespace

std::vector<RelayBlock> planRelays(const RelayInputs &inputs)
{
    const std::size_t count = inputs.ranks.size();
    const double seconds = static_cast<double>(count) * static_cast<double>(inputs.orderBytes)
                           / std::max(1.0, inputs.linkBytesPerSecond);
    const auto blocks = seconds <= kMaxDirectSeconds
                            ? count
                            : static_cast<std::size_t>(std::ceil(std::sqrt(count)));
    std::vector<RelayBlock> plan;
    for (std::size_t block = 0; block < blocks; ++block) {
        const auto begin =
            inputs.ranks.begin() + static_cast<std::ptrdiff_t>(block * count / blocks);
        const auto end =
            inputs.ranks.begin() + static_cast<std::ptrdiff_t>((block + 1) * count / blocks);
        RelayBlock members(begin, end);
        if (members.empty()) {
            continue;
        }
        const std::size_t first = inputs.rotation % members.size();
        std::rotate(members.begin(), members.begin() + static_cast<std::ptrdiff_t>(first),
                    members.end());
        plan.push_back(std::move(members));
    }
    return plan;
}

} // namespace seamarch
