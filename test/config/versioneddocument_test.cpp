// Tests that a process that has accepted a configuration never reverts to an older one.
#include "config/versioneddocument.h"

#include <fmt/format.h>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using nlohmann::json;

namespace {

// Returns a document with 40 accounts whose content depends on its version.
json documentAt(std::uint64_t version)
{
    json accounts = json::array();
    for (int index = 0; index < 40; ++index) {
        accounts.push_back({{"id", fmt::format("account-{}", index)},
                            {"share", index == static_cast<int>(version % 40) ? version : 1}});
    }
    return {{"version", version}, {"base", version - 1}, {"accounts", accounts}};
}

// Simulates processes that receive versions from an unreliable service and from each other.
// Processes are replaced; updates are delayed, duplicated, reordered and truncated. Returns how
// often a process had a version in force that was too old or whose content was wrong.
int countViolations(std::uint64_t seed, bool skipPeerFloors)
{
    constexpr std::size_t kProcesses = 6;
    std::mt19937_64 random(seed);
    const auto pick = [&random](std::size_t size) {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(random);
    };
    std::vector<VersionedDocument> processes(kProcesses);
    std::vector<VersionedUpdate> inFlight;
    std::uint64_t published = 0;
    // The lowest version that each process may have in force: the highest one that it had in force
    // since its start, or that a peer held when it started.
    std::vector<std::uint64_t> minAllowedVersion(kProcesses, 0);
    int violations = 0;
    for (int round = 0; round < 400; ++round) {
        if (pick(10) == 0) {
            ++published;
        }
        const std::size_t index = pick(kProcesses);
        VersionedDocument &process = processes[index];
        switch (pick(5)) {
        case 0: { // The service returns any version published so far.
            const std::uint64_t version = published == 0 ? 0 : 1 + pick(published);
            if (version != 0) {
                process.accept(documentAt(version));
            }
            break;
        }
        case 1: { // A peer sends an update, which may arrive much later.
            const auto update = processes[pick(kProcesses)].updateFor(process.version());
            if (update) {
                inFlight.push_back(*update);
            }
            break;
        }
        case 2:
            if (!inFlight.empty()) {
                VersionedUpdate update = inFlight[pick(inFlight.size())];
                if (pick(8) == 0) {
                    update.payload = update.payload.substr(0, update.payload.size() / 2);
                }
                process.apply(update);
            }
            break;
        case 3: // A process is replaced and reads the floors of its peers.
            if (pick(4) == 0) {
                process = VersionedDocument();
                minAllowedVersion[index] = 0;
                for (const VersionedDocument &peer : processes) {
                    minAllowedVersion[index] = std::max(minAllowedVersion[index], peer.version());
                    if (!skipPeerFloors) {
                        process.raiseFloor(peer.floor());
                    }
                }
            }
            break;
        default:
            break;
        }
        if (process.inForce()) {
            const bool contentDiffers = process.document() != documentAt(process.version());
            const bool reverted = process.version() < minAllowedVersion[index];
            violations += contentDiffers || reverted ? 1 : 0;
            minAllowedVersion[index] = std::max(minAllowedVersion[index], process.version());
        }
    }
    return violations;
}

} // namespace

TEST_GROUP(VersionedDocumentTest)
{
    VersionedDocument document;
};

TEST(VersionedDocumentTest, NeverRevertsOverRandomSchedules)
{
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        if (countViolations(seed, false) != 0) {
            FAIL(fmt::format("seed {} reverted", seed).c_str());
        }
    }
}

TEST(VersionedDocumentTest, DetectsRestartWithoutPeerFloors)
{
    int seedsWithViolations = 0;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        seedsWithViolations += countViolations(seed, true) > 0 ? 1 : 0;
    }
    CHECK(seedsWithViolations > 0);
}

TEST(VersionedDocumentTest, DropsOlderDocument)
{
    document.accept(documentAt(5));

    CHECK(document.accept(documentAt(4)) == UpdateResult::Stale);
    CHECK_EQUAL(5U, document.version());
}

