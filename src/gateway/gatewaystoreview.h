// A gateway's copy of the platform's store: the routing configuration, the list of upstreams and
// the drained halls, with the time of the store's last confirmation.
//
// The age of the copy counts from when the call was made that last confirmed it, on this process's
// steady clock. Data comes from the store, or from another gateway that has queried the store more
// recently; that gateway sends the age along. The configuration version never decreases within the
// life of a process, even when the store is restored from an older copy: a version stays in force
// until the store or any gateway reports a higher one, however old that gateway's other data is.
//
// Single-threaded. The loop, the table of upstreams and the metrics must outlive the object.
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

// The state of the store as one gateway sends it to another. Parts that the receiver has already
// are omitted.
struct PeerStoreState
{
    StorePosition position; // The store's era and revision at which the state was read.
    ConfigVersion version;
    std::optional<RoutingDocument> document;              // Set if the receiver's version is lower.
    std::uint64_t upstreamsDigest = 0;                    // Digest of the sender's upstream list.
    std::optional<std::vector<UpstreamRecord>> upstreams; // Set if the receiver's digest differs.
    std::set<HallId> drainedHalls;                        // Valid if `upstreams` is set.
};

// Holds the copy, updates it from the store and from other gateways, and admits requests against
// it.
class GatewayStoreView final : public StoreListener
{
public:
    // Called for each configuration that comes into force.
    using ConfigApplied = std::function<void(const RouteTable &)>;

    GatewayStoreView(EventLoop &loop, UpstreamTable &upstreams, Metrics &metrics,
                     const FreshnessBounds &freshness, ConfigApplied onConfigApplied);

    void setFreshness(const FreshnessBounds &freshness) { freshness_ = freshness; }

    void onStoreListed(const StoreItems &items, TimePoint sentAt) override;
    void onStoreChanged(const StoreItems &items, TimePoint sentAt) override;
    void onStoreFailed(std::string_view cause) override;

    // Adopts the state of another gateway, which the store confirmed at `confirmedAt`. Returns
    // false if the state is not newer than this copy, or omits a part that this copy lacks; then
    // only a higher configuration version is applied.
    bool adopt(const PeerStoreState &peerState, TimePoint confirmedAt);
    // Applies only the configuration of another gateway's state, if its version is higher.
    void adoptConfiguration(const PeerStoreState &peerState);
    // Returns the digest that stands for the own upstream list in requests to other gateways: the
    // sender's digest if the list was adopted and is unchanged since, else `upstreamsDigest`. The
    // two may differ, because this gateway may know of a leaving upstream that the sender did not
    // know of. Returns zero before the first confirmation.
    std::uint64_t advertisedDigest() const;
    // Returns the digest of the contents of the own list, which is never zero. Equal lists have
    // equal digests at all gateways, so a gateway that polls a different peer than before does
    // not receive the same list again.
    std::uint64_t upstreamsDigest() const;
    // Returns the store's era and revision that the list of upstreams is at.
    const StorePosition &position() const { return position_; }
    // Returns the text of the document in force as the store holds it; empty while there is none.
    const std::string &documentText() const;
    const UpstreamTable &upstreams() const { return upstreams_; }

    // Returns the request with its route, account and deadline, or the reason why it is refused.
    // A copy that is too old to accept a key, or to reject a key or path as unknown, refuses with
    // `KnowledgeStale`.
    tl::expected<GatewayRequest, FailureCode> admit(const HttpRequest &request,
                                                    const RequestMetadata &metadata) const;

    bool hasConfiguration() const { return table_ != nullptr; }
    // Returns whether the copy is recent enough to accept keys.
    bool fresh() const { return age() <= freshness_.keys; }
    const FreshnessBounds &freshness() const { return freshness_; }
    // Returns the version in force; zero while there is none.
    ConfigVersion version() const { return table_ ? table_->version() : ConfigVersion(); }
    // Returns whether the upstreams of `service` are engines that run their passes in groups.
    bool formsGroups(const TargetName &service) const;
    // Returns the time since the store last confirmed the copy; the longest duration if it never
    // did.
    Duration age() const;
    bool confirmed() const { return confirmedAt_.has_value(); }
    bool storeReachable() const { return storeReachable_; }

private:
    void reportFaults(const std::vector<std::string> &faults);
    void applyItem(const StoreItem &item);
    UpstreamRecord withWarmUpEnd(UpstreamRecord record) const;
    void applyDrainedHalls(std::set<HallId> halls);
    void applyRouting(const RoutingDocument &document);
    void recordConfirmation(TimePoint sentAt, const StorePosition &position);
    void setPosition(const StorePosition &position);
    void handleRollback(const StorePosition &position);
    void markStoreReachable();

    EventLoop &loop_;
    UpstreamTable &upstreams_;
    Metrics &metrics_;
    FreshnessBounds freshness_;
    ConfigApplied onConfigApplied_;
    std::shared_ptr<const RouteTable> table_;
    std::optional<TimePoint> confirmedAt_;
    StorePosition position_;           // The era and revision of the list of upstreams.
    mutable std::uint64_t digest_ = 0; // Cached digest of the list as of `digestedChanges_`.
    mutable std::uint64_t digestedChanges_ = 0;
    std::uint64_t adoptedDigest_ = 0;
    std::uint64_t changesAtAdoption_ = 0; // Change count of the list when it was adopted.
    bool storeReachable_ = false;
    bool routingUnreadable_ = false; // The store holds a newer document that could not be read.
};

} // namespace seamarch
