#include "experts/grouplisting.h"

#include "base/digest.h"

#include <utility>
#include <vector>

namespace seamarch {
namespace {

// How long a store watch waits for changes. Long, because only the list of engines is needed and
// every store call has a cost.
constexpr Duration kStoreLongPollWait = std::chrono::seconds(10);
// Delay of the store watch after a change, in which further changes are coalesced. A new engine
// takes longer than this to form its group.
constexpr Duration kStoreCoalesceDelay = std::chrono::milliseconds(200);

} // namespace

GroupListing::GroupListing(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
                           TargetName service, Metrics &metrics, std::function<void()> onChanged)
    : loop_(loop)
    , client_(client)
    , store_(store)
    , service_(std::move(service))
    , metrics_(metrics)
    , onChanged_(std::move(onChanged))
{}

void GroupListing::start()
{
    StoreWatcher::Settings watch;
    watch.longPollWait = kStoreLongPollWait;
    watch.coalesceDelay = kStoreCoalesceDelay;
    watch.seed = randomNonzeroId();
    StoreListener &listener = *this;
    watcher_ = std::make_unique<StoreWatcher>(loop_, client_, store_, listener, watch);
    watcher_->start();
}

void GroupListing::onStoreListed(const StoreItems &items, TimePoint /*sentAt*/)
{
    std::vector<UpstreamRecord> records;
    for (const StoreItem &item : items.items) {
        if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
            records.push_back(*record);
        } else {
            applyItem(item);
        }
    }
    if (wasRolledBack(position_, items.position)) {
        upstreams_.onStoreRolledBack(loop_.now());
    }
    position_ = items.position;
    upstreams_.replaceAll(records, loop_.now());
    onChanged_();
}

void GroupListing::onStoreChanged(const StoreItems &items, TimePoint /*sentAt*/)
{
    for (const StoreItem &item : items.items) {
        applyItem(item);
    }
    onChanged_();
}

void GroupListing::onStoreFailed(std::string_view cause)
{
    upstreams_.onOutage(loop_.now());
    metrics_.count("seamarch_store_failures_total", cause);
}

void GroupListing::applyItem(const StoreItem &item)
{
    if (const auto *document = std::get_if<RoutingDocument>(&item)) {
        gapTarget_ = shortestGapTarget(*document, service_);
        for (const ServiceRule &service : document->services) {
            if (service.name == service_ && service.experts) {
                rule_ = service.experts;
            }
        }
    } else if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
        upstreams_.put(*record);
    } else if (const auto *removal = std::get_if<UpstreamRemoval>(&item)) {
        if (removal->unreadable) {
            upstreams_.dropUnreadable(removal->id, loop_.now());
        } else {
            upstreams_.remove(removal->id, loop_.now());
        }
    }
}

std::map<InstanceId, SocketAddress> GroupListing::enginesExcept(const SocketAddress &own) const
{
    std::map<InstanceId, SocketAddress> listed;
    for (const UpstreamRecord *record : upstreams_.all()) {
        const SocketAddress engine{record->host, record->port};
        if (record->service == service_ && engine != own) {
            listed.emplace(record->id, engine);
        }
    }
    return listed;
}

} // namespace seamarch