TEST(VersionedDocumentTest, IsNotInForceBelowFloor)
{
    document.raiseFloor(7);

    CHECK(document.accept(documentAt(6)) == UpdateResult::Applied);
    CHECK_FALSE(document.inForce());
    document.accept(documentAt(7));
    CHECK(document.inForce());
}

TEST(VersionedDocumentTest, SendsDeltaToPeerOneVersionBehind)
{
    document.accept(documentAt(1));
    document.accept(documentAt(2));
    VersionedDocument peer;
    peer.accept(documentAt(1));

    const auto update = document.updateFor(1);

    CHECK_EQUAL(1U, update->from);
    CHECK(update->payload.size() < documentAt(2).dump().size() / 4);
    CHECK(peer.apply(*update) == UpdateResult::Applied);
    CHECK(peer.document() == documentAt(2));
}

TEST(VersionedDocumentTest, ReportsGapForDeltaWithOtherBase)
{
    document.accept(documentAt(2));
    document.accept(documentAt(3));
    VersionedDocument peer;
    peer.accept(documentAt(1));

    CHECK(peer.apply(*document.updateFor(2)) == UpdateResult::Gap);
    CHECK_EQUAL(1U, peer.version());
    CHECK(peer.apply(*document.updateFor(peer.version())) == UpdateResult::Applied);
}

TEST(VersionedDocumentTest, DropsCorruptUpdate)
{
    document.accept(documentAt(1));
    VersionedDocument peer;
    VersionedUpdate update = *document.updateFor(0);
    update.payload[10] = 'x';

    CHECK(peer.apply(update) == UpdateResult::Corrupt);
    CHECK_EQUAL(0U, peer.version());
}

TEST(VersionedDocumentTest, ReportsConflictForSameVersionWithOtherContent)
{
    document.accept(documentAt(3));
    json other = documentAt(3);
    other["accounts"][0]["share"] = 9;

    CHECK(document.accept(other) == UpdateResult::Conflict);
    CHECK(document.document() == documentAt(3));
}

// Guards against a stack overflow: documents are copied, compared and written recursively.
TEST(VersionedDocumentTest, RejectsDeeplyNestedUpdates)
{
    constexpr std::size_t kDepth = 300'000;
    const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    const auto result = document.apply({0, 1, 7, R"({"version":1,"accounts":)" + nested + "}"});
    CHECK(result == UpdateResult::Corrupt);
    LONGS_EQUAL(0, document.version());
}

// The patch adds a nested value inside another one.
TEST(VersionedDocumentTest, RejectsPatchesThatNestTheDocumentTooDeeply)
{
    constexpr std::size_t kDepth = 100;
    document.accept(documentAt(1));
    json nested = json::array();
    std::string path = "/a";
    for (std::size_t level = 1; level < kDepth; ++level) {
        nested = json::array({std::move(nested)});
        path += "/0";
    }
    const json patch = {{{"op", "replace"}, {"path", "/version"}, {"value", 2}},
                        {{"op", "add"}, {"path", "/a"}, {"value", nested}},
                        {{"op", "add"}, {"path", path + "/-"}, {"value", nested}}};
    const json patched = document.document().patch(patch);
    const auto result = document.apply({1, 2, documentDigest(patched), patch.dump()});
    CHECK(result == UpdateResult::Corrupt);
    LONGS_EQUAL(1, document.version());
}

TEST(VersionedDocumentTest, RejectsPatchesWithOperationsThatNoDifferenceHolds)
{
    document.accept(documentAt(1));
    const json patch = {{{"op", "replace"}, {"path", "/version"}, {"value", 2}},
                        {{"op", "copy"}, {"from", ""}, {"path", "/a"}}};
    const json patched = document.document().patch(patch);
    const auto result = document.apply({1, 2, documentDigest(patched), patch.dump()});
    CHECK(result == UpdateResult::Corrupt);
}
