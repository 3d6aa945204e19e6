// What entries tell each other, and which of them watch the platform.
//
// The entries of a hall are put in an order by rendezvous hash. Each entry exchanges versions every
// period with the first entries of that order that answer; those are the hall's watchers, and an
// entry that finds itself among them watches the platform. Two entries with different views may
// both watch or both take another for the watcher; a double watcher is harmless, since it only
// reads, and a silent one is skipped after its lease. Watchers also exchange with one entry of each
// other hall, so that a hall that is cut off from the platform but not from its neighbours still
// learns.
#pragma once

#include "decision/retry/crashrecord.h"
#include "knowledge/clusterstate.h"
#include "net/eventloop.h"
#include "net/rawtransport.h"
#include "net/rpclink.h"
#include "net/wakelist.h"
#include "wire/seamarch.capnp.h"

#include <kj/async.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace seamarch {

// Lets exchanges wait for a change of what this process knows. One per process; it outlives the
// serving ends.
class ChangeSignal final : public ClusterStateListener
{
public:
    explicit ChangeSignal(EventLoop &loop)
        : waiting_(loop)
    {}

    // Resolves at the next change, or after `longest`.
    kj::Promise<void> wait(Duration timeout) { return waiting_.wait(timeout); }

    // Something else that exchanges wait for has changed.
    void wake() { waiting_.wakeAll(); }

    void onConfig(const ConfigDocument & /*document*/) override { waiting_.wakeAll(); }
    void onInstances(const InstanceList & /*list*/) override { waiting_.wakeAll(); }

private:
    WakeList waiting_;
};

// The answering side of the exchange between processes.
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
    // A peer has told its status.
    virtual void onPeerStatus(wire::Status::Reader /*status*/) {}
    // Fills what is particular to the process; versions are filled already.
    virtual void fillStatus(wire::Status::Builder status) = 0;
    // What the process knows of requests that end upstreams; nothing: it keeps no record of them.
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

// Decides who among the entries of a hall should be asked, in order.
class WatcherSelector
{
public:
    // A watcher is silent when it has not answered for `lease`. At the start an entry that has
    // never answered counts as heard after `startupLease`, so that a dead one does not hold the
    // start up.
    WatcherSelector(InstanceId self, Duration lease, Duration startupLease)
        : self_(std::move(self))
        , lease_(lease)
        , startLease_(startupLease)
    {}

    // Takes the entries of the hall, this one included or not.
    void setEntries(std::vector<InstanceId> entries);
    void onAnswer(const InstanceId &entry, TimePoint askedAt);
    // Returns the first `count` entries of the order that answer, or have not been asked long
    // enough to be found silent. The entry itself counts as one that answers.
    std::vector<InstanceId> watchers(std::size_t count, TimePoint now) const;
    // Notes that `entry` is asked at `now`; it is found silent if it does not answer in a lease.
    void onRequestSent(const InstanceId &entry, TimePoint now);
    // Tells whether every listed entry has answered once, or was found silent.
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
    Duration startLease_;
    std::vector<InstanceId> order_;
    std::map<InstanceId, RequestHistory> histories_;
};

// The asking side: exchanges with peer entries every period.
class PeerNetwork final : private kj::TaskSet::ErrorHandler
{
public:
    struct Settings
    {
        InstanceId self;
        HallId hall;
        Incarnation incarnation;
        Duration lease = std::chrono::seconds(3);
    };

    PeerNetwork(EventLoop &loop, RawTransport &transport, ClusterState &clusterState,
                CrashRecord &crashes, const Settings &settings);
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    // Takes the instance list.
    void setInstances(const InstanceList &list);
    // Exchanges with those whose turn it is.
    void tick();
    // Tells those whom others ask, in the own hall and elsewhere, what has changed of requests that
    // end upstreams, unless they told it. Call it often.
    void sendCrashWarnings();
    // Tells whether this entry should watch the platform.
    bool shouldWatchPlatform() const;
    // Tells whether the peers of the hall have been asked, so that the highest version is known.
    bool hallContacted() const;

private:
    struct Link
    {
        std::unique_ptr<RpcLink> rpc;
        bool inFlight = false;
        std::uint64_t crashCursor = 0; // Of what it has told of requests that end upstreams.
    };

    void exchangeWith(const InstanceId &entry);
    void onWarnFailed(std::uint64_t before);
    void mergeCrashes(Link &link, wire::Peer::ExchangeResults::Reader answer);
    void onAnswer(const InstanceId &entry, wire::Peer::ExchangeResults::Reader answer,
                  TimePoint askedAt);
    void taskFailed(kj::Exception &&exception) override;

    EventLoop &loop_;
    RawTransport &transport_;
    ClusterState &clusterState_;
    CrashRecord &crashes_;
    std::uint64_t sentCrashCursor_;        // A cursor of that record.
    std::uint64_t maxSentCrashCursor_ = 0; // The highest that it ever was.
    int failedWarnings_ = 0;               // That failed, since there was news.
    TimePoint nextWarningAt_{};
    Settings settings_;
    WatcherSelector order_;
    std::map<InstanceId, Link> links_;
    std::vector<InstanceId> localHallPeers_;
    std::vector<InstanceId> remoteHallPeers_; // One of each other hall.
    bool hasInstanceList_ = false;
    bool askedAll_ = false;
    kj::TaskSet tasks_;
};

} // namespace seamarch
