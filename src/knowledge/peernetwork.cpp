#include "knowledge/peernetwork.h"

#include "base/log.h"
#include "net/crashwire.h"
#include "net/wireconvert.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace seamarch {
namespace {

constexpr std::size_t kWatchersPerHall = 2;
// An exchange with a watcher is held until something changes, so that changes spread at once with
// few exchanges.
constexpr Duration kExchangeWait = std::chrono::seconds(5);
constexpr Duration kMaxExchangeWait = std::chrono::seconds(10);
constexpr Duration kWatcherLease = std::chrono::seconds(12);
// A crash warning that failed is retried every 500 ms for a few seconds. By then a watcher that
// is gone has been replaced, or no entry calls it any more.
constexpr Duration kWarningRetryDelay = std::chrono::milliseconds(500);
constexpr int kMaxWarningRetries = 8;
constexpr Duration kUpdateRequestInterval = std::chrono::milliseconds(300);

std::uint64_t selectionHash(const InstanceId &entry)
{
    return XXH3_64bits(entry.value().data(), entry.value().size());
}

} // namespace

kj::Promise<void> PeerServer::exchange(ExchangeContext context)
{
    const DocumentVersions peer = readVersions(context.getParams().getStatus());
    clusterState_.observePeerVersions(peer);
    onPeerStatus(context.getParams().getStatus());
    const Duration wait(context.getParams().getWaitMicros());
    const DocumentUpdates updates = clusterState_.updatesFor(peer);
    const bool nothingNew = !updates.config && !updates.list && !clusterState_.isBehind(peer)
                            && !hasCrashesSince(context.getParams().getCrashCursor());
    if (wait <= Duration{} || !nothingNew) {
        answer(context, peer);
        return kj::READY_NOW;
    }
    // If the connection closes while the exchange waits, the call is dropped with it.
    return changes_.wait(std::min(wait, kMaxExchangeWait)).then([this, context, peer]() mutable {
        answer(context, peer);
    });
}

void PeerServer::answer(ExchangeContext context, const DocumentVersions &peer)
{
    auto results = context.getResults();
    const DocumentUpdates updates = clusterState_.updatesFor(peer);
    writeUpdate(updates.config, results.initConfig());
    writeUpdate(updates.list, results.initList());
    auto status = results.initStatus();
    writeVersions(clusterState_.versions(), status);
    status.setClockMicros(loop_.now().time_since_epoch().count());
    status.setListAgeMicros(clusterState_.listAge(loop_.now()).count());
    status.setWantsUpdate(shouldRequestUpdate(peer));
    fillStatus(status);
    writeCrashes(context);
}

bool PeerServer::hasCrashesSince(std::uint64_t cursor)
{
    const CrashRecord *record = crashRecord();
    return record != nullptr && record->hasChangedSince(cursor);
}

void PeerServer::writeCrashes(ExchangeContext context)
{
    const CrashRecord *record = crashRecord();
    if (record == nullptr) {
        return;
    }
    const CrashRecord::Changes changes =
        record->changedSince(context.getParams().getCrashCursor(), kMaxSuspectsPerMessage);
    auto results = context.getResults();
    results.setCrashCursor(changes.cursor);
    auto list = results.initCrashes(static_cast<std::uint32_t>(changes.suspects.size()));
    for (std::uint32_t index = 0; index < list.size(); ++index) {
        writeSuspect(changes.suspects[index], loop_.now(), list[index]);
    }
}

kj::Promise<void> PeerServer::warn(WarnContext context)
{
    if (CrashRecord *record = crashRecord()) {
        mergeSuspects(context.getParams().getCrashes(), loop_.now(), *record);
    }
    return kj::READY_NOW;
}

bool PeerServer::shouldRequestUpdate(const DocumentVersions &peer)
{
    // Many peers report the same new version; only one request for it is made per interval.
    const TimePoint now = loop_.now();
    if (!clusterState_.isBehind(peer) || now < nextUpdateRequestAt_) {
        return false;
    }
    nextUpdateRequestAt_ = now + kUpdateRequestInterval;
    return true;
}

kj::Promise<void> PeerServer::offer(OfferContext context)
{
    const auto params = context.getParams();
    clusterState_.apply({readUpdate(params.getConfig()), readUpdate(params.getList())});
    auto status = context.getResults().initStatus();
    writeVersions(clusterState_.versions(), status);
    fillStatus(status);
    return kj::READY_NOW;
}

void WatcherSelector::setEntries(std::vector<InstanceId> entries)
{
    orderedEntries_ = std::move(entries);
    std::sort(orderedEntries_.begin(), orderedEntries_.end(),
              [](const InstanceId &left, const InstanceId &right) {
                  return std::pair(selectionHash(left), left)
                         < std::pair(selectionHash(right), right);
              });
    std::erase_if(histories_, [this](const auto &entry) {
        return std::find(orderedEntries_.begin(), orderedEntries_.end(), entry.first)
               == orderedEntries_.end();
    });
}

