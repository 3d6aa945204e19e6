// Which requests upstreams have ended under, and which of them are not sent any more.
//
// A poison request ends the process of each upstream that runs it. Its caller repeats it, under a
// new id and at any gateway, and each repetition takes another upstream and its whole group down.
// An upstream that ends takes some ten requests with it, all but one of them harmless, or all of
// them when it was killed; nobody can tell them apart at that moment. What tells them apart is what
// follows:
//   - a request that later runs to its end, well or badly, on an upstream that goes on living is
//     cleared of every end before;
//   - the same request at one end after the other is hardly there by chance. Three ends prove it.
//     Two do for a while, unless another request was at both of them: then the third end tells
//     which of the two it was. Of 200 poison requests that come again as fast as a group of twelve
//     engines opens, each takes 2.6 engines with it instead of 3, for no harmless request more.
// What is proved is kept for long after the last end, and then tried again: the software may have
// been mended.
//
// Gateways tell each other what they saw, and records that have heard the same agree: ends are a
// set, and the latest clearing wins. The record is bounded; an account that has the most requests
// in it loses one first, so nobody can push out what others' requests have done.
//
// Pure and single-threaded.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace seamarch {

// The end of an upstream's process. Upstreams are compared and never shown, so a digest does.
struct UpstreamCrash
{
    std::uint64_t upstream = 0; // Of its id.
    TimePoint at{};
};

// A request that upstreams have ended under.
struct CrashSuspect
{
    RequestDigest digest;
    std::uint64_t account = 0;                // A digest of the client account's id.
    std::vector<UpstreamCrash> crashes;       // Since it last ran to its end, in the order of time.
    std::optional<TimePoint> lastCompletedAt; // When an upstream last ran it to its end.
};

class CrashRecord
{
public:
    struct Settings
    {
        // Ends that prove that a request ends upstreams: the third by chance comes to one request
        // in some thousand of those that were at a first.
        std::size_t blockThreshold = 3;
        // Ends that keep a request back for a while, counted from the last, when no other request
        // was at all of them. A third end would stop a group of engines for four seconds more.
        std::size_t suspectThreshold = 2;
        Duration suspicionDuration = std::chrono::seconds(60);
        // How long an end is remembered; zero: nothing is. A poison request costs an upstream, or a
        // whole group for four seconds, each time that it is forgotten, so this is long; whoever
        // mends the software says so (see docs/OPERATIONS.md).
        Duration retention = std::chrono::hours(1);
        // An upstream that ended is back after some seconds, perhaps under the id that it had; word
        // of one end from two gateways differs by some milliseconds.
        Duration duplicateWindow = std::chrono::seconds(2);
        // How long a clearing is remembered: word of earlier ends is on its way no longer.
        Duration clearanceRetention = std::chrono::seconds(60);
        // Requests; some 150 bytes each.
        std::size_t maxEntries = 4096;
        // Drawn at random, so that a process that starts anew is not taken for the one before.
        std::uint64_t seed = 1;
    };

    explicit CrashRecord(const Settings &settings);

    // Changes how long ends are remembered. Zero forgets all of them.
    void setRetention(Duration retention);

    // An upstream has ended while it had the request.
    void onUpstreamCrashed(const RequestDigest &digest, const AccountId &account,
                           const InstanceId &upstream, TimePoint at);
    // An upstream has run the request to its end and lives.
    void onRequestCompleted(const RequestDigest &digest, TimePoint now);
    // Takes what another gateway knows of a request.
    void merge(const CrashSuspect &suspect);
    // Forgets what is too old.
    void expire(TimePoint now);

    // Tells whether the request may be sent to an upstream.
    bool mayBeSent(const RequestDigest &digest, TimePoint now) const;
    // Returns the ends under the request since it last ran to its end.
    std::size_t crashCount(const RequestDigest &digest) const;
    std::size_t size() const { return suspects_.size(); }

    // Names the present state: what changed after it is what `changedSince` returns.
    std::uint64_t cursor() const { return cursor_; }
    // A part of the record, and the cursor that stands for having it.
    struct Changes
    {
        std::vector<CrashSuspect> suspects;
        std::uint64_t cursor = 0;
    };
    // Returns up to `most` requests whose entries changed since `cursor`, the earliest first; from
    // the beginning when that is not a cursor of this record.
    Changes changedSince(std::uint64_t cursor, std::size_t maxSuspects) const;
    bool hasChangedSince(std::uint64_t cursor) const;
    // Returns all of them.
    std::vector<CrashSuspect> allSuspects() const;

private:
    struct Entry
    {
        CrashSuspect suspect;
        std::uint64_t changedAt = 0; // A cursor.
    };

    bool isKnownCursor(std::uint64_t cursor) const;
    bool isSameCrash(const UpstreamCrash &left, const UpstreamCrash &right) const;
    bool addCrash(CrashSuspect &suspect, const UpstreamCrash &crash) const;
    bool clearCrashes(CrashSuspect &suspect, TimePoint lastCompletedAt) const;
    bool sharesAllCrashes(const CrashSuspect &suspect) const;
    void markChanged(Entry &entry);
    void evictOne();

    Settings settings_;
    std::uint64_t firstCursor_;
    std::uint64_t cursor_;
    std::unordered_map<RequestDigest, Entry> suspects_;
    std::map<std::uint64_t, RequestDigest> byChange_; // The last change of each entry.
};

} // namespace seamarch
