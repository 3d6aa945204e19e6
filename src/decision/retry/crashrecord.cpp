#include "decision/retry/crashrecord.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <xxhash.h>

namespace seamarch {
namespace {

// Cursors increase by one with each change. Shifting the seed leaves room for that without
// overflow, and different seeds keep the cursors of two processes apart.
constexpr unsigned kCursorSpareBits = 16;
// The maximum number of crashes kept per request; more do not change the decision.
constexpr std::size_t kMaxCrashes = 4;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

CrashRecord::CrashRecord(const Settings &settings)
    : settings_(settings)
    , firstCursor_((settings.seed >> kCursorSpareBits) + 1)
    , cursor_(firstCursor_)
{}

void CrashRecord::setRetention(Duration retention)
{
    settings_.retention = retention;
    if (retention <= Duration{}) {
        suspects_.clear();
        byChange_.clear();
    }
}

bool CrashRecord::isSameCrash(const UpstreamCrash &left, const UpstreamCrash &right) const
{
    const Duration difference = left.at < right.at ? right.at - left.at : left.at - right.at;
    return left.upstream == right.upstream && difference <= settings_.duplicateWindow;
}

// Returns false if the crash is already recorded, precedes the latest completion, or is older than
// all of `kMaxCrashes` recorded ones.
bool CrashRecord::addCrash(CrashSuspect &suspect, const UpstreamCrash &crash) const
{
    if (suspect.lastCompletedAt && crash.at <= *suspect.lastCompletedAt) {
        return false;
    }
    std::vector<UpstreamCrash> &crashes = suspect.crashes;
    const bool isRecorded =
        std::any_of(crashes.begin(), crashes.end(),
                    [&](const UpstreamCrash &other) { return isSameCrash(other, crash); });
    const bool tooOld = crashes.size() >= kMaxCrashes && crash.at <= crashes.front().at;
    if (isRecorded || tooOld) {
        return false;
    }
    const auto after =
        std::find_if(crashes.begin(), crashes.end(),
                     [&](const UpstreamCrash &other) { return other.at > crash.at; });
    crashes.insert(after, crash);
    if (crashes.size() > kMaxCrashes) {
        crashes.erase(crashes.begin());
    }
    return true;
}

// Removes the crashes up to `lastCompletedAt`. Returns false if a later completion is known.
bool CrashRecord::clearCrashes(CrashSuspect &suspect, TimePoint lastCompletedAt) const
{
    if (suspect.lastCompletedAt && lastCompletedAt <= *suspect.lastCompletedAt) {
        return false;
    }
    suspect.lastCompletedAt = lastCompletedAt;
    std::erase_if(suspect.crashes,
                  [&](const UpstreamCrash &crash) { return crash.at <= lastCompletedAt; });
    return true;
}

void CrashRecord::markChanged(Entry &entry)
{
    byChange_.erase(entry.changedAt);
    entry.changedAt = ++cursor_;
    byChange_.emplace(entry.changedAt, entry.suspect.digest);
}

void CrashRecord::onUpstreamCrashed(const RequestDigest &digest, const AccountId &account,
                                    const InstanceId &upstream, TimePoint at)
{
    CrashSuspect observed;
    observed.digest = digest;
    observed.account = hashOf(account.value());
    observed.crashes.push_back({hashOf(upstream.value()), at});
    merge(observed);
}

void CrashRecord::onRequestCompleted(const RequestDigest &digest, TimePoint now)
{
    const auto found = suspects_.find(digest);
    if (found == suspects_.end() || found->second.suspect.crashes.empty()) {
        return;
    }
    if (clearCrashes(found->second.suspect, now)) {
        markChanged(found->second);
    }
}

void CrashRecord::merge(const CrashSuspect &suspect)
{
    if (settings_.retention <= Duration{}
        || (suspect.crashes.empty() && !suspect.lastCompletedAt)) {
        return;
    }
    const auto [found, isNew] = suspects_.try_emplace(suspect.digest);
    Entry &entry = found->second;
    if (isNew) {
        entry.suspect.digest = suspect.digest;
        entry.suspect.account = suspect.account;
    }
    bool changed = isNew;
    if (suspect.lastCompletedAt && clearCrashes(entry.suspect, *suspect.lastCompletedAt)) {
        changed = true;
    }
    for (const UpstreamCrash &crash : suspect.crashes) {
        changed = addCrash(entry.suspect, crash) || changed;
    }
    if (changed) {
        markChanged(entry);
    }
    if (suspects_.size() > settings_.maxEntries) {
        evictOne();
    }
}

// Evicts an entry of the account that has the most: the one with the fewest crashes, and among
// those the least recently changed.
void CrashRecord::evictOne()
{
    std::unordered_map<std::uint64_t, std::size_t> counts;
    std::uint64_t account = 0;
    std::size_t most = 0;
    for (const auto &[digest, entry] : suspects_) {
        const std::size_t count = ++counts[entry.suspect.account];
        if (count > most) {
            most = count;
            account = entry.suspect.account;
        }
    }
    const Entry *least = nullptr;
    const auto rank = [](const Entry &entry) {
        return std::pair(entry.suspect.crashes.size(), entry.changedAt);
    };
    for (const auto &[digest, entry] : suspects_) {
        const bool fits = entry.suspect.account == account;
        if (fits && (least == nullptr || rank(entry) < rank(*least))) {
            least = &entry;
        }
    }
    if (least != nullptr) {
        byChange_.erase(least->changedAt);
        suspects_.erase(RequestDigest(least->suspect.digest));
    }
}

void CrashRecord::expire(TimePoint now)
{
    for (auto next = suspects_.begin(); next != suspects_.end();) {
        CrashSuspect &suspect = next->second.suspect;
        std::erase_if(suspect.crashes, [&](const UpstreamCrash &crash) {
            return now - crash.at > settings_.retention;
        });
        const bool recentlyCompleted =
            suspect.lastCompletedAt
            && now - *suspect.lastCompletedAt <= settings_.completionRetention;
        if (suspect.crashes.empty() && !recentlyCompleted) {
            byChange_.erase(next->second.changedAt);
            next = suspects_.erase(next);
        } else {
            ++next;
        }
    }
}

// Returns whether another request was present at all crashes of this one.
bool CrashRecord::sharesAllCrashes(const CrashSuspect &suspect) const
{
    return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto &other) {
        const CrashSuspect &candidate = other.second.suspect;
        const auto wasPresentAt = [&](const UpstreamCrash &crash) {
            return std::any_of(candidate.crashes.begin(), candidate.crashes.end(),
                               [&](const UpstreamCrash &candidateCrash) {
                                   return isSameCrash(candidateCrash, crash);
                               });
        };
        return candidate.digest != suspect.digest
               && std::all_of(suspect.crashes.begin(), suspect.crashes.end(), wasPresentAt);
    });
}

