// Replication of a versioned JSON document between processes, without reverting to an older
// version.
//
// A VersionedDocument holds the highest version that this process has accepted and the most recent
// deltas that led to it. Processes exchange updates: a delta over the version range (from, to], or
// a full document. An update below the held version is dropped. A delta whose base is not the held
// version indicates a gap, and the process then requests the full document. A floor, learned from
// peers or from an upstream's fence, prevents a restarted process from putting a version in force
// that is older than one that the fleet has seen.
//
// The class reads no clock and does no input or output.
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace seamarch {

// An update that one process sends to another.
struct VersionedUpdate
{
    std::uint64_t from = 0;   // Version that the patch applies to; 0 for a full document.
    std::uint64_t to = 0;     // Version that the update leads to.
    std::uint64_t digest = 0; // Digest of the full document at version `to`.
    std::string payload;      // A JSON Patch (RFC 6902), or a full document.
};

// The result of accepting a document or applying an update.
enum class UpdateResult {
    Applied,  // The held version is now `to`.
    Stale,    // Not newer than the held version; dropped.
    Gap,      // The delta has another base; the full document is needed.
    Corrupt,  // Not JSON, no version, or a wrong version or digest; dropped.
    Conflict, // Same version, other content (two documents were published as one version); dropped.
};

// Returns the 64-bit XXH3 hash of the document's canonical text (sorted keys, no whitespace).
std::uint64_t documentDigest(const nlohmann::json &document);

// The highest accepted version of a document, with the deltas that peers need to follow it.
class VersionedDocument
{
public:
    // Replaces the held document with a newer full one, for example from the platform. The version
    // is read from its field `version`.
    UpdateResult accept(nlohmann::json document);
    // Applies an update from a peer.
    UpdateResult apply(const VersionedUpdate &update);

    // Returns the update for a peer that holds `version`: a delta if a short one is available,
    // the full document otherwise, or nullopt if the peer is up to date. Version 0 stands for a
    // peer without a document.
    std::optional<VersionedUpdate> updateFor(std::uint64_t version) const;

    // Raises the floor to a version that has been seen in the fleet. A lower version has no effect.
    void raiseFloor(std::uint64_t version);

    // Returns the held version, or 0 if there is none.
    std::uint64_t version() const { return version_; }
    std::uint64_t digest() const { return digest_; }
    // Returns the lowest version that may be in force.
    std::uint64_t floor() const { return floor_; }
    // Returns whether a version is held that is not below the floor.
    bool inForce() const { return version_ != 0 && version_ >= floor_; }
    const nlohmann::json &document() const { return document_; }

private:
    // A patch that leads from the version `from` to the version `to`.
    struct Delta
    {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        nlohmann::json patch;
    };

    // Puts `document` in the place of the held one if its version is higher.
    UpdateResult replace(nlohmann::json document, std::uint64_t version);
    // Records the delta from the held document to `next`.
    void recordDelta(const nlohmann::json &next, std::uint64_t version);

    nlohmann::json document_;
    std::uint64_t version_ = 0;
    std::uint64_t digest_ = 0;
    std::uint64_t floor_ = 0;
    std::deque<Delta> deltas_;
};

} // namespace seamarch
