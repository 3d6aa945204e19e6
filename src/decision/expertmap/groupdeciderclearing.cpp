// The part of GroupDecider that detects arms and holds left by other deciders and starts clearing
// them.
#include "decision/expertmap/groupdecider.h"
#include "decision/expertmap/mapversion.h"

#include <algorithm>
#include <utility>

namespace seamarch {

// Returns the only rank without a current report; nothing if there is none or more than one.
std::optional<std::uint32_t> GroupDecider::soleSilentRank(TimePoint now) const
{
    std::optional<std::uint32_t> silent;
    for (std::uint32_t number = 0; number < size_; ++number) {
        const auto found = ranks_.find(number);
        if (found != ranks_.end() && isCurrent(found->second, now)) {
            continue;
        }
        if (silent) {
            return std::nullopt;
        }
        silent = number;
    }
    return silent;
}

bool GroupDecider::isForeign(const RankReport &report) const
{
    const bool ownArm = committed_ && report.armed == version_;
    return (report.armed != 0 && !ownArm) || report.held.has_value();
}

void GroupDecider::checkForeignState(TimePoint now)
{
    const bool foreign = std::any_of(ranks_.begin(), ranks_.end(), [this](const auto &entry) {
        return isForeign(entry.second.report);
    });
    checkSilentRank(foreign, now);
    if (!foreign) {
        foreignSince_.reset();
        return;
    }
    foreignSince_ = foreignSince_.value_or(
        std::exchange(settings_.predecessorLastSeenAt, std::nullopt).value_or(now));
    if (now - *foreignSince_ >= settings_.foreignTimeout && allRanksCurrent(now)) {
        foreignSince_.reset();
        startClearing(now);
    }
}

// Returns whether the change in progress can be cleared without the silent rank: that rank is armed
// last, and this agent has forwarded no arm, so its own confirmation is still missing. An agent
// that has armed the silent rank itself with an earlier map cannot.
bool GroupDecider::canClearWithout(std::uint32_t silent) const
{
    const auto own = ranks_.find(settings_.ownRank);
    if (own == ranks_.end() || settings_.epochOfUnresolvedArms == epoch_) {
        return false;
    }
    const std::uint64_t version = own->second.report.unarmedVersion;
    const bool named = version != 0 && rankArmedLast(version) == silent;
    return named && std::all_of(ranks_.begin(), ranks_.end(), [&](const auto &entry) {
               const RankReport &report = entry.second.report;
               const bool ofChange = report.armed == 0 || report.armed == version;
               return entry.first == silent || (report.prepared == version && ofChange);
           });
}

void GroupDecider::checkSilentRank(bool foreign, TimePoint now)
{
    const auto silent = foreign ? soleSilentRank(now) : std::nullopt;
    if (!silent || *silent == settings_.ownRank || !canClearWithout(*silent)) {
        silentSince_.reset();
        return;
    }
    silentSince_ = silentSince_.value_or(now);
    if (now - *silentSince_ >= settings_.silentRankTimeout) {
        silentSince_.reset();
        startClearing(now, silent);
    }
}

// Places a new hold even if the own rank should already hold a step: another decider with a higher
// fence may have released that hold and may be changing the map now.
void GroupDecider::startClearing(TimePoint now, std::optional<std::uint32_t> excluded)
{
    excludedRank_ = excluded;
    clearing_ = true;
    committed_ = false;
    raiseFence();
    chooseStep();
    chooseHolder();
    enterPhase(Phase::Holding, now);
}

} // namespace seamarch
