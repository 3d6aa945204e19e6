// Route tables with a single route, for tests of which upstreams get the requests.
#pragma once

#include "decision/gateway/routetable.h"

#include <chrono>
#include <memory>

namespace seamarch::testing {

// The kinds of requests, which differ in how they may be retried.
enum class Kind { AtMostOnce, Repeatable, Stream };

// Returns a table whose only route, for host "x" and every path, serves requests of `kind`.
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
