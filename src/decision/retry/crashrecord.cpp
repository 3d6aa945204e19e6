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
// The maximum number of crashes kept per suspect. It exceeds the thresholds because several of them
// may be simultaneous.
constexpr std::size_t kMaxCrashes = 8;

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

CrashRecord::CrashRecord(const Settings &settings)
    : settings_(settings)
    , firstCursor_((settings.seed >> kCursorSpareBits) + 1)
    , cursor_(firstCursor_)
    , partHistory_(settings.maxKnownParts)
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
    byChange_.emplace(entry.changedAt, entry.suspect.key);
}

void CrashRecord::onUpstreamCrashed(const SuspectKey &key, const AccountId &account,
                                    const InstanceId &upstream, TimePoint at)
{
    CrashSuspect observed;
    observed.key = key;
    observed.account = hashOf(account.value());
    observed.crashes.push_back({hashOf(upstream.value()), at});
    merge(observed);
}

void CrashRecord::onRequestCompleted(const SuspectKey &request, TimePoint now)
{
    clear(request, now);
}

void CrashRecord::onPartRequested(const SuspectKey &part)
{
    partHistory_.recordRequest(part);
}

void CrashRecord::onPartAnswered(const SuspectKey &part, TimePoint now)
{
    partHistory_.recordAnswer(part, now);
    lastAnswerAt_ = now;
    const auto found = suspects_.find(part);
    // All gateways answer a common part all the time; only the first answer is news to the others.
    if (found != suspects_.end() && !isTrusted(found->second.suspect)) {
        clear(part, now);
    }
}

void CrashRecord::clear(const SuspectKey &key, TimePoint lastCompletedAt)
{
    const auto found = suspects_.find(key);
    if (found == suspects_.end() || found->second.suspect.crashes.empty()) {
        return;
    }
    if (clearCrashes(found->second.suspect, lastCompletedAt)) {
        markChanged(found->second);
    }
}

// Adds this gateway's last answer to the record of a part that no other gateway has vouched for.
// Returns whether the record has changed.
bool CrashRecord::recallAnswer(CrashSuspect &suspect)
{
    if (suspect.key.kind != SuspectKind::PromptPart) {
        return false;
    }
    const auto answeredAt = partHistory_.lastAnsweredAt(suspect.key);
    const bool changed = answeredAt && !isTrusted(suspect) && clearCrashes(suspect, *answeredAt);
    if (suspect.lastCompletedAt) {
        lastAnswerAt_ = std::max(lastAnswerAt_, suspect.lastCompletedAt);
    }
    return changed;
}

