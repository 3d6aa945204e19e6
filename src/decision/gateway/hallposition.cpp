#include "decision/gateway/hallposition.h"

#include <algorithm>

namespace seamarch {

std::size_t fillPosition(std::size_t index, std::size_t upstreams, const HallPosition &place)
{
    const std::size_t gateways = std::max<std::size_t>(1, place.gateways);
    const std::size_t first = place.index % gateways * upstreams / gateways;
    return (index + upstreams - first) % upstreams;
}

} // namespace seamarch
