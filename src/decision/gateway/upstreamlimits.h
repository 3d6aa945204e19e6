// The request rate limits that upstreams report for all gateways together.
//
// An overloaded upstream reports in its answers how many requests per second it accepts from all
// gateways together; the limit applies until an answer comes without it. A report belongs to the
// start of the upstream that sent it. Any gateway may receive it first, so the gateways exchange
// reports, and the latest one wins.
//
// Answers may arrive out of order. An answer without a limit ends a limit only if its request was
// sent after the limit was last reported, because only then is it certainly the later report.
// Gateways exchange the ages of reports, which are comparable only within a tolerance. While the
// order of two reports is ambiguous, a limit wins over no limit, and a lower limit over a higher
// one; the next answer resolves it.
//
// Holds at most `kMaxEntries` reports and evicts the oldest. Performs no I/O and is not
// thread-safe.
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

// The latest limit that an upstream has reported.
struct LimitReport
{
    InstanceId upstream;
    UpstreamStart start;             // Of the upstream that sent the report.
    std::optional<RequestRate> rate; // nullopt: the limit has ended.
    TimePoint reportedAt{};          // Time of receipt, hence an upper bound.
};

// Stores the latest limit report of each upstream.
class UpstreamLimits
{
public:
    static constexpr std::size_t kMaxEntries = 256; // About 100 bytes each.

    // The effect of an answer on the limit of its upstream.
    enum class Change {
        None,
        Begun,
        Changed,
        Ended,
    };

    struct Settings
    {
        // Reports that were not repeated for this long are removed: the upstream is gone, or no
        // gateway sends requests to it.
        Duration timeToLive = std::chrono::minutes(10);
        // How often the repetition of a report is published to other gateways; well below
        // `timeToLive`.
        Duration renewalInterval = std::chrono::minutes(1);
        // Accuracy of times that come from another gateway: several round trips between halls.
        Duration clockTolerance = std::chrono::milliseconds(100);
        // The initial value of `version()`; not zero.
        std::uint64_t firstVersion = 1;
    };

    UpstreamLimits()
        : UpstreamLimits(Settings())
    {}
    explicit UpstreamLimits(const Settings &settings)
        : settings_(settings)
        , version_(settings.firstVersion)
    {}

    // Handles an answer that reports `rate`, or no limit, to a request that was sent at `sentAt`.
    // `upstream` is the record of the upstream when the attempt started.
    Change onAnswer(const UpstreamRecord &upstream, std::optional<RequestRate> rate,
                    TimePoint sentAt, TimePoint now);
    // Takes over `report` from another gateway if it is newer than the stored one. Returns whether
    // the limit or the start of the upstream has changed.
    bool merge(const LimitReport &report, TimePoint now);
    // Returns the report for the start of `upstream`, or nullptr if there is none. The pointer is
    // valid until the next change.
    const LimitReport *find(const UpstreamRecord &upstream) const;
    // Returns the limit for the start of `upstream`, or nullopt if it has none.
    std::optional<RequestRate> limitOf(const UpstreamRecord &upstream) const;
    // Removes the reports that have exceeded their time to live.
    void expire(TimePoint now);

    // Returns all reports, in no particular order.
    std::vector<LimitReport> all() const;
    // Returns the version of the table, which rises when a report is stored, published again or
    // removed; never zero.
    std::uint64_t version() const { return version_; }
    // Returns the number of changes that came from answers to this gateway.
    std::uint64_t localChanges() const { return localChanges_; }

private:
    struct Entry
    {
        LimitReport report;
        TimePoint publishedAt{}; // When it was last published to other gateways.
    };

    void store(const LimitReport &report, TimePoint now);
    bool supersedes(const LimitReport &report, const LimitReport &stored) const;

    Settings settings_;
    std::unordered_map<InstanceId, Entry> entries_;
    std::uint64_t version_;
    std::uint64_t localChanges_ = 0;
};

} // namespace seamarch
