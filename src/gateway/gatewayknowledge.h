// What a gateway knows from the platform's store, how old that is, and what it may therefore say of
// a request's key and path.
//
// Knowledge is as old as the call that last confirmed it, measured on the own steady clock from
// when the call was made. Within the life of a process a configuration never goes back.
//
// Single-threaded. The loop, the table of upstreams and the metrics outlive the object.
#pragma once

#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/routetable.h"
#include "decision/gateway/upstreamtable.h"
#include "gateway/callerprotocol.h"
#include "gateway/storewatcher.h"
#include "net/eventloop.h"
#include "net/httpserver.h"
#include "observe/metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <tl/expected.hpp>

namespace seamarch {

// How young a confirmation must be.
struct FreshnessBounds
{
    Duration keys{}; // For a key to be good.
    Duration deny{}; // For a key or a path to be said to be unknown.
};

class GatewayKnowledge final : public StoreListener
{
public:
    // `boundsChanged` hears of the bounds on callers of each configuration that comes into force.
    GatewayKnowledge(EventLoop &loop, UpstreamTable &upstreams, Metrics &metrics,
                     const FreshnessBounds &freshness,
                     std::function<void(const CallerBounds &)> boundsChanged);

    void setFreshness(const FreshnessBounds &freshness) { freshness_ = freshness; }

    void onStoreListed(const StoreItems &items, TimePoint askedAt) override;
    void onStoreChanged(const StoreItems &items, TimePoint askedAt) override;
    void onStoreFailed(std::string_view cause) override;

    // Finds the route and the account of a request, or says why it is refused.
    tl::expected<GatewayRequest, FailureCode> admit(const HttpRequest &request,
                                                    const CallerFacts &facts) const;

    bool hasConfiguration() const { return table_ != nullptr; }
    // Tells whether keys can be judged.
    bool fresh() const { return age() <= freshness_.keys; }
    // Returns the version in force; zero while there is none.
    ConfigVersion version() const { return table_ ? table_->version() : ConfigVersion(); }
    // Returns how long ago the store confirmed what is known; the longest duration when it never
    // did.
    Duration age() const;
    bool confirmed() const { return confirmedAt_.has_value(); }
    bool storeReachable() const { return storeReachable_; }

private:
    void takeItem(const StoreItem &item);
    void takeRouting(const RoutingDocument &document);
    void confirm(TimePoint askedAt, std::uint64_t revision);

    EventLoop &loop_;
    UpstreamTable &upstreams_;
    Metrics &metrics_;
    FreshnessBounds freshness_;
    std::function<void(const CallerBounds &)> boundsChanged_;
    std::shared_ptr<const RouteTable> table_;
    std::optional<TimePoint> confirmedAt_;
    bool storeReachable_ = false;
    bool routingUnreadable_ = false; // The store holds a newer document that makes no sense.
};

} // namespace seamarch