bool CrashRecord::mayBeSent(const RequestDigest &digest, TimePoint now) const
{
    const auto found = suspects_.find(digest);
    if (found == suspects_.end()) {
        return true;
    }
    const CrashSuspect &suspect = found->second.suspect;
    if (suspect.crashes.size() >= settings_.blockThreshold) {
        return false;
    }
    const bool suspected = suspect.crashes.size() >= settings_.suspectThreshold
                           && now - suspect.crashes.back().at <= settings_.suspicionDuration;
    return !suspected || sharesAllCrashes(suspect);
}

std::size_t CrashRecord::crashCount(const RequestDigest &digest) const
{
    const auto found = suspects_.find(digest);
    return found == suspects_.end() ? 0 : found->second.suspect.crashes.size();
}

bool CrashRecord::isKnownCursor(std::uint64_t cursor) const
{
    return cursor >= firstCursor_ && cursor <= cursor_;
}

bool CrashRecord::hasChangedSince(std::uint64_t cursor) const
{
    const std::uint64_t from = isKnownCursor(cursor) ? cursor : 0;
    return byChange_.upper_bound(from) != byChange_.end();
}

CrashRecord::Changes CrashRecord::changedSince(std::uint64_t cursor, std::size_t maxSuspects) const
{
    const std::uint64_t from = isKnownCursor(cursor) ? cursor : 0;
    Changes changes;
    changes.cursor = cursor_;
    for (auto next = byChange_.upper_bound(from); next != byChange_.end(); ++next) {
        if (changes.suspects.size() == maxSuspects) {
            return changes;
        }
        changes.suspects.push_back(suspects_.at(next->second).suspect);
        changes.cursor = next->first;
    }
    changes.cursor = cursor_;
    return changes;
}

std::vector<CrashSuspect> CrashRecord::allSuspects() const
{
    return changedSince(0, suspects_.size()).suspects;
}

} // namespace seamarch
