// Detects what crashes upstreams: records which requests were running when upstreams crashed, and
// decides which may still be sent.
//
// A poison request crashes every upstream that runs it. Its caller retries it under a new id and at
// any gateway, and each retry takes down another upstream and its whole group. A poison prompt part
// crashes every upstream that begins to answer a request with it, and no two of these requests need
// be alike. Hence both whole requests and their shared prompt parts are suspects (SuspectKey).
//
// A crash interrupts about ten requests, of which all but one are harmless, or all if the process
// was killed. They cannot be told apart at that moment, only by what happens before and afterwards:
//   - A request that later completes, successfully or not, on an upstream that keeps running is
//     cleared of all earlier crashes. So is a part when an upstream answers a request with it.
//   - A suspect is unlikely to be present at several crashes by chance. Three crashes block it. Two
//     block it temporarily, unless another suspect was present at both; the third crash then shows
//     which of the two is the cause. In a simulation of 200 poison requests, retried as soon as
//     their group of twelve engines was up, each crashed 2.6 engines instead of 3 because of the
//     temporary block, and no additional harmless request was refused.
//   - A part that all requests share is present at every crash. It does not count as a suspect
//     while its last answer is recent. Of two new parts that were present at the same crashes, the
//     one with fewer requests is blocked. While no part has been answered lately, nothing tells
//     whether the requests or their upstreams are at fault: two crashes do not block a part then,
//     and three only temporarily, unless it is one of the most common parts. If a whole request was
//     present at all crashes of a part, the third crash blocks the request alone.
//   - Upstreams that are killed at the same moment interrupt many requests with the same part.
//     Such crashes count as one against it.
// A blocked suspect stays blocked for long after its last crash and is then allowed again, since
// the engine software may have been fixed.
//
// Gateways exchange their records, and records that received the same facts agree: crashes form a
// set, and the latest completion wins. The record is bounded. When it is full, it evicts a suspect
// of the account with the most entries, so no account can displace the entries of others.
//
// Performs no I/O, reads no clock, and is not thread-safe.
#pragma once

#include "decision/retry/parthistory.h"
#include "decision/retry/suspectkey.h"
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

// A request that was running on upstreams when they crashed, or a prompt part of such requests.
struct CrashSuspect
{
    SuspectKey key;
    std::uint64_t account = 0; // A hash of the id of the client account that sent it first.
    std::vector<UpstreamCrash> crashes; // Since the last completion, ordered by time.
    // The last completion of the request, successful or not; the last answer to a request with the
    // part.
    std::optional<TimePoint> lastCompletedAt;
};

class CrashRecord
{
public:
    struct Settings
    {
        // The number of crashes that block a suspect. Of the harmless requests that are present at
        // one crash, about one in some thousand reaches three by chance.
        std::size_t blockThreshold = 3;
        // The number of crashes that block a suspect for `suspicionDuration` after the last one,
        // unless another suspect was present at all of them. Saves a third crash, which would stop
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
        // Crashes of different upstreams within this time count as one against a prompt part.
        // Upstreams that are killed together end within milliseconds of each other.
        Duration simultaneousWindow = std::chrono::milliseconds(500);
        // How long after its last answer a part is not suspected. An upstream that answered it
        // would crash now only if its software had changed.
        Duration partTrust = std::chrono::minutes(5);
        // How long a completion is kept. Reports of earlier crashes are not delayed for longer.
        Duration completionRetention = std::chrono::seconds(60);
        // The maximum number of suspects, about 250 bytes each.
        std::size_t maxEntries = 4096;
        // The maximum number of prompt parts whose requests and answers are remembered, about 130
        // bytes each.
        std::size_t maxKnownParts = 4096;
        // A random number from which cursors start, so that peers do not apply the cursors of an
        // earlier process to this one.
        std::uint64_t seed = 1;
    };

    explicit CrashRecord(const Settings &settings);

    // Changes how long crashes are kept. Zero clears the record.
    void setRetention(Duration retention);

    // Records that an upstream crashed while it was running a request with this key.
    void onUpstreamCrashed(const SuspectKey &key, const AccountId &account,
                           const InstanceId &upstream, TimePoint at);
    // Records that an upstream completed the request, successfully or not, and kept running.
    void onRequestCompleted(const SuspectKey &request, TimePoint now);
    // Counts a request with the part, which shows how common the part is.
    void onPartRequested(const SuspectKey &part);
    // Records that an upstream answered a request with the part and kept running.
    void onPartAnswered(const SuspectKey &part, TimePoint now);
    // Merges another gateway's record of a suspect.
    void merge(const CrashSuspect &suspect);
    // Removes crashes and completions that are past their retention.
    void expire(TimePoint now);

    // Returns whether requests with this key may be sent to an upstream.
    bool mayBeSent(const SuspectKey &key, TimePoint now) const;
    // Returns the number of crashes recorded since the last completion; at most 8.
    std::size_t crashCount(const SuspectKey &key) const;
    std::size_t size() const { return suspects_.size(); }

    // Returns the number of the latest change, to be passed to `changedSince` later.
    std::uint64_t cursor() const { return cursor_; }
    // A batch of changed entries, and the cursor from which to request the next batch.
    struct Changes
    {
        std::vector<CrashSuspect> suspects;
        std::uint64_t cursor = 0;
    };
    // Returns up to `maxSuspects` suspects whose entries changed after `cursor`, oldest change
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
    bool requestMayBeSent(const CrashSuspect &request, TimePoint now) const;
    bool partMayBeSent(const CrashSuspect &part, TimePoint now) const;
    bool isRecent(const CrashSuspect &suspect, TimePoint now) const;
    bool wasPresentAt(const CrashSuspect &suspect, const UpstreamCrash &crash) const;
    bool recallAnswer(CrashSuspect &suspect);
    bool isTrusted(const CrashSuspect &suspect) const;
    template <typename Condition>
    bool sharesAllCrashes(const CrashSuspect &suspect, Condition isAlternative) const;
    bool sharedByRequest(const CrashSuspect &suspect) const;
    bool sharedByRarerPart(const CrashSuspect &part, bool orAsRare) const;
    bool othersWereAnswered(const CrashSuspect &part) const;
    std::size_t countSeparateCrashes(const CrashSuspect &part) const;
    void clear(const SuspectKey &key, TimePoint lastCompletedAt);
    void markChanged(Entry &entry);
    void evictOne();

    Settings settings_;
    std::uint64_t firstCursor_;
    std::uint64_t cursor_;
    std::unordered_map<SuspectKey, Entry> suspects_;
    std::map<std::uint64_t, SuspectKey> byChange_; // By the cursor of their latest change.
    PartHistory partHistory_;
    std::optional<TimePoint> lastAnswerAt_; // Of any part.
};

} // namespace seamarch
