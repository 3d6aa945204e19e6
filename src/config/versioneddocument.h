// Versioned documents: the highest one known, the differences between them, and never back.
//
// A VersionedDocument holds the JSON of the highest version that this process has accepted, and the
// last few differences that led to it. Processes hand each other updates: a difference over a
// version range (from, to], or a whole document. An update below the held version is dropped; a
// difference whose start is not the held version shows a gap, and the whole document is then asked
// for. A floor, learned from peers or from an upstream's fence, keeps a restarted process from
// putting an older version in force than the fleet has seen.
//
// The class is pure: it reads no clock and does no input or output.
#pragma once

#include <cstdint>
#include <deque>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace seamarch {

// What one process hands another.
struct VersionedUpdate
{
    std::uint64_t from = 0; // Version that the patch applies to; zero: a whole document.
    std::uint64_t to = 0;
    std::uint64_t digest = 0; // Of the whole document at version `to`.
    std::string payload;      // A JSON Patch (RFC 6902), or a whole document.
};

// What became of an update.
enum class UpdateResult {
    Applied,  // The held version is now `to`.
    Stale,    // Not higher than the held version; dropped.
    Gap,      // The difference starts elsewhere; ask for the whole document.
    Corrupt,  // Not JSON, or the digest does not match; dropped.
    Conflict, // Same version, other content: two documents were published under one version.
};

// Returns the digest of a document: XXH3 over its canonical text.
std::uint64_t documentDigest(const nlohmann::json &document);

// Holds the highest accepted version of one document.
class VersionedDocument
{
public:
    // Takes a whole document that carries its own `version`, for example from the platform.
    UpdateResult accept(nlohmann::json document);
    // Takes an update from a peer.
    UpdateResult apply(const VersionedUpdate &update);

    // Returns what a peer that holds `version` needs: nothing, one difference, or the whole.
    std::optional<VersionedUpdate> updateFor(std::uint64_t version) const;

    // Learns that `version` has been seen somewhere in the fleet.
    void raiseFloor(std::uint64_t version);

    std::uint64_t version() const { return version_; }
    std::uint64_t digest() const { return digest_; }
    std::uint64_t floor() const { return floor_; }
    // Tells whether the held version may be in force: it is known and not below the floor.
    bool inForce() const { return version_ != 0 && version_ >= floor_; }
    const nlohmann::json &document() const { return document_; }

private:
    struct Delta
    {
        std::uint64_t from = 0;
        std::uint64_t to = 0;
        nlohmann::json patch;
    };

    UpdateResult replace(nlohmann::json document, std::uint64_t version);
    void recordDelta(const nlohmann::json &next, std::uint64_t version);

    nlohmann::json document_;
    std::uint64_t version_ = 0;
    std::uint64_t digest_ = 0;
    std::uint64_t floor_ = 0;
    std::deque<Delta> deltas_;
};

} // namespace seamarch