void WatcherSelector::onRequestSent(const InstanceId &entry, TimePoint now)
{
    RequestHistory &history = histories_[entry];
    if (!history.requested) {
        history.requested = true;
        history.firstRequestAt = now;
    }
}

void WatcherSelector::onAnswer(const InstanceId &entry, TimePoint askedAt)
{
    RequestHistory &history = histories_[entry];
    history.hasAnswered = true;
    history.lastAnsweredRequestAt = std::max(history.lastAnsweredRequestAt, askedAt);
}

bool WatcherSelector::isUnresponsive(const InstanceId &entry, TimePoint now) const
{
    const auto found = histories_.find(entry);
    if (found == histories_.end() || !found->second.requested) {
        return false;
    }
    const RequestHistory &history = found->second;
    const TimePoint since =
        history.hasAnswered ? history.lastAnsweredRequestAt : history.firstRequestAt;
    return now - since > lease_;
}

std::vector<InstanceId> WatcherSelector::watchers(std::size_t count, TimePoint now) const
{
    std::vector<InstanceId> found;
    for (const InstanceId &entry : orderedEntries_) {
        if (found.size() < count && (entry == self_ || !isUnresponsive(entry, now))) {
            found.push_back(entry);
        }
    }
    return found;
}

bool WatcherSelector::isAwaitingFirstAnswer(const InstanceId &entry, TimePoint now) const
{
    const auto found = histories_.find(entry);
    if (found == histories_.end() || !found->second.requested) {
        return true;
    }
    return !found->second.hasAnswered && now - found->second.firstRequestAt <= startupLease_;
}

bool WatcherSelector::allContacted(TimePoint now) const
{
    return std::all_of(orderedEntries_.begin(), orderedEntries_.end(),
                       [&](const InstanceId &entry) {
                           return entry == self_ || !isAwaitingFirstAnswer(entry, now);
                       });
}

PeerNetwork::PeerNetwork(EventLoop &loop, RawTransport &transport, ClusterState &clusterState,
                         CrashRecord &crashes, const Settings &settings)
    : loop_(loop)
    , transport_(transport)
    , clusterState_(clusterState)
    , crashes_(crashes)
    , sentCrashCursor_(crashes.cursor())
    , settings_(settings)
    , watcherSelector_(settings.self, kWatcherLease, settings.lease)
    , tasks_(*this)
{}

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::taskFailed(kj::Exception &&exception)
{
    logLine(LogLevel::Debug, "peer.task-failed", {{"message", exception.getDescription().cStr()}});
}

void PeerNetwork::setInstances(const InstanceList &list)
{
    hasInstanceList_ = true;
    localHallPeers_.clear();
    remoteHallPeers_.clear();
    std::set<HallId> remoteHalls;
    std::set<InstanceId> keptEntries;
    std::vector<InstanceId> hallEntries;
    for (const InstanceRecord &record : list.instances) {
        if (record.role != InstanceRole::Entry || record.state == InstanceState::Leaving) {
            continue;
        }
        const bool isInOwnHall = record.hall == settings_.hall;
        if (isInOwnHall) {
            hallEntries.push_back(record.id);
        }
        if (record.id == settings_.self
            || (!isInOwnHall && !remoteHalls.insert(record.hall).second)) {
            continue;
        }
        (isInOwnHall ? localHallPeers_ : remoteHallPeers_).push_back(record.id);
        keptEntries.insert(record.id);
        const SocketAddress address{record.address, record.port};
        Link &link = links_[record.id];
        if (link.rpc == nullptr || link.rpc->address() != address) {
            link.rpc = std::make_unique<RpcLink>(loop_, transport_, address);
            link.inFlight = false;
        }
    }
    watcherSelector_.setEntries(std::move(hallEntries));
    std::erase_if(links_,
                  [&keptEntries](const auto &entry) { return !keptEntries.contains(entry.first); });
}

void PeerNetwork::tick()
{
    if (!hasInstanceList_) {
        return;
    }
    const TimePoint now = loop_.now();
    // At the start, all peers of the hall are called, because any of them may have the highest
    // version.
    std::vector<InstanceId> targets =
        hallContacted() ? watcherSelector_.watchers(kWatchersPerHall, now) : localHallPeers_;
    if (shouldWatchPlatform()) {
        targets.insert(targets.end(), remoteHallPeers_.begin(), remoteHallPeers_.end());
    }
    for (const InstanceId &entry : targets) {
        if (entry != settings_.self) {
            exchangeWith(entry);
        }
    }
}

// Merges the crashes of an answer. If nothing else is unsent, marks them as sent, because the peers
// that this entry calls distribute them themselves.
void PeerNetwork::mergeCrashes(Link &link, wire::Peer::ExchangeResults::Reader answer)
{
    const bool allSent = sentCrashCursor_ == crashes_.cursor();
    mergeSuspects(answer.getCrashes(), loop_.now(), crashes_);
    link.crashCursor = answer.getCrashCursor();
    if (allSent) {
        sentCrashCursor_ = crashes_.cursor();
    }
}

