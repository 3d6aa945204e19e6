#include "knowledge/knowledge.h"

#include "base/log.h"

#include <utility>

namespace seamarch {

using nlohmann::json;

UpdateResult Knowledge::note(UpdateResult result, const char *what)
{
    if (result == UpdateResult::Conflict) {
        ++conflicts_;
        logLine(LogLevel::Error, "knowledge.conflict",
                {{"document", what},
                 {"message", "two documents carry one version; publish a higher one"}});
    }
    return result;
}

template <typename Take>
UpdateResult Knowledge::takeConfig(VersionedDocument next, Take take)
{
    const UpdateResult result = note(take(next), "config");
    if (result != UpdateResult::Applied) {
        return result;
    }
    auto document = readConfig(next.document());
    if (!document) {
        logLine(LogLevel::Error, "config.refused",
                {{"version", next.version()}, {"faults", describe(document.error())}});
        return UpdateResult::Corrupt;
    }
    config_ = std::move(next);
    configDocument_ = std::move(*document);
    announceConfig();
    return result;
}

void Knowledge::announceConfig()
{
    if (!config_.inForce() || announced_ == config_.version()) {
        return;
    }
    announced_ = config_.version();
    logLine(LogLevel::Info, "config.in-force", {{"version", announced_}});
    for (KnowledgeListener *listener : listeners_) {
        listener->onConfig(configDocument_);
    }
}

template <typename Take>
UpdateResult Knowledge::takeList(VersionedDocument next, Take take)
{
    const UpdateResult result = note(take(next), "instances");
    if (result != UpdateResult::Applied) {
        return result;
    }
    auto list = readInstances(next.document());
    if (!list) {
        logLine(LogLevel::Error, "instances.refused",
                {{"version", next.version()}, {"faults", describe(list.error())}});
        return UpdateResult::Corrupt;
    }
    list_ = std::move(next);
    listConfirmedAt_.reset();
    instanceList_ = std::move(*list);
    for (KnowledgeListener *listener : listeners_) {
        listener->onInstances(instanceList_);
    }
    return result;
}

UpdateResult Knowledge::acceptConfig(const std::string &text)
{
    auto value = parseJson(text);
    if (!value) {
        logLine(LogLevel::Error, "config.refused", {{"faults", describe(value.error())}});
        return UpdateResult::Corrupt;
    }
    return takeConfig(config_,
                      [&](VersionedDocument &next) { return next.accept(std::move(*value)); });
}

UpdateResult Knowledge::acceptList(const std::string &text)
{
    auto value = parseJson(text);
    if (!value) {
        logLine(LogLevel::Error, "instances.refused", {{"faults", describe(value.error())}});
        return UpdateResult::Corrupt;
    }
    return takeList(list_, [&](VersionedDocument &next) { return next.accept(std::move(*value)); });
}

void Knowledge::apply(const KnowledgeUpdates &updates)
{
    if (updates.config && updates.config->to > config_.version()) {
        takeConfig(config_, [&](VersionedDocument &next) { return next.apply(*updates.config); });
    }
    if (updates.list && updates.list->to > list_.version()) {
        takeList(list_, [&](VersionedDocument &next) { return next.apply(*updates.list); });
    }
}

void Knowledge::hear(const KnownVersions &peer)
{
    config_.raiseFloor(std::max(peer.config, peer.configFloor));
    if (peer.config == config_.version() && peer.config != 0
        && peer.configDigest != config_.digest()) {
        note(UpdateResult::Conflict, "config");
    }
}

void Knowledge::confirmList(TimePoint askedAt)
{
    listConfirmedAt_ = std::max(listConfirmedAt_.value_or(askedAt), askedAt);
}

Duration Knowledge::listAge(TimePoint now) const
{
    return listConfirmedAt_ ? now - *listConfirmedAt_ : Duration(-1);
}

KnownVersions Knowledge::versions() const
{
    return {config_.version(), config_.digest(), config_.floor(), list_.version(), list_.digest()};
}

KnowledgeUpdates Knowledge::updatesFor(const KnownVersions &peer) const
{
    return {config_.updateFor(peer.config), list_.updateFor(peer.list)};
}

bool Knowledge::lags(const KnownVersions &peer) const
{
    return peer.config > config_.version() || peer.list > list_.version();
}

} // namespace seamarch
