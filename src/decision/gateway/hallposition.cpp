#include "decision/gateway/hallposition.h"

#include <algorithm>

namespace seamarch {

std::size_t fillPosition(std::size_t index, std::size_t upstreams, const HallPosition &position)
{
    const std::size_t gateways = std::max<std::size_t>(1, position.gateways);
    const std::size_t first = position.index % gateways * upstreams / gateways;
    return (index + upstreams - first) % upstreams;
}

} // namespace seamarch