void PeerNetwork::sendCrashWarnings()
{
    const TimePoint now = loop_.now();
    if (!hasInstanceList_ || now < nextWarningAt_ || !crashes_.hasChangedSince(sentCrashCursor_)) {
        return;
    }
    const std::uint64_t before = sentCrashCursor_;
    const CrashRecord::Changes changes = crashes_.changedSince(before, kMaxSuspectsPerMessage);
    failedWarnings_ = changes.cursor > maxSentCrashCursor_ ? 0 : failedWarnings_;
    sentCrashCursor_ = changes.cursor;
    maxSentCrashCursor_ = std::max(maxSentCrashCursor_, changes.cursor);
    std::vector<InstanceId> targets = watcherSelector_.watchers(kWatchersPerHall, now);
    targets.insert(targets.end(), remoteHallPeers_.begin(), remoteHallPeers_.end());
    for (const InstanceId &entry : targets) {
        const auto link = links_.find(entry);
        if (link == links_.end()) {
            continue; // This entry itself.
        }
        auto request = link->second.rpc->capability().castAs<wire::Peer>().warnRequest();
        auto list = request.initCrashes(static_cast<std::uint32_t>(changes.suspects.size()));
        for (std::uint32_t index = 0; index < list.size(); ++index) {
            writeSuspect(changes.suspects[index], now, list[index]);
        }
        tasks_.add(request.send().ignoreResult().catch_(
            [this, before](kj::Exception && /*error*/) { onWarningFailed(before); }));
    }
}

// Schedules a retry from the cursor `before`. The retry may reach an entry that has replaced one
// that is gone; entries that already have the changes merge them without effect.
void PeerNetwork::onWarningFailed(std::uint64_t before)
{
    if (failedWarnings_ < kMaxWarningRetries) {
        ++failedWarnings_;
        sentCrashCursor_ = std::min(sentCrashCursor_, before);
        nextWarningAt_ = loop_.now() + kWarningRetryDelay;
    }
}

bool PeerNetwork::shouldWatchPlatform() const
{
    if (!hasInstanceList_) {
        return true;
    }
    const auto watchers = watcherSelector_.watchers(kWatchersPerHall, loop_.now());
    return std::find(watchers.begin(), watchers.end(), settings_.self) != watchers.end();
}

bool PeerNetwork::hallContacted() const
{
    return hasInstanceList_ && watcherSelector_.allContacted(loop_.now());
}

void PeerNetwork::exchangeWith(const InstanceId &entry)
{
    const auto found = links_.find(entry);
    if (found == links_.end() || found->second.inFlight) {
        return;
    }
    Link &link = found->second;
    const TimePoint askedAt = loop_.now();
    watcherSelector_.onRequestSent(entry, askedAt);
    link.inFlight = true;
    auto request = link.rpc->capability().castAs<wire::Peer>().exchangeRequest();
    auto status = request.initStatus();
    status.setInstance(settings_.self.value());
    status.setIncarnation(settings_.incarnation.value());
    writeVersions(clusterState_.versions(), status);
    request.setCrashCursor(link.crashCursor);
    request.setWaitMicros(hallContacted() ? kExchangeWait.count() : 0);
    tasks_.add(request.send().then(
        [this, entry, askedAt](capnp::Response<wire::Peer::ExchangeResults> &&answer) {
            onAnswer(entry, answer, askedAt);
        },
        [this, entry](kj::Exception && /*error*/) {
            const auto failed = links_.find(entry);
            if (failed != links_.end()) {
                failed->second.inFlight = false;
            }
        }));
}

void PeerNetwork::onAnswer(const InstanceId &entry, wire::Peer::ExchangeResults::Reader answer,
                           TimePoint askedAt)
{
    const auto found = links_.find(entry);
    if (found != links_.end()) {
        found->second.inFlight = false;
        mergeCrashes(found->second, answer);
    }
    watcherSelector_.onAnswer(entry, askedAt);
    const DocumentVersions known = readVersions(answer.getStatus());
    clusterState_.observePeerVersions(known);
    const Duration listAge(answer.getStatus().getListAgeMicros());
    if (listAge >= Duration{} && known.list == clusterState_.versions().list) {
        clusterState_.confirmList(askedAt - listAge);
    }
    // `apply` comes last, because a new instance list may remove links and invalidate `found`.
    const bool wantsUpdate = answer.getStatus().getWantsUpdate();
    if (wantsUpdate && found != links_.end()) {
        const DocumentUpdates updates = clusterState_.updatesFor(known);
        auto request = found->second.rpc->capability().castAs<wire::Peer>().offerRequest();
        writeUpdate(updates.config, request.initConfig());
        writeUpdate(updates.list, request.initList());
        tasks_.add(request.send().ignoreResult());
    }
    clusterState_.apply({readUpdate(answer.getConfig()), readUpdate(answer.getList())});
}

} // namespace seamarch
