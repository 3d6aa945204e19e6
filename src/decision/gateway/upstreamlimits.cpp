#include "decision/gateway/upstreamlimits.h"

#include "decision/gateway/upstreamtable.h"

#include <algorithm>
#include <utility>

namespace seamarch {
namespace {

// Tells whether a word of the start `said` may be one of the upstream that is listed as `listed`.
// Where one of them is not told, an id stands for one start.
bool mayBeSameStart(UpstreamStart reported, UpstreamStart listed)
{
    return reported == listed || reported == UpstreamStart() || listed == UpstreamStart();
}

} // namespace

void UpstreamLimits::store(const LimitReport &word, TimePoint now)
{
    words_[word.upstream] = {word, now};
    ++version_;
    if (words_.size() <= kMaxEntries) {
        return;
    }
    const auto oldest =
        std::min_element(words_.begin(), words_.end(), [](const auto &left, const auto &right) {
            return left.second.word.reportedAt < right.second.word.reportedAt;
        });
    words_.erase(oldest);
}

UpstreamLimits::Change UpstreamLimits::onAnswer(const UpstreamRecord &upstream,
                                                std::optional<RequestRate> rate, TimePoint sentAt,
                                                TimePoint now)
{
    const auto found = words_.find(upstream.id);
    const bool known =
        found != words_.end() && mayBeSameStart(found->second.word.start, upstream.start);
    const auto before = known ? found->second.word.rate : std::nullopt;
    if (before == rate) {
        if (rate) {
            found->second.word.reportedAt = std::max(found->second.word.reportedAt, now);
            if (now - found->second.toldAt >= settings_.renewalInterval) {
                store(found->second.word, now);
            }
        }
        return Change::None;
    }
    if (!rate && sentAt <= found->second.word.reportedAt) {
        return Change::None; // It may be the earlier word of the two.
    }
    store({upstream.id, upstream.start, rate, now}, now);
    ++localChanges_;
    if (!rate) {
        return Change::Ended;
    }
    return before ? Change::Changed : Change::Begun;
}

bool UpstreamLimits::supersedes(const LimitReport &word, const LimitReport &known) const
{
    const bool concurrent = word.reportedAt > known.reportedAt - settings_.clockTolerance
                            && word.reportedAt < known.reportedAt + settings_.clockTolerance;
    if (concurrent && word.rate.has_value() != known.rate.has_value()) {
        return word.rate.has_value();
    }
    if (concurrent && word.rate && known.rate) {
        return *word.rate < *known.rate;
    }
    return word.reportedAt > known.reportedAt;
}

bool UpstreamLimits::merge(const LimitReport &word, TimePoint now)
{
    if (now - word.reportedAt > settings_.timeToLive) {
        return false;
    }
    const auto found = words_.find(word.upstream);
    if (found == words_.end()) {
        if (!word.rate) {
            return false;
        }
        store(word, now);
        return true;
    }
    LimitReport &known = found->second.word;
    if (!supersedes(word, known)) {
        return false;
    }
    if (known.rate == word.rate && known.start == word.start) {
        known.reportedAt = word.reportedAt;
        return false;
    }
    store(word, now);
    return true;
}

const LimitReport *UpstreamLimits::find(const UpstreamRecord &upstream) const
{
    const auto found = words_.find(upstream.id);
    const bool known =
        found != words_.end() && mayBeSameStart(found->second.word.start, upstream.start);
    return known ? &found->second.word : nullptr;
}

std::optional<RequestRate> UpstreamLimits::limitOf(const UpstreamRecord &upstream) const
{
    const LimitReport *word = find(upstream);
    return word == nullptr ? std::nullopt : word->rate;
}

void UpstreamLimits::expire(TimePoint now)
{
    const std::size_t forgotten = std::erase_if(words_, [&](const auto &entry) {
        return now - entry.second.word.reportedAt > settings_.timeToLive;
    });
    version_ += forgotten;
}

std::vector<LimitReport> UpstreamLimits::all() const
{
    std::vector<LimitReport> words;
    words.reserve(words_.size());
    for (const auto &[upstream, entry] : words_) {
        words.push_back(entry.word);
    }
    return words;
}

} // namespace seamarch
