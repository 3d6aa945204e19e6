#include "gateway/gatewayknowledge.h"

#include "base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace seamarch {
namespace {

using nlohmann::json;

// What a caller waits when it does not say how long, and its route does not either.
constexpr Duration kDefaultDeadline = std::chrono::seconds(30);

} // namespace

GatewayKnowledge::GatewayKnowledge(EventLoop &loop, UpstreamTable &upstreams, Metrics &metrics,
                                   const FreshnessBounds &freshness, Applied applied)
    : loop_(loop)
    , upstreams_(upstreams)
    , metrics_(metrics)
    , freshness_(freshness)
    , applied_(std::move(applied))
{}

// A document that could not be read may have taken a key away: until the next one, what is held is
// not confirmed by anything.
void GatewayKnowledge::confirm(TimePoint askedAt, const StorePosition &place)
{
    takePlace(std::max(place_, place));
    noteReachable();
    if (!routingUnreadable_) {
        confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, askedAt) : askedAt;
    }
}

void GatewayKnowledge::noteReachable()
{
    if (!storeReachable_) {
        storeReachable_ = true;
        logLine(LogLevel::Info, "store.reached",
                {{"revision", place_.revision}, {"era", place_.era}});
    }
}

// Living upstreams that an older copy lacks are listed again soon, as after an outage.
void GatewayKnowledge::notePlace(const StorePosition &place)
{
    if (!wasRolledBack(place_, place)) {
        return;
    }
    logLine(LogLevel::Warning, "store.went_back",
            {{"era", place.era},
             {"eraBefore", place_.era},
             {"revision", place.revision},
             {"revisionBefore", place_.revision}});
    upstreams_.onStoreWentBack(loop_.now());
}

void GatewayKnowledge::takePlace(const StorePosition &place)
{
    if (place.era != place_.era) {
        metrics_.set("seamarch_store_era", static_cast<double>(place.era));
    }
    place_ = place;
}

void GatewayKnowledge::adoptVersion(const SharedKnowledge &shared)
{
    if (shared.document) {
        takeRouting(*shared.document);
    }
}

bool GatewayKnowledge::adopt(const SharedKnowledge &shared, TimePoint confirmedAt)
{
    adoptVersion(shared);
    // A gateway of an earlier version does not tell the era.
    const StorePosition place{shared.place.era == 0 ? place_.era : shared.place.era,
                              shared.place.revision};
    const bool news = place >= place_ && (!confirmedAt_ || confirmedAt > *confirmedAt_);
    const bool whole = (shared.document || shared.version <= version())
                       && (shared.upstreams || shared.upstreamsMark == namedMark());
    if (!news || !whole) {
        return false;
    }
    notePlace(place);
    if (shared.upstreams) {
        upstreams_.mirror(*shared.upstreams);
        takeDrainedHalls(shared.drainedHalls);
        adoptedMark_ = shared.upstreamsMark;
        changesAtAdoption_ = upstreams_.changes();
        logLine(LogLevel::Info, "upstreams.adopted",
                {{"revision", place.revision},
                 {"upstreams", shared.upstreams->size()},
                 {"confirmedMsAgo", toMillis(loop_.now() - confirmedAt)}});
    }
    takePlace(place);
    confirmedAt_ = confirmedAt;
    return true;
}

std::uint64_t GatewayKnowledge::namedMark() const
{
    if (!confirmed()) {
        return 0;
    }
    const bool adopted = adoptedMark_ != 0 && upstreams_.changes() == changesAtAdoption_;
    return adopted ? adoptedMark_ : upstreamsMark();
}

std::uint64_t GatewayKnowledge::upstreamsMark() const
{
    if (mark_ != 0 && markedChanges_ == upstreams_.changes()) {
        return mark_;
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
    markedChanges_ = upstreams_.changes();
    mark_ = std::max<std::uint64_t>(1, XXH3_64bits(text.data(), text.size())); // Zero is no mark.
    return mark_;
}

const std::string &GatewayKnowledge::documentText() const
{
    static const std::string kNone;
    return table_ ? table_->source() : kNone;
}

bool GatewayKnowledge::formsGroups(const TargetName &service) const
{
    const ServiceRule *rule = table_ ? table_->service(service) : nullptr;
    return rule != nullptr && rule->experts.has_value();
}

Duration GatewayKnowledge::age() const
{
    return confirmedAt_ ? loop_.now() - *confirmedAt_ : Duration::max();
}

void GatewayKnowledge::onStoreListed(const StoreItems &items, TimePoint askedAt)
{
    std::vector<UpstreamRecord> records;
    std::set<HallId> drained;
    for (const StoreItem &item : items.items) {
        if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
            records.push_back(dated(*record));
        } else if (const auto *drain = std::get_if<HallDrain>(&item)) {
            drained.insert(drain->hall);
        } else {
            takeItem(item);
        }
    }
    notePlace(items.position);
    upstreams_.replaceAll(records, loop_.now());
    takeDrainedHalls(std::move(drained));
    logLine(LogLevel::Info, "store.listed",
            {{"revision", items.position.revision}, {"upstreams", records.size()}});
    routingUnreadable_ = routingUnreadable_ || items.routingUnreadable;
    noteFaults(items.faults);
    confirm(askedAt, items.position);
}

