// What upstreams say that they take from all gateways together.
//
// An upstream in need names in its answers how many requests a second it takes from everybody, for
// as long as its answers say so. The word belongs to the start of the upstream that gave it. Any
// gateway may hear it first, so gateways tell each other; the latest word counts.
//
// Answers pass each other on their connections. An answer without a limit ends one only if its
// request was sent after the limit was last heard of: it is then the later word. Between gateways,
// whose clocks are compared by how long ago a thing was said, a limit wins while it cannot be told
// which word is the later one: the next answer tells.
//
// Bounded: beyond `kMaxEntries` what was said longest ago is forgotten. Pure and single-threaded.
#pragma once

#include "decision/gateway/requestrate.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace seamarch {

struct UpstreamRecord;

// What an upstream said last.
struct LimitReport
{
    InstanceId upstream;
    UpstreamStart start;             // Of the upstream as it spoke.
    std::optional<RequestRate> rate; // Nothing: it names no limit any more.
    TimePoint reportedAt{};          // At the latest.
};

class UpstreamLimits
{
public:
    static constexpr std::size_t kMaxEntries = 256; // Some 100 bytes each.

    enum class Change {
        None,
        Begun,
        Changed,
        Ended,
    };

    struct Settings
    {
        // A word that nobody has repeated for so long is forgotten: the upstream is gone, or nobody
        // has anything to send to it.
        Duration timeToLive = std::chrono::minutes(10);
        // Other gateways hear so often that a word was repeated, well within its life.
        Duration renewalInterval = std::chrono::minutes(1);
        // Times of two gateways are compared to within so much: some round trips between halls.
        Duration clockTolerance = std::chrono::milliseconds(100);
        // The first mark of the words that are known; not zero.
        std::uint64_t firstVersion = 1;
    };

    UpstreamLimits()
        : UpstreamLimits(Settings())
    {}
    explicit UpstreamLimits(const Settings &settings)
        : settings_(settings)
        , version_(settings.firstVersion)
    {}

    // An answer of `upstream`, as it was listed when the attempt began that was sent at `sentAt`,
    // names `rate`, or no limit.
    Change onAnswer(const UpstreamRecord &upstream, std::optional<RequestRate> rate,
                    TimePoint sentAt, TimePoint now);
    // Another gateway knows `word`. Returns whether it was the later one.
    bool merge(const LimitReport &report, TimePoint now);
    // Returns the word of an upstream that is listed like this; nothing when none is known. Valid
    // until the next change.
    const LimitReport *find(const UpstreamRecord &upstream) const;
    // Returns what an upstream that is listed like this takes; nothing: it names no limit.
    std::optional<RequestRate> limitOf(const UpstreamRecord &upstream) const;
    // Forgets words that nobody has repeated for long.
    void expire(TimePoint now);

    // Returns all words, in no order.
    std::vector<LimitReport> all() const;
    // Returns a number that names the state of the words; not zero.
    std::uint64_t version() const { return version_; }
    // Returns how many changes this gateway has seen itself.
    std::uint64_t localChanges() const { return localChanges_; }

private:
    struct Entry
    {
        LimitReport report;
        TimePoint publishedAt{}; // Since when others can know of it.
    };

    void store(const LimitReport &report, TimePoint now);
    bool supersedes(const LimitReport &report, const LimitReport &known) const;

    Settings settings_;
    std::unordered_map<InstanceId, Entry> entries_;
    std::uint64_t version_;
    std::uint64_t localChanges_ = 0;
};

} // namespace seamarch
