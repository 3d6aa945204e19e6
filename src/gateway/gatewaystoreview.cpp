#include "gateway/gatewaystoreview.h"

#include "base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace seamarch {
namespace {

using nlohmann::json;

// The deadline of a request when neither the caller nor the route sets one.
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);

} // namespace

GatewayStoreView::GatewayStoreView(EventLoop &loop, UpstreamTable &upstreams, Metrics &metrics,
                                   const FreshnessBounds &freshness, ConfigApplied onConfigApplied)
    : loop_(loop)
    , upstreams_(upstreams)
    , metrics_(metrics)
    , freshness_(freshness)
    , onConfigApplied_(std::move(onConfigApplied))
{}

// Records the time only while the store's document is readable: an unreadable one may have removed
// a key, so the configuration in force counts as unconfirmed until the next readable document.
void GatewayStoreView::recordConfirmation(TimePoint sentAt, const StorePosition &position)
{
    setPosition(std::max(position_, position));
    markStoreReachable();
    if (!routingUnreadable_) {
        confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, sentAt) : sentAt;
    }
}

void GatewayStoreView::markStoreReachable()
{
    if (!storeReachable_) {
        storeReachable_ = true;
        logLine(LogLevel::Info, "store.reached",
                {{"revision", position_.revision}, {"era", position_.era}});
    }
}

// Handles a store that was restored from an older copy. Live upstreams that the copy lacks register
// again soon, as after an outage; until then the table treats them as lapsed, not as removed.
void GatewayStoreView::handleRollback(const StorePosition &position)
{
    if (!wasRolledBack(position_, position)) {
        return;
    }
    logLine(LogLevel::Warning, "store.went_back",
            {{"era", position.era},
             {"eraBefore", position_.era},
             {"revision", position.revision},
             {"revisionBefore", position_.revision}});
    upstreams_.onStoreRolledBack(loop_.now());
}

void GatewayStoreView::setPosition(const StorePosition &position)
{
    if (position.era != position_.era) {
        metrics_.set("seamarch_store_era", static_cast<double>(position.era));
    }
    position_ = position;
}

void GatewayStoreView::adoptConfiguration(const PeerStoreState &peerState)
{
    if (peerState.document) {
        applyRouting(*peerState.document);
    }
}

bool GatewayStoreView::adopt(const PeerStoreState &peerState, TimePoint confirmedAt)
{
    adoptConfiguration(peerState);
    // Gateways of earlier software versions do not send the era.
    const StorePosition position{peerState.position.era == 0 ? position_.era
                                                             : peerState.position.era,
                                 peerState.position.revision};
    const bool isNewer = position >= position_ && (!confirmedAt_ || confirmedAt > *confirmedAt_);
    const bool isComplete =
        (peerState.document || peerState.version <= version())
        && (peerState.upstreams || peerState.upstreamsDigest == advertisedDigest());
    if (!isNewer || !isComplete) {
        return false;
    }
    handleRollback(position);
    if (peerState.upstreams) {
        upstreams_.mirror(*peerState.upstreams);
        applyDrainedHalls(peerState.drainedHalls);
        adoptedDigest_ = peerState.upstreamsDigest;
        changesAtAdoption_ = upstreams_.changes();
        logLine(LogLevel::Info, "upstreams.adopted",
                {{"revision", position.revision},
                 {"upstreams", peerState.upstreams->size()},
                 {"confirmedMsAgo", toMillis(loop_.now() - confirmedAt)}});
    }
    setPosition(position);
    confirmedAt_ = confirmedAt;
    return true;
}

std::uint64_t GatewayStoreView::advertisedDigest() const
{
    if (!confirmed()) {
        return 0;
    }
    const bool adopted = adoptedDigest_ != 0 && upstreams_.changes() == changesAtAdoption_;
    return adopted ? adoptedDigest_ : upstreamsDigest();
}