void CrashRecord::merge(const CrashSuspect &suspect)
{
    if (settings_.retention <= Duration{}
        || (suspect.crashes.empty() && !suspect.lastCompletedAt)) {
        return;
    }
    const auto [found, isNew] = suspects_.try_emplace(suspect.key);
    Entry &entry = found->second;
    if (isNew) {
        entry.suspect.key = suspect.key;
        entry.suspect.account = suspect.account;
    }
    bool changed = isNew;
    if (suspect.lastCompletedAt && clearCrashes(entry.suspect, *suspect.lastCompletedAt)) {
        changed = true;
    }
    for (const UpstreamCrash &crash : suspect.crashes) {
        changed = addCrash(entry.suspect, crash) || changed;
    }
    changed = recallAnswer(entry.suspect) || changed;
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
    for (const auto &[key, entry] : suspects_) {
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
    for (const auto &[key, entry] : suspects_) {
        const bool fits = entry.suspect.account == account;
        if (fits && (least == nullptr || rank(entry) < rank(*least))) {
            least = &entry;
        }
    }
    if (least != nullptr) {
        byChange_.erase(least->changedAt);
        suspects_.erase(SuspectKey(least->suspect.key));
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

bool CrashRecord::wasPresentAt(const CrashSuspect &suspect, const UpstreamCrash &crash) const
{
    return std::any_of(suspect.crashes.begin(), suspect.crashes.end(),
                       [&](const UpstreamCrash &other) { return isSameCrash(other, crash); });
}

// Returns whether the suspect is a part that was answered not long before its last crash.
bool CrashRecord::isTrusted(const CrashSuspect &suspect) const
{
    return suspect.key.kind == SuspectKind::PromptPart && suspect.lastCompletedAt
           && !suspect.crashes.empty()
           && suspect.crashes.back().at - *suspect.lastCompletedAt <= settings_.partTrust;
}

// Returns whether another suspect that meets the condition was present at all crashes of this one.
template <typename Condition>
bool CrashRecord::sharesAllCrashes(const CrashSuspect &suspect, Condition isAlternative) const
{
    return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto &other) {
        const CrashSuspect &candidate = other.second.suspect;
        return candidate.key != suspect.key && isAlternative(candidate)
               && std::all_of(
                   suspect.crashes.begin(), suspect.crashes.end(),
                   [&](const UpstreamCrash &crash) { return wasPresentAt(candidate, crash); });
    });
}

bool CrashRecord::sharedByRequest(const CrashSuspect &suspect) const
{
    return sharesAllCrashes(suspect, [](const CrashSuspect &candidate) {
        return candidate.key.kind == SuspectKind::Request;
    });
}

// Returns whether a part with fewer requests was present at all crashes of this one; if `orAsRare`,
// also one with as many.
bool CrashRecord::sharedByRarerPart(const CrashSuspect &part, bool orAsRare) const
{
    const std::uint64_t requests = partHistory_.requests(part.key);
    return sharesAllCrashes(part, [&](const CrashSuspect &candidate) {
        const std::uint64_t others = partHistory_.requests(candidate.key);
        return candidate.key.kind == SuspectKind::PromptPart && !isTrusted(candidate)
               && (others < requests || (orAsRare && others == requests));
    });
}

// Returns whether any part was answered not long before the last crash of this one.
bool CrashRecord::othersWereAnswered(const CrashSuspect &part) const
{
    return lastAnswerAt_ && part.crashes.back().at - *lastAnswerAt_ <= settings_.partTrust;
}

// Returns the number of crashes of a part. Simultaneous ones count as one.
std::size_t CrashRecord::countSeparateCrashes(const CrashSuspect &part) const
{
    std::size_t count = 0;
    std::optional<TimePoint> lastAt;
    for (const UpstreamCrash &crash : part.crashes) {
        if (!lastAt || crash.at - *lastAt > settings_.simultaneousWindow) {
            lastAt = crash.at;
            ++count;
        }
    }
    return count;
}

bool CrashRecord::isRecent(const CrashSuspect &suspect, TimePoint now) const
{
    return now - suspect.crashes.back().at <= settings_.suspicionDuration;
}

bool CrashRecord::requestMayBeSent(const CrashSuspect &request, TimePoint now) const
{
    if (request.crashes.size() >= settings_.blockThreshold) {
        return false;
    }
    return request.crashes.size() < settings_.suspectThreshold || !isRecent(request, now)
           || sharedByRequest(request);
}

bool CrashRecord::partMayBeSent(const CrashSuspect &part, TimePoint now) const
{
    if (part.crashes.size() < settings_.suspectThreshold || isTrusted(part)) {
        return true;
    }
    const std::size_t count = countSeparateCrashes(part);
    const bool hasContrast = othersWereAnswered(part);
    if (count >= settings_.blockThreshold) {
        const bool isUnclear =
            !hasContrast && (!isRecent(part, now) || partHistory_.isCommon(part.key));
        return isUnclear || sharedByRequest(part) || sharedByRarerPart(part, false);
    }
    return count < settings_.suspectThreshold || !hasContrast || !isRecent(part, now)
           || sharedByRarerPart(part, true);
}

bool CrashRecord::mayBeSent(const SuspectKey &key, TimePoint now) const
{
    const auto found = suspects_.find(key);
    if (found == suspects_.end()) {
        return true;
    }
    const CrashSuspect &suspect = found->second.suspect;
    return key.kind == SuspectKind::Request ? requestMayBeSent(suspect, now)
                                            : partMayBeSent(suspect, now);
}

std::size_t CrashRecord::crashCount(const SuspectKey &key) const
{
    const auto found = suspects_.find(key);
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
