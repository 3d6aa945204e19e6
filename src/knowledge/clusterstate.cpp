#include "knowledge/clusterstate.h"

#include "base/log.h"

#include <utility>

namespace seamarch {

using nlohmann::json;

UpdateResult ClusterState::countConflict(UpdateResult result, const char *documentName)
{
    if (result == UpdateResult::Conflict) {
        ++conflicts_;
        logLine(
            LogLevel::Error, "knowledge.conflict",
            {{"document", documentName},
             {"message", "two different documents have the same version; publish a higher one"}});
    }
    return result;
}

template <typename UpdateFunction>
UpdateResult ClusterState::updateConfig(VersionedDocument next, UpdateFunction update)
{
    const UpdateResult result = countConflict(update(next), "config");
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
    notifyConfigListeners();
    return result;
}

void ClusterState::notifyConfigListeners()
{
    if (!config_.inForce() || notifiedConfigVersion_ == config_.version()) {
        return;
    }
    notifiedConfigVersion_ = config_.version();
    logLine(LogLevel::Info, "config.in-force", {{"version", notifiedConfigVersion_}});
    for (ClusterStateListener *listener : listeners_) {
        listener->onConfig(configDocument_);
    }
}

template <typename UpdateFunction>
UpdateResult ClusterState::updateList(VersionedDocument next, UpdateFunction update)
{
    const UpdateResult result = countConflict(update(next), "instances");
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
    for (ClusterStateListener *listener : listeners_) {
        listener->onInstances(instanceList_);
    }
    return result;
}

UpdateResult ClusterState::acceptConfig(const std::string &text)
{
    auto value = parseJson(text);
    if (!value) {
        logLine(LogLevel::Error, "config.refused", {{"faults", describe(value.error())}});
        return UpdateResult::Corrupt;
    }
    return updateConfig(config_,
                        [&](VersionedDocument &next) { return next.accept(std::move(*value)); });
}

UpdateResult ClusterState::acceptList(const std::string &text)
{
    auto value = parseJson(text);
    if (!value) {
        logLine(LogLevel::Error, "instances.refused", {{"faults", describe(value.error())}});
        return UpdateResult::Corrupt;
    }
    return updateList(list_,
                      [&](VersionedDocument &next) { return next.accept(std::move(*value)); });
}

void ClusterState::apply(const DocumentUpdates &updates)
{
    if (updates.config && updates.config->to > config_.version()) {
        updateConfig(config_, [&](VersionedDocument &next) { return next.apply(*updates.config); });
    }
    if (updates.list && updates.list->to > list_.version()) {
        updateList(list_, [&](VersionedDocument &next) { return next.apply(*updates.list); });
    }
}

void ClusterState::observePeerVersions(const DocumentVersions &peer)
{
    config_.raiseFloor(std::max(peer.config, peer.configFloor));
    if (peer.config == config_.version() && peer.config != 0
        && peer.configDigest != config_.digest()) {
        countConflict(UpdateResult::Conflict, "config");
    }
}

void ClusterState::confirmList(TimePoint askedAt)
{
    listConfirmedAt_ = std::max(listConfirmedAt_.value_or(askedAt), askedAt);
}

Duration ClusterState::listAge(TimePoint now) const
{
    return listConfirmedAt_ ? now - *listConfirmedAt_ : Duration(-1);
}

DocumentVersions ClusterState::versions() const
{
    return {config_.version(), config_.digest(), config_.floor(), list_.version(), list_.digest()};
}

DocumentUpdates ClusterState::updatesFor(const DocumentVersions &peer) const
{
    return {config_.updateFor(peer.config), list_.updateFor(peer.list)};
}

bool ClusterState::isBehind(const DocumentVersions &peer) const
{
    return peer.config > config_.version() || peer.list > list_.version();
}

} // namespace seamarch
