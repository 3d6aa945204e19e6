// What a gateway knows from the platform's store, how old that is, and what it may therefore say of
// a request's key and path.
//
// Knowledge is as old as the call that last confirmed it, measured on the own steady clock from
// when the call was made. It comes from the store, or from another gateway that has asked the store
// more recently: then its age travels with it. Within the life of a process a configuration never
// goes back, also when the store itself comes back from an older copy: a version that was heard of
// is in force until a higher one is heard, at the store or at any gateway, whatever else that one
// knows.
//
// Single-threaded. The loop, the table of upstreams and the metrics outlive the object.
#pragma once

#include "decision/gateway/gatewaycore.h"
#include "decision/gateway/routetable.h"
#include "decision/gateway/upstreamtable.h"
#include "gateway/callerprotocol.h"
#include "gateway/gatewaybounds.h"
#include "gateway/storewatcher.h"
#include "net/eventloop.h"
#include "net/httpserver.h"
#include "observe/metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace seamarch {

// What one gateway tells another of the store.
struct SharedKnowledge
{
    StorePosition place; // Of the store.
    ConfigVersion version;
    std::optional<RoutingDocument> document;              // When the asker's version is lower.
    std::uint64_t upstreamsMark = 0;                      // Names the state of the teller's list.
    std::optional<std::vector<UpstreamRecord>> upstreams; // When the asker names another state.
    std::set<HallId> drainedHalls;                        // Told with the list.
};

class GatewayKnowledge final : public StoreListener
{
public:
    // Hears of each configuration that comes into force.
    using Applied = std::function<void(const RouteTable &)>;

    GatewayKnowledge(EventLoop &loop, UpstreamTable &upstreams, Metrics &metrics,
                     const FreshnessBounds &freshness, Applied applied);

    void setFreshness(const FreshnessBounds &freshness) { freshness_ = freshness; }

    void onStoreListed(const StoreItems &items, TimePoint askedAt) override;
    void onStoreChanged(const StoreItems &items, TimePoint askedAt) override;
    void onStoreFailed(std::string_view cause) override;

    // Takes what another gateway knows, which the store confirmed at `confirmedAt`. Returns false,
    // and takes nothing, when that is no news or leaves out what is not known here.
    bool adopt(const SharedKnowledge &shared, TimePoint confirmedAt);
    // Takes no more than the configuration of another gateway, if its version is higher.
    void adoptVersion(const SharedKnowledge &shared);
    // Returns by which mark the own list is named to other gateways: the one under which it was
    // adopted, while it holds still, else its own; zero: there is none. The two may differ, because
    // this gateway may know of an upstream that leaves and the teller did not.
    std::uint64_t namedMark() const;
    // Returns the mark of the own list, a digest: gateways that hold the same list name it alike,
    // so one that asks another than before is not handed it again.
    std::uint64_t upstreamsMark() const;
    const StorePosition &place() const { return place_; }
    // Returns the document in force as the store holds it; empty while there is none.
    const std::string &documentText() const;
    const UpstreamTable &upstreams() const { return upstreams_; }

    // Finds the route and the account of a request, or says why it is refused.
    tl::expected<GatewayRequest, FailureCode> admit(const HttpRequest &request,
                                                    const RequestMetadata &facts) const;

    bool hasConfiguration() const { return table_ != nullptr; }
    // Tells whether keys can be judged.
    bool fresh() const { return age() <= freshness_.keys; }
    const FreshnessBounds &freshness() const { return freshness_; }
    // Returns the version in force; zero while there is none.
    ConfigVersion version() const { return table_ ? table_->version() : ConfigVersion(); }
    // Tells whether the upstreams of `service` are engines that make their passes in groups.
    bool formsGroups(const TargetName &service) const;
    // Returns how long ago the store confirmed what is known; the longest duration when it never
    // did.
    Duration age() const;
    bool confirmed() const { return confirmedAt_.has_value(); }
    bool storeReachable() const { return storeReachable_; }

private:
    void noteFaults(const std::vector<std::string> &faults);
    void takeItem(const StoreItem &item);
    UpstreamRecord dated(UpstreamRecord record) const;
    void takeDrainedHalls(std::set<HallId> halls);
    void takeRouting(const RoutingDocument &document);
    void confirm(TimePoint askedAt, const StorePosition &place);
    void takePlace(const StorePosition &place);
    void notePlace(const StorePosition &place);
    void noteReachable();

    EventLoop &loop_;
    UpstreamTable &upstreams_;
    Metrics &metrics_;
    FreshnessBounds freshness_;
    Applied applied_;
    std::shared_ptr<const RouteTable> table_;
    std::optional<TimePoint> confirmedAt_;
    StorePosition place_;            // Of the store, that the list of upstreams stands at.
    mutable std::uint64_t mark_ = 0; // Of the list after `markedChanges_` changes.
    mutable std::uint64_t markedChanges_ = 0;
    std::uint64_t adoptedMark_ = 0;
    std::uint64_t changesAtAdoption_ = 0; // Of the list of upstreams.
    bool storeReachable_ = false;
    bool routingUnreadable_ = false; // The store holds a newer document that makes no sense.
};

} // namespace seamarch
