// Routes of each kind of request, for tests of what upstreams get.
#pragma once

#include "decision/gateway/routetable.h"

#include <chrono>
#include <memory>

namespace seamarch::testing {

enum class Kind { AtMostOnce, Repeatable, Stream };

inline std::shared_ptr<const RouteTable> tableFor(Kind kind)
{
    RouteRule route;
    route.name = "route";
    route.host = "x";
    route.pathPrefix = "/";
    route.targets = {{TargetName("service"), 1}};
    route.repeatable = kind == Kind::Repeatable;
    route.streamed = kind == Kind::Stream;
    route.resumable = kind == Kind::Stream;
    route.timeout = std::chrono::seconds(8);
    route.silenceTimeout = std::chrono::seconds(2);
    route.latencyTarget = std::chrono::milliseconds(500);
    route.gapTarget = std::chrono::milliseconds(120);
    route.maxAttempts = 3;
    RoutingDocument document;
    document.routes = {route};
    return std::make_shared<const RouteTable>(document);
}

} // namespace seamarch::testing
