// What a process knows of the configuration and of the instance list, from wherever it heard it.
//
// The platform's service, peers and offers all end here. A document is validated before it is held,
// so a faulty one is never put in force and never passed on. Listeners hear of a document when it
// comes into force.
//
// Single-threaded; does no input or output. Listeners outlive the object.
#pragma once

#include "config/parse.h"
#include "config/versioneddocument.h"
#include "seamarch/configdocument.h"
#include "seamarch/units.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace seamarch {

// Hears of documents that come into force.
class KnowledgeListener
{
public:
    virtual ~KnowledgeListener() = default;
    virtual void onConfig(const ConfigDocument &document) = 0;
    virtual void onInstances(const InstanceList &list) = 0;
};

// The versions that two processes compare.
struct KnownVersions
{
    std::uint64_t config = 0;
    std::uint64_t configDigest = 0;
    std::uint64_t configFloor = 0;
    std::uint64_t list = 0;
    std::uint64_t listDigest = 0;
};

// What one process hands another after comparing.
struct KnowledgeUpdates
{
    std::optional<VersionedUpdate> config;
    std::optional<VersionedUpdate> list;
};

class Knowledge
{
public:
    void listen(KnowledgeListener &listener) { listeners_.push_back(&listener); }

    // Takes a document from the platform.
    UpdateResult acceptConfig(const std::string &text);
    UpdateResult acceptList(const std::string &text);
    // Takes what a peer hands over.
    void apply(const KnowledgeUpdates &updates);
    // Learns what a peer knows; only the floor follows from it.
    void hear(const KnownVersions &peer);

    // The platform was asked at `askedAt` or later and confirmed the list that is held.
    void confirmList(TimePoint askedAt);
    // Returns how long ago the platform confirmed the list; negative when it never did.
    Duration listAge(TimePoint now) const;

    KnownVersions versions() const;
    // Returns what a peer with `peer` lacks.
    KnowledgeUpdates updatesFor(const KnownVersions &peer) const;
    // Tells whether a peer with `peer` knows more than this process.
    bool lags(const KnownVersions &peer) const;

    bool configInForce() const { return config_.inForce(); }
    const ConfigDocument &config() const { return configDocument_; }
    const InstanceList &list() const { return instanceList_; }
    // Returns the number of documents under one version with different contents that were met.
    std::uint64_t conflicts() const { return conflicts_; }

private:
    template <typename Take>
    UpdateResult takeConfig(VersionedDocument next, Take take);
    template <typename Take>
    UpdateResult takeList(VersionedDocument next, Take take);
    void announceConfig();
    UpdateResult note(UpdateResult result, const char *what);

    VersionedDocument config_;
    VersionedDocument list_;
    ConfigDocument configDocument_;
    InstanceList instanceList_;
    std::optional<TimePoint> listConfirmedAt_;
    std::uint64_t announced_ = 0;
    std::uint64_t conflicts_ = 0;
    std::vector<KnowledgeListener *> listeners_;
};

} // namespace seamarch
