// The configuration and the instance list that a process holds.
//
// Documents arrive from the platform's service and from peers. A document is validated before it is
// stored, so an invalid one is never put in force and never forwarded. Listeners are notified when
// a document comes into force.
//
// Single-threaded; does no I/O except for log lines. Listeners must outlive the object.
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

// Is notified of documents that come into force.
class ClusterStateListener
{
public:
    virtual ~ClusterStateListener() = default;
    virtual void onConfig(const ConfigDocument &document) = 0;
    virtual void onInstances(const InstanceList &list) = 0;
};

// The versions and digests that two processes compare. Zero means that no document is held.
struct DocumentVersions
{
    std::uint64_t config = 0;
    std::uint64_t configDigest = 0;
    std::uint64_t configFloor = 0; // The highest configuration version known to exist.
    std::uint64_t list = 0;
    std::uint64_t listDigest = 0;
};

// The updates that a process sends to a peer with older versions. Empty where there is none.
struct DocumentUpdates
{
    std::optional<VersionedUpdate> config;
    std::optional<VersionedUpdate> list;
};

// Holds the highest valid version of each document that the process has received.
class ClusterState
{
public:
    void addListener(ClusterStateListener &listener) { listeners_.push_back(&listener); }

    // Validate and store a whole document from the platform.
    UpdateResult acceptConfig(const std::string &text);
    UpdateResult acceptList(const std::string &text);
    // Validates and stores updates from a peer. Ignores those that are not higher than the held
    // version.
    void apply(const DocumentUpdates &updates);
    // Raises the configuration floor to the versions of a peer. Counts a conflict if the peer holds
    // the same configuration version with a different digest.
    void observePeerVersions(const DocumentVersions &peer);

    // Records that the platform confirmed the held list in answer to a request sent at `askedAt` or
    // later.
    void confirmList(TimePoint askedAt);
    // Returns the time since the platform confirmed the held list; negative if it never did.
    Duration listAge(TimePoint now) const;

    DocumentVersions versions() const;
    // Returns the updates that a peer with the versions `peer` needs to reach the held versions.
    DocumentUpdates updatesFor(const DocumentVersions &peer) const;
    // Returns whether a peer with the versions `peer` holds a higher version of either document.
    bool isBehind(const DocumentVersions &peer) const;

    // Returns whether a configuration is held whose version is not below the floor.
    bool configInForce() const { return config_.inForce(); }
    const ConfigDocument &config() const { return configDocument_; }
    const InstanceList &list() const { return instanceList_; }
    // Returns how often a document with the held version but different contents was seen.
    std::uint64_t conflicts() const { return conflicts_; }

private:
    template <typename UpdateFunction>
    UpdateResult updateConfig(VersionedDocument next, UpdateFunction update);
    template <typename UpdateFunction>
    UpdateResult updateList(VersionedDocument next, UpdateFunction update);
    void notifyConfigListeners();
    UpdateResult countConflict(UpdateResult result, const char *documentName);

    VersionedDocument config_;
    VersionedDocument list_;
    ConfigDocument configDocument_;
    InstanceList instanceList_;
    std::optional<TimePoint> listConfirmedAt_;
    std::uint64_t notifiedConfigVersion_ = 0;
    std::uint64_t conflicts_ = 0;
    std::vector<ClusterStateListener *> listeners_;
};

} // namespace seamarch