std::uint64_t GatewayStoreView::upstreamsDigest() const
{
    if (digest_ != 0 && digestedChanges_ == upstreams_.changes()) {
        return digest_;
    }
    std::string text;
    for (const UpstreamRecord *record : upstreams_.all()) {
        text += fmt::format(
            "{}|{}|{}|{}|{}|{}|{}|{}|{}\n", record->id.value(), record->service.value(),
            record->host, record->port, record->hall.value(), record->slots, record->leaving,
            record->start.value(), record->warmUpLeft ? record->warmUpLeft->count() : -1);
    }
    for (const HallId &hall : upstreams_.drainedHalls()) {
        text += fmt::format("drained|{}\n", hall.value());
    }
    digestedChanges_ = upstreams_.changes();
    // Zero stands for "no list".
    digest_ = std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size()));
    return digest_;
}

const std::string &GatewayStoreView::documentText() const
{
    static const std::string kNone;
    return table_ ? table_->source() : kNone;
}

bool GatewayStoreView::formsGroups(const TargetName &service) const
{
    const ServiceRule *rule = table_ ? table_->service(service) : nullptr;
    return rule != nullptr && rule->experts.has_value();
}

Duration GatewayStoreView::age() const
{
    return confirmedAt_ ? loop_.now() - *confirmedAt_ : Duration::max();
}

void GatewayStoreView::onStoreListed(const StoreItems &items, TimePoint sentAt)
{
    std::vector<UpstreamRecord> records;
    std::set<HallId> drained;
    for (const StoreItem &item : items.items) {
        if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
            records.push_back(withWarmUpEnd(*record));
        } else if (const auto *drain = std::get_if<HallDrain>(&item)) {
            drained.insert(drain->hall);
        } else {
            applyItem(item);
        }
    }
    handleRollback(items.position);
    upstreams_.replaceAll(records, loop_.now());
    applyDrainedHalls(std::move(drained));
    logLine(LogLevel::Info, "store.listed",
            {{"revision", items.position.revision}, {"upstreams", records.size()}});
    routingUnreadable_ = routingUnreadable_ || items.routingUnreadable;
    reportFaults(items.faults);
    recordConfirmation(sentAt, items.position);
}

void GatewayStoreView::onStoreChanged(const StoreItems &items, TimePoint sentAt)
{
    for (const StoreItem &item : items.items) {
        applyItem(item);
    }
    routingUnreadable_ = routingUnreadable_ || items.routingUnreadable;
    reportFaults(items.faults);
    recordConfirmation(sentAt, items.position);
}

void GatewayStoreView::reportFaults(const std::vector<std::string> &faults)
{
    constexpr std::size_t kMaxFaultText = 200; // A fault may quote the unreadable item.
    for (const std::string &fault : faults) {
        metrics_.count("seamarch_store_failures_total", "item unreadable");
        logLine(LogLevel::Warning, "store.item_unreadable",
                {{"fault", fault.substr(0, kMaxFaultText)}});
    }
}

// Returns the record with the time at which its upstream's warm-up ends. The remaining warm-up in
// the entry was correct when the entry was written, so counting it from now never ends it too
// early. Upstreams with older software do not report it: their warm-up then begins now if their
// start is a new one.
UpstreamRecord GatewayStoreView::withWarmUpEnd(UpstreamRecord record) const
{
    if (record.warmUpLeft) {
        const bool warm = *record.warmUpLeft <= Duration{};
        record.warmAt = warm ? TimePoint{} : loop_.now() + *record.warmUpLeft;
        return record;
    }
    const UpstreamRecord *previous = upstreams_.find(record.id);
    if (previous != nullptr && previous->start == record.start) {
        record.warmAt = previous->warmAt;
        return record;
    }
    const ServiceRule *rule = table_ ? table_->service(record.service) : nullptr;
    record.warmAt = rule != nullptr ? loop_.now() + rule->warmUp : TimePoint{};
    return record;
}

