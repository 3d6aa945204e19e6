#include "decision/gateway/upstreamlimits.h"

#include "decision/gateway/upstreamtable.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// Returns whether a report for the start `reported` may apply to the start `listed`. An unknown
// start matches every start.
bool mayBeSameStart(UpstreamStart reported, UpstreamStart listed)
{
    return reported == listed || reported == UpstreamStart() || listed == UpstreamStart();
}

} // namespace

void UpstreamLimits::store(const LimitReport &report, TimePoint now)
{
    entries_[report.upstream] = {report, now};
    ++version_;
    if (entries_.size() <= kMaxEntries) {
        return;
    }
    const auto oldest =
        std::min_element(entries_.begin(), entries_.end(), [](const auto &left, const auto &right) {
            return left.second.report.reportedAt < right.second.report.reportedAt;
        });
    entries_.erase(oldest);
}

UpstreamLimits::Change UpstreamLimits::onAnswer(const UpstreamRecord &upstream,
                                                std::optional<RequestRate> rate, TimePoint sentAt,
                                                TimePoint now)
{
    const auto found = entries_.find(upstream.id);
    const bool hasReport =
        found != entries_.end() && mayBeSameStart(found->second.report.start, upstream.start);
    const auto before = hasReport ? found->second.report.rate : std::nullopt;
    if (before == rate) {
        if (rate) {
            found->second.report.reportedAt = std::max(found->second.report.reportedAt, now);
            if (now - found->second.publishedAt >= settings_.renewalInterval) {
                store(found->second.report, now);
            }
        }
        return Change::None;
    }
    if (!rate && sentAt <= found->second.report.reportedAt) {
        return Change::None; // The answer may be older than the limit.
    }
    store({upstream.id, upstream.start, rate, now}, now);
    ++localChanges_;
    if (!rate) {
        return Change::Ended;
    }
    return before ? Change::Changed : Change::Begun;
}

// Returns whether `report` replaces `stored`. If their order is ambiguous, a limit wins over no
// limit and the lower of two limits wins.
bool UpstreamLimits::supersedes(const LimitReport &report, const LimitReport &stored) const
{
    const bool ambiguous = report.reportedAt > stored.reportedAt - settings_.clockTolerance
                           && report.reportedAt < stored.reportedAt + settings_.clockTolerance;
    if (ambiguous && report.rate.has_value() != stored.rate.has_value()) {
        return report.rate.has_value();
    }
    if (ambiguous && report.rate && stored.rate) {
        return *report.rate < *stored.rate;
    }
    return report.reportedAt > stored.reportedAt;
}

bool UpstreamLimits::merge(const LimitReport &report, TimePoint now)
{
    if (now - report.reportedAt > settings_.timeToLive) {
        return false;
    }
    const auto found = entries_.find(report.upstream);
    if (found == entries_.end()) {
        if (!report.rate) {
            return false;
        }
        store(report, now);
        return true;
    }
    LimitReport &stored = found->second.report;
    if (!supersedes(report, stored)) {
        return false;
    }
    if (stored.rate == report.rate && stored.start == report.start) {
        stored.reportedAt = report.reportedAt;
        return false;
    }
    store(report, now);
    return true;
}

const LimitReport *UpstreamLimits::find(const UpstreamRecord &upstream) const
{
    const auto found = entries_.find(upstream.id);
    const bool hasReport =
        found != entries_.end() && mayBeSameStart(found->second.report.start, upstream.start);
    return hasReport ? &found->second.report : nullptr;
}

std::optional<RequestRate> UpstreamLimits::limitOf(const UpstreamRecord &upstream) const
{
    const LimitReport *report = find(upstream);
    return report == nullptr ? std::nullopt : report->rate;
}

void UpstreamLimits::expire(TimePoint now)
{
    const std::size_t forgotten = std::erase_if(entries_, [&](const auto &entry) {
        return now - entry.second.report.reportedAt > settings_.timeToLive;
    });
    version_ += forgotten;
}

std::vector<LimitReport> UpstreamLimits::all() const
{
    std::vector<LimitReport> reports;
    reports.reserve(entries_.size());
    for (const auto &[upstream, entry] : entries_) {
        reports.push_back(entry.report);
    }
    return reports;
}

} // namespace seamarch
