// What the platform's store lists about one service of engines: the engines, the rule for their
// experts, and the gap target of the routes. Watches the store while it is started; what it has
// learned is kept when it stops.
//
// Single-threaded. The constructor's references must outlive the object.
#pragma once

#include "decision/gateway/upstreamtable.h"
#include "gateway/storewatcher.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "observe/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace seamarch {

class GroupListing final : private StoreListener
{
public:
    // `onChanged` is called after each answer of the store.
    GroupListing(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
                 TargetName service, Metrics &metrics, std::function<void()> onChanged);

    void start();
    void stop() { watcher_.reset(); }
    // Removes engines that the store has not confirmed for too long. Returns whether there are any.
    bool expire() { return !upstreams_.expire(loop_.now()).empty(); }

    // Returns the engines of the service except `own`. Engines that are leaving are included,
    // because they still take part in their group's passes.
    std::map<InstanceId, SocketAddress> enginesExcept(const SocketAddress &own) const;
    // Returns the rule for the experts; empty if the store lists none.
    const std::optional<ExpertRule> &rule() const { return rule_; }
    // Returns the shortest gap target of the service's routes; zero: unknown.
    Duration gapTarget() const { return gapTarget_; }

private:
    void onStoreListed(const StoreItems &items, TimePoint sentAt) override;
    void onStoreChanged(const StoreItems &items, TimePoint sentAt) override;
    void onStoreFailed(std::string_view cause) override;
    void applyItem(const StoreItem &item);

    EventLoop &loop_;
    HttpClient &client_;
    const StoreProtocol &store_;
    TargetName service_;
    Metrics &metrics_;
    std::function<void()> onChanged_;
    UpstreamTable upstreams_;
    StorePosition position_; // Position of the last full listing.
    std::optional<ExpertRule> rule_;
    Duration gapTarget_{};
    std::unique_ptr<StoreWatcher> watcher_; // Null while stopped.
};

} // namespace seamarch