void GatewayStoreView::applyItem(const StoreItem &item)
{
    if (const auto *document = std::get_if<RoutingDocument>(&item)) {
        routingUnreadable_ = false; // The store holds one document only.
        applyRouting(*document);
    } else if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
        upstreams_.put(withWarmUpEnd(*record));
        logLine(
            LogLevel::Info, "upstream.listed",
            {{"upstream", record->id.value()},
             {"service", record->service.value()},
             {"leaving", record->leaving},
             {"warmUpLeftMs", record->warmUpLeft ? json(toMillis(*record->warmUpLeft)) : json()}});
    } else if (const auto *removal = std::get_if<UpstreamRemoval>(&item)) {
        if (removal->unreadable) {
            upstreams_.dropUnreadable(removal->id, loop_.now());
        } else {
            upstreams_.remove(removal->id, loop_.now());
        }
        logLine(LogLevel::Info, "upstream.gone", {{"upstream", removal->id.value()}});
    } else if (const auto *drain = std::get_if<HallDrain>(&item)) {
        std::set<HallId> halls = upstreams_.drainedHalls();
        if (drain->cancelled) {
            halls.erase(drain->hall);
        } else {
            halls.insert(drain->hall);
        }
        applyDrainedHalls(std::move(halls));
    }
}

void GatewayStoreView::applyDrainedHalls(std::set<HallId> halls)
{
    if (!upstreams_.setDrainedHalls(std::move(halls))) {
        return;
    }
    json names = json::array();
    for (const HallId &hall : upstreams_.drainedHalls()) {
        names.push_back(hall.value());
    }
    logLine(LogLevel::Info, "halls.drained",
            {{"halls", names},
             {"revision", position_.revision},
             {"knowledgeAgeMs", confirmed() ? toMillis(age()) : -1}});
    metrics_.set("seamarch_drained_halls", static_cast<double>(names.size()));
}

void GatewayStoreView::applyRouting(const RoutingDocument &document)
{
    const ConfigVersion currentVersion = table_ ? table_->version() : ConfigVersion();
    if (document.version <= currentVersion) {
        return;
    }
    table_ = std::make_shared<const RouteTable>(document);
    routingUnreadable_ = false;
    onConfigApplied_(*table_);
    logLine(LogLevel::Info, "config.applied",
            {{"version", document.version.value()},
             {"before", currentVersion.value()},
             {"routes", document.routes.size()},
             {"accounts", document.accounts.size()}});
}

void GatewayStoreView::onStoreFailed(std::string_view cause)
{
    upstreams_.onOutage(loop_.now());
    metrics_.count("seamarch_store_failures_total", cause);
    if (storeReachable_) {
        storeReachable_ = false;
        logLine(LogLevel::Warning, "store.lost",
                {{"cause", cause}, {"knowledgeAgeMs", toMillis(age())}});
    }
}

tl::expected<GatewayRequest, FailureCode>
GatewayStoreView::admit(const HttpRequest &request, const RequestMetadata &metadata) const
{
    if (!table_) {
        return tl::unexpected(FailureCode::EntryNotReady);
    }
    const Duration confirmationAge = age();
    const bool mayDeny = confirmationAge <= freshness_.deny;
    GatewayRequest admitted;
    admitted.table = table_;
    admitted.route = table_->match(metadata.host, request.path);
    if (admitted.route == nullptr) {
        return tl::unexpected(mayDeny ? FailureCode::NotFound : FailureCode::KnowledgeStale);
    }
    admitted.urgency = Urgency::of(admitted.route->priority, std::nullopt);
    admitted.size = metadata.size;
    admitted.residency.restrictTo(admitted.route->regions);
    const Duration defaultDeadline =
        admitted.route->timeout > Duration{} ? admitted.route->timeout : kDefaultDeadline;
    admitted.deadline = metadata.deadline.value_or(defaultDeadline);
    if (admitted.route->allowsAnonymous || !table_->hasAccounts()) {
        return admitted;
    }
    const AccountRule *account = table_->accountOf(metadata.key);
    if (account == nullptr) {
        return tl::unexpected(mayDeny ? FailureCode::Unauthorized : FailureCode::KnowledgeStale);
    }
    if (confirmationAge > freshness_.keys) {
        return tl::unexpected(FailureCode::KnowledgeStale);
    }
    admitted.account = account->id;
    admitted.residency.restrictTo(account->regions);
    admitted.urgency = Urgency::of(admitted.route->priority, account->priority);
    return admitted;
}

} // namespace seamarch
