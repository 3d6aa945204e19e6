// Detects poison requests: records which requests were running when upstreams crashed, and decides
// which of them may still be sent.
//
// A poison request crashes every upstream that runs it. Its caller retries it under a new id and at
// any gateway, and each retry takes down another upstream and its whole group. A crash interrupts
// about ten requests, of which all but one are harmless, or all if the process was killed. They
// cannot be told apart at that moment, only by what happens afterwards:
//   - A request that later completes, successfully or not, on an upstream that keeps running is
//     cleared of all earlier crashes.
//   - A request is unlikely to be present at several crashes by chance. Three crashes block it. Two
//     block it temporarily, unless another request was present at both; the third crash then shows
//     which of the two is the cause. In a simulation of 200 poison requests, retried as soon as
//     their group of twelve engines was up, each crashed 2.6 engines instead of 3 because of the
//     temporary block, and no additional harmless request was refused.
// A blocked request stays blocked for long after its last crash and is then allowed again, since
// the engine software may have been fixed.
//
// Gateways exchange their records, and records that received the same facts agree: crashes form a
// set, and the latest completion wins. The record is bounded. When it is full, it evicts a request
// of the account with the most entries, so no account can displace the entries of others.
//
// Performs no I/O, reads no clock, and is not thread-safe.
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

// The end of an upstream's process. Upstreams are only compared here, so a hash identifies them.
struct UpstreamCrash
{
    std::uint64_t upstream = 0; // A hash of the upstream's id.
    TimePoint at{};
};

// A request that was running on upstreams when they crashed.
struct CrashSuspect
{
    RequestDigest digest;
    std::uint64_t account = 0;                // A hash of the client account's id.
    std::vector<UpstreamCrash> crashes;       // Since the last completion, ordered by time.
    std::optional<TimePoint> lastCompletedAt; // The last completion, successful or not.
};

class CrashRecord
{
public:
    struct Settings
    {
        // The number of crashes that block a request. Of the harmless requests that are present at
        // one crash, about one in some thousand reaches three by chance.
        std::size_t blockThreshold = 3;
        // The number of crashes that block a request for `suspicionDuration` after the last one,
        // unless another request was present at all of them. Saves a third crash, which would stop
        // a group of engines for four more seconds.
        std::size_t suspectThreshold = 2;
        Duration suspicionDuration = std::chrono::seconds(60);
        // How long a crash is kept; zero disables the record. Each time a poison request is
        // forgotten it crashes another upstream, or stops a whole group for four seconds, so this
        // is long. Operators clear the record after a fix of the software (see docs/OPERATIONS.md).
        Duration retention = std::chrono::hours(1);
        // Crashes of one upstream within this time count as one. Two gateways report the same crash
        // some milliseconds apart, and a crashed upstream is back only after some seconds, possibly
        // under the same id.
        Duration duplicateWindow = std::chrono::seconds(2);
        // How long a completion is kept. Reports of earlier crashes are not delayed for longer.
        Duration completionRetention = std::chrono::seconds(60);
        // The maximum number of requests, about 150 bytes each.
        std::size_t maxEntries = 4096;
        // A random number from which cursors start, so that peers do not apply the cursors of an
        // earlier process to this one.
        std::uint64_t seed = 1;
    };

    explicit CrashRecord(const Settings &settings);

    // Changes how long crashes are kept. Zero clears the record.
    void setRetention(Duration retention);

    // Records that an upstream crashed while it was running the request.
    void onUpstreamCrashed(const RequestDigest &digest, const AccountId &account,
                           const InstanceId &upstream, TimePoint at);
    // Records that an upstream completed the request, successfully or not, and kept running.
    void onRequestCompleted(const RequestDigest &digest, TimePoint now);
    // Merges another gateway's record of a request.
    void merge(const CrashSuspect &suspect);
    // Removes crashes and completions that are past their retention.
    void expire(TimePoint now);

    // Returns whether the request may be sent to an upstream.
    bool mayBeSent(const RequestDigest &digest, TimePoint now) const;
    // Returns the number of crashes recorded for the request since it last completed; at most 4.
    std::size_t crashCount(const RequestDigest &digest) const;
    std::size_t size() const { return suspects_.size(); }

    // Returns the number of the latest change, to be passed to `changedSince` later.
    std::uint64_t cursor() const { return cursor_; }
    // A batch of changed entries, and the cursor from which to request the next batch.
    struct Changes
    {
        std::vector<CrashSuspect> suspects;
        std::uint64_t cursor = 0;
    };
    // Returns up to `maxSuspects` requests whose entries changed after `cursor`, oldest change
    // first. Starts from the beginning if `cursor` does not belong to this record.
    Changes changedSince(std::uint64_t cursor, std::size_t maxSuspects) const;
    bool hasChangedSince(std::uint64_t cursor) const;
    std::vector<CrashSuspect> allSuspects() const;

private:
    struct Entry
    {
        CrashSuspect suspect;
        std::uint64_t changedAt = 0; // The cursor of the latest change.
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
    std::map<std::uint64_t, RequestDigest> byChange_; // By the cursor of their latest change.
};

} // namespace seamarch