void GatewayKnowledge::onStoreChanged(const StoreItems &items, TimePoint askedAt)
{
    for (const StoreItem &item : items.items) {
        takeItem(item);
    }
    routingUnreadable_ = routingUnreadable_ || items.routingUnreadable;
    noteFaults(items.faults);
    confirm(askedAt, items.position);
}

void GatewayKnowledge::noteFaults(const std::vector<std::string> &faults)
{
    constexpr std::size_t kMostText = 200; // A fault may quote what it stumbled over.
    for (const std::string &fault : faults) {
        metrics_.count("seamarch_store_failures_total", "item unreadable");
        logLine(LogLevel::Warning, "store.item_unreadable",
                {{"fault", fault.substr(0, kMostText)}});
    }
}

// Returns the record with the time from which on its upstream is warm. What the entry tells was
// true when it was written, so counted from now it is never too short. An entry of older software
// does not tell: its upstream has then just started, if the start is a new one.
UpstreamRecord GatewayKnowledge::dated(UpstreamRecord record) const
{
    if (record.warmUpLeft) {
        const bool warm = *record.warmUpLeft <= Duration{};
        record.warmAt = warm ? TimePoint{} : loop_.now() + *record.warmUpLeft;
        return record;
    }
    const UpstreamRecord *known = upstreams_.find(record.id);
    if (known != nullptr && known->start == record.start) {
        record.warmAt = known->warmAt;
        return record;
    }
    const ServiceRule *rule = table_ ? table_->service(record.service) : nullptr;
    record.warmAt = rule != nullptr ? loop_.now() + rule->warmUp : TimePoint{};
    return record;
}

void GatewayKnowledge::takeItem(const StoreItem &item)
{
    if (const auto *document = std::get_if<RoutingDocument>(&item)) {
        takeRouting(*document);
    } else if (const auto *record = std::get_if<UpstreamRecord>(&item)) {
        upstreams_.put(dated(*record));
        logLine(
            LogLevel::Info, "upstream.listed",
            {{"upstream", record->id.value()},
             {"service", record->service.value()},
             {"leaving", record->leaving},
             {"warmUpLeftMs", record->warmUpLeft ? json(toMillis(*record->warmUpLeft)) : json()}});
    } else if (const auto *gone = std::get_if<UpstreamRemoval>(&item)) {
        if (gone->unreadable) {
            upstreams_.drop(gone->id, loop_.now());
        } else {
            upstreams_.remove(gone->id, loop_.now());
        }
        logLine(LogLevel::Info, "upstream.gone", {{"upstream", gone->id.value()}});
    } else if (const auto *drain = std::get_if<HallDrain>(&item)) {
        std::set<HallId> halls = upstreams_.drainedHalls();
        if (drain->cancelled) {
            halls.erase(drain->hall);
        } else {
            halls.insert(drain->hall);
        }
        takeDrainedHalls(std::move(halls));
    }
}

void GatewayKnowledge::takeDrainedHalls(std::set<HallId> halls)
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
             {"revision", place_.revision},
             {"knowledgeAgeMs", confirmed() ? toMillis(age()) : -1}});
    metrics_.set("seamarch_drained_halls", static_cast<double>(names.size()));
}

void GatewayKnowledge::takeRouting(const RoutingDocument &document)
{
    const ConfigVersion held = table_ ? table_->version() : ConfigVersion();
    if (document.version <= held) {
        return;
    }
    table_ = std::make_shared<const RouteTable>(document);
    routingUnreadable_ = false;
    applied_(*table_);
    logLine(LogLevel::Info, "config.applied",
            {{"version", document.version.value()},
             {"before", held.value()},
             {"routes", document.routes.size()},
             {"accounts", document.accounts.size()}});
}

void GatewayKnowledge::onStoreFailed(std::string_view cause)
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
GatewayKnowledge::admit(const HttpRequest &request, const RequestMetadata &facts) const
{
    if (!table_) {
        return tl::unexpected(FailureCode::EntryNotReady);
    }
    const Duration known = age();
    const bool mayDeny = known <= freshness_.deny;
    GatewayRequest admitted;
    admitted.table = table_;
    admitted.route = table_->match(facts.host, request.path);
    if (admitted.route == nullptr) {
        return tl::unexpected(mayDeny ? FailureCode::NotFound : FailureCode::KnowledgeStale);
    }
    admitted.priority = admitted.route->priority;
    admitted.residency.restrictTo(admitted.route->regions);
    const Duration longest =
        admitted.route->timeout > Duration{} ? admitted.route->timeout : kDefaultDeadline;
    admitted.deadline = facts.deadline.value_or(longest);
    if (admitted.route->openToAll || !table_->hasAccounts()) {
        return admitted;
    }
    const AccountRule *account = table_->accountOf(facts.key);
    if (account == nullptr) {
        return tl::unexpected(mayDeny ? FailureCode::Unauthorized : FailureCode::KnowledgeStale);
    }
    if (known > freshness_.keys) {
        return tl::unexpected(FailureCode::KnowledgeStale);
    }
    admitted.account = account->id;
    admitted.residency.restrictTo(account->regions);
    admitted.priority = account->priority.value_or(admitted.priority);
    return admitted;
}

} // namespace seamarch
