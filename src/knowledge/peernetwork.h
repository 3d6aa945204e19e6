// The exchange of versions, documents and crash records between entries, and the choice of the
// entries that watch the platform.
//
// The entries of a hall are ordered by a hash of their ids. In every period, each entry exchanges
// versions with the first responsive entries of that order. Those are the watchers of the hall, and
// an entry that is one of them polls the platform. Entries with different views may choose
// different watchers, so a hall may briefly have too many or none. A superfluous watcher is
// harmless because it only reads, and an unresponsive one is skipped when its lease expires.
// Watchers also exchange with one entry of each other hall, so a hall that has lost the platform
// but can reach another hall still gets updates.
#pragma once

#include "decision/retry/crashrecord.h"
#include "knowledge/clusterstate.h"
#include "net/changenotifier.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "wire/seamarch.capnp.h"

#include <kj/async.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace seamarch {

// Wakes exchanges that wait for a change of the cluster state or of the crash record. There is one
// per process, and it must outlive the PeerServers.
class ChangeSignal final : public ClusterStateListener
{
public:
    explicit ChangeSignal(EventLoop &loop)
        : waiting_(loop)
    {}

    // Resolves at the next change or after `timeout`, whichever comes first.
    kj::Promise<void> wait(Duration timeout) { return waiting_.wait(timeout); }

    // Wakes the waiting exchanges after a change of something other than a document.
    void wake() { waiting_.notifyAll(); }

    void onConfig(const ConfigDocument & /*document*/) override { waiting_.notifyAll(); }
    void onInstances(const InstanceList & /*list*/) override { waiting_.notifyAll(); }

private:
    ChangeNotifier waiting_;
};

// Serves the `Peer` interface: exchanges, offered documents and crash warnings. Single-threaded.
class PeerServer : public virtual wire::Peer::Server
{
public:
    PeerServer(ClusterState &clusterState, ChangeSignal &changes, EventLoop &loop)
        : clusterState_(clusterState)
        , changes_(changes)
        , loop_(loop)
    {}

    kj::Promise<void> exchange(ExchangeContext context) override;
    kj::Promise<void> offer(OfferContext context) override;
    kj::Promise<void> warn(WarnContext context) override;

protected:
    // Is called with the status of the peer at the start of each exchange.
    virtual void onPeerStatus(wire::Status::Reader /*status*/) {}
    // Fills in the fields that depend on the kind of process. The versions are already set.
    virtual void fillStatus(wire::Status::Builder status) = 0;
    // Returns the record of requests that crash upstreams, or null if the process keeps none.
    virtual CrashRecord *crashRecord() { return nullptr; }

private:
    void answer(ExchangeContext context, const DocumentVersions &peer);
    void writeCrashes(ExchangeContext context);
    bool hasCrashesSince(std::uint64_t cursor);
    bool shouldRequestUpdate(const DocumentVersions &peer);

    ClusterState &clusterState_;
    ChangeSignal &changes_;
    EventLoop &loop_;
    TimePoint nextUpdateRequestAt_{};
};

// Selects the watchers of a hall: the first responsive entries in the order of a hash of their ids.
class WatcherSelector
{
public:
    // An entry is unresponsive if it has not answered for `lease`. An entry that has never answered
    // counts as contacted `startupLease` after the first request to it, so that a dead entry does
    // not delay the start.
    WatcherSelector(InstanceId self, Duration lease, Duration startupLease)
        : self_(std::move(self))
        , lease_(lease)
        , startupLease_(startupLease)
    {}

    // Sets the entries of the hall. The list may or may not include this entry.
    void setEntries(std::vector<InstanceId> entries);
    // Records that `entry` answered a request that was sent at `askedAt`.
    void onAnswer(const InstanceId &entry, TimePoint askedAt);
    // Returns the first `count` entries of the order that are not known to be unresponsive. An
    // entry without a request yet, and this entry itself, count as responsive.
    std::vector<InstanceId> watchers(std::size_t count, TimePoint now) const;
    // Records that a request was sent to `entry` at `now`. If it never answers, its lease runs from
    // the first request.
    void onRequestSent(const InstanceId &entry, TimePoint now);
    // Returns whether every other entry has answered once or exceeded `startupLease`.
    bool allContacted(TimePoint now) const;

private:
    struct RequestHistory
    {
        TimePoint firstRequestAt{};
        TimePoint lastAnsweredRequestAt{};
        bool requested = false;
        bool hasAnswered = false;
    };

    bool isUnresponsive(const InstanceId &entry, TimePoint now) const;
    bool isAwaitingFirstAnswer(const InstanceId &entry, TimePoint now) const;

    InstanceId self_;
    Duration lease_;
    Duration startupLease_;
    std::vector<InstanceId> orderedEntries_;
    std::map<InstanceId, RequestHistory> histories_;
};

// The client side of the exchange: calls the watchers of this hall and, if this entry is a watcher,
// one entry of each other hall.
class PeerNetwork final : private kj::TaskSet::ErrorHandler
{
public:
    struct Settings
    {
        InstanceId self;
        HallId hall;
        Incarnation incarnation;
        // How long the start waits for a peer that never answers.
        Duration lease = std::chrono::seconds(3);
    };

    PeerNetwork(EventLoop &loop, RawTransport &transport, ClusterState &clusterState,
                CrashRecord &crashes, const Settings &settings);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    // Updates the links to peers from the instance list.
    void setInstances(const InstanceList &list);
    // Starts an exchange with each selected peer that has none in progress. Called once per period.
    void tick();
    // Sends changes of the crash record to the watchers of this hall and to one entry of each other
    // hall, except changes that came from an exchange. Also retries, so it must be called often.
    void sendCrashWarnings();
    // Returns whether this entry should watch the platform, because it is a watcher or there is no
    // instance list yet.
    bool shouldWatchPlatform() const;
    // Returns whether every peer of the hall has answered once or exceeded `Settings::lease`, so
    // that the highest version in the hall is known.
    bool hallContacted() const;

private:
    struct Link
    {
        std::unique_ptr<RpcLink> rpc;
        bool inFlight = false;
        std::uint64_t crashCursor = 0; // Position in the crash record of the peer.
    };

    void exchangeWith(const InstanceId &entry);
    void onWarningFailed(std::uint64_t before);
    void mergeCrashes(Link &link, wire::Peer::ExchangeResults::Reader answer);
    void onAnswer(const InstanceId &entry, wire::Peer::ExchangeResults::Reader answer,
                  TimePoint askedAt);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop_;
    RawTransport &transport_;
    ClusterState &clusterState_;
    CrashRecord &crashes_;
    std::uint64_t sentCrashCursor_;        // Changes of `crashes_` up to here have been sent.
    std::uint64_t maxSentCrashCursor_ = 0; // The highest value of `sentCrashCursor_` so far.
    int failedWarnings_ = 0;               // Failed sends since the last new change.
    TimePoint nextWarningAt_{};
    Settings settings_;
    WatcherSelector watcherSelector_;
    std::map<InstanceId, Link> links_;
    std::vector<InstanceId> localHallPeers_;
    std::vector<InstanceId> remoteHallPeers_; // One entry of each other hall.
    bool hasInstanceList_ = false;
    bool askedAll_ = false;
    kj::TaskSet tasks_;
};

} // namespace seamarch
