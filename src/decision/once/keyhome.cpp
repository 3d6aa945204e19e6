#include "decision/once/keyhome.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace seamarch {
namespace {

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

int hexDigit(char letter)
{
    if (letter >= '0' && letter <= '9') {
        return letter - '0';
    }
    const char lower = static_cast<char>(letter | 0x20);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

MemberSet makeMemberSet(std::vector<InstanceId> members)
{
    std::sort(members.begin(), members.end());
    members.erase(std::unique(members.begin(), members.end()), members.end());
    MemberSet set;
    set.hash = members.size();
    for (const InstanceId &member : members) {
        set.hash = hashText(member.value(), set.hash);
    }
    set.members = std::move(members);
    return set;
}

std::optional<InstanceId> rendezvousHome(const MemberSet &set, std::string_view key)
{
    std::optional<InstanceId> best;
    std::uint64_t bestHash = 0;
    const std::uint64_t keyHash = hashText(key, 0);
    for (const InstanceId &member : set.members) {
        const std::uint64_t hash = hashText(member.value(), keyHash);
        if (!best || hash > bestHash) {
            best = member;
            bestHash = hash;
        }
    }
    return best;
}

std::optional<UnixMillis> uuidV7Time(std::string_view key)
{
    // The format is xxxxxxxx-xxxx-7xxx-yxxx-xxxxxxxxxxxx; the first 48 bits are the timestamp.
    constexpr std::size_t kUuidLength = 36;
    constexpr std::size_t kVersionAt = 14;
    constexpr std::size_t kTimeDigits = 12;
    if (key.size() != kUuidLength || key[kVersionAt] != '7') {
        return std::nullopt;
    }
    std::int64_t millis = 0;
    std::size_t digits = 0;
    for (std::size_t index = 0; index < key.size(); ++index) {
        const bool dash = index == 8 || index == 13 || index == 18 || index == 23;
        const int digit = dash ? 0 : hexDigit(key[index]);
        if (digit < 0 || (dash && key[index] != '-')) {
            return std::nullopt;
        }
        if (!dash && digits < kTimeDigits) {
            millis = millis * 16 + digit;
            ++digits;
        }
    }
    return UnixMillis(millis);
}

bool GrantIssuer::grant(std::uint64_t set, TimePoint now)
{
    if (set != grantedSet_ && now < exclusiveUntil_) {
        return false;
    }
    grantedSet_ = set;
    exclusiveUntil_ = now + lease_;
    return true;
}

KeyHome::KeyHome(InstanceId self, Settings settings)
    : self_(std::move(self))
    , settings_(settings)
{}

void KeyHome::setMembers(MemberSet set)
{
    if (set.hash == set_.hash) {
        return;
    }
    set_ = std::move(set);
    grantedUntil_.clear();
    active_ = false;
}

void KeyHome::onGrant(const InstanceId &member, std::uint64_t set, TimePoint requestedAt,
                      TimePoint now, UnixMillis wall)
{
    if (set != set_.hash) {
        return;
    }
    // Another home may have accepted keys while a lease was expired, so `minKeyTime_` is set anew.
    if (active_ && !holdsAllGrants(now)) {
        active_ = false;
    }
    TimePoint &until = grantedUntil_[member];
    until = std::max(until, requestedAt + settings_.lease);
    if (!active_ && holdsAllGrants(now)) {
        active_ = true;
        minKeyTime_ = wall + settings_.clockMargin;
    }
}

bool KeyHome::holdsAllGrants(TimePoint now) const
{
    if (set_.members.empty()) {
        return false;
    }
    return std::all_of(set_.members.begin(), set_.members.end(), [&](const InstanceId &member) {
        const auto found = grantedUntil_.find(member);
        return found != grantedUntil_.end() && now < found->second;
    });
}

std::string scopedKey(const AccountId &account, std::string_view key)
{
    return account.value() + '/' + std::string(key);
}

KeyVerdict KeyHome::accept(const AccountId &account, std::string_view key, TimePoint now,
                           UnixMillis wall)
{
    const std::string scoped = scopedKey(account, key);
    if (acceptedKeys_.contains(scoped)) {
        return KeyVerdict::SeenBefore;
    }
    const auto time = uuidV7Time(key);
    const bool membersFresh = now - membersConfirmedAt_ < settings_.maxMembersAge;
    if (!time || !active_ || !membersFresh || !holdsAllGrants(now)) {
        return KeyVerdict::Unsure;
    }
    if (rendezvousHome(set_, scoped) != self_) {
        return KeyVerdict::NotHome;
    }
    // A key with a future timestamp would be accepted by a later home as well.
    if (*time <= minKeyTime_ || *time > wall + settings_.clockMargin) {
        return KeyVerdict::Unsure;
    }
    record(scoped, *time);
    return KeyVerdict::Accept;
}

void KeyHome::record(std::string scoped, UnixMillis time)
{
    acceptedKeys_.insert(scoped);
    insertionOrder_.emplace_back(time, std::move(scoped));
    while (insertionOrder_.size() > settings_.maxKeys) {
        // An evicted key must still be refused, so `minKeyTime_` advances to its time.
        minKeyTime_ = std::max(minKeyTime_, insertionOrder_.front().first);
        acceptedKeys_.erase(insertionOrder_.front().second);
        insertionOrder_.pop_front();
    }
}

void KeyHome::withdraw(const AccountId &account, std::string_view key)
{
    acceptedKeys_.erase(scopedKey(account, key));
}

} // namespace seamarch
