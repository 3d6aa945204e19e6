// The upstreams that a gateway may send requests to, as the platform's store lists them.
//
// An upstream that is leaving, or that the store no longer lists, gets nothing new. One exception:
// while the store is away, the records of living upstreams may lapse. A record that vanishes around
// an outage is therefore kept in use for a short time, in which a living upstream lists itself
// again; after that it is gone.
//
// An address belongs to the upstream that was listed there last: the one before has ended, though
// its record may stay for some seconds. After the loss of all machines every address is listed
// twice, and half of the requests would go to instances that are gone.
//
// Nor do the upstreams of a hall that the operators drain, until they take that back; what is under
// way there goes on.
//
// An upstream may say that it leaves in its own answers, before the store does or while the store
// cannot be heard; its word goes before any list (LeavingUpstreams).
//
// Pure and single-threaded.
#pragma once

#include "decision/gateway/leavingupstreams.h"
#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace seamarch {

// One upstream, as it is listed. It may start again under its id; `start` then tells the two apart.
struct UpstreamRecord
{
    InstanceId id;
    TargetName service;
    std::string host; // An IP number.
    int port = 0;
    HallId hall;
    std::uint32_t slots = 1; // Requests that it runs at once.
    bool leaving = false;
    // Rises from record to record in the order in which the store has taken them; zero: not known,
    // as of records that a gateway of an earlier version has handed on.
    std::uint64_t listedAt = 0;
    // The store's revision at which the entry was created; zero: not known. It names the entry,
    // also in an older copy of the store, whose revisions have no order with those before.
    std::uint64_t createdAt = 0;
    UpstreamStart start;
    // How long it still warmed up when it wrote its entry; nothing: the entry does not tell.
    std::optional<Duration> warmUpLeft;
    TimePoint warmAt{}; // It is warm from then on, at the latest.

    bool operator==(const UpstreamRecord &) const = default;
};

// Tells whether `listed` shows a later start of an upstream than the one that was known by `start`
// and listed at `listedAt`. Where either start is not told it shows none. A host's clock may have
// been set back between two starts: then the order in which the store has taken them decides.
bool isLaterStart(const UpstreamRecord &listed, UpstreamStart start, std::uint64_t listedAt);

class UpstreamTable
{
public:
    struct Settings
    {
        // How long a record that vanished around an outage of the store stays in use: living
        // upstreams are listed again about two seconds after the store is back, and one that has
        // really left must get nothing after two seconds either.
        Duration lapseGrace = std::chrono::milliseconds(1500);
        // How long after an outage a vanished record counts as lapsed.
        Duration outageWindow = std::chrono::seconds(3);
    };

    UpstreamTable() = default;
    explicit UpstreamTable(const Settings &settings)
        : settings_(settings)
    {}

    // Changes how long a record that vanished around an outage stays in use.
    void setLapseGrace(Duration grace) { settings_.lapseGrace = grace; }
    // Takes one record, new or changed, unless a later one has its address.
    void put(const UpstreamRecord &record);
    // The store lists `id` in a way that makes no sense; nothing is said of whether it lives.
    void dropUnreadable(const InstanceId &id, TimePoint now);
    // The store no longer lists `id`.
    void remove(const InstanceId &id, TimePoint now);
    // Takes the whole list: what is not in it has vanished.
    void replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now);
    // Takes the list of another gateway, which has kept lapsed records in use already.
    void mirror(const std::vector<UpstreamRecord> &records);
    // Takes the halls that are drained, in place of those before. Returns whether they differ.
    bool setDrainedHalls(std::set<HallId> halls);
    const std::set<HallId> &drainedHalls() const { return drainedHalls_; }
    // An upstream, as it was listed when it was asked, has said in its answer that it leaves. That
    // binds from now on, whatever lists say. Returns false when it was known to leave.
    bool markLeaving(const UpstreamRecord &upstream);
    // A call to the store has failed.
    void onOutage(TimePoint now) { lastOutage_ = now; }
    // The store has come back from an older copy. What vanishes now counts as lapsed, and the order
    // in which it had taken records until then means nothing for those to come.
    void onStoreRolledBack(TimePoint now);
    // Drops lapsed records whose time is over. Returns those dropped.
    std::vector<InstanceId> expire(TimePoint now);

    const UpstreamRecord *find(const InstanceId &id) const;
    // Tells whether `id` may get new requests.
    bool mayReceive(const InstanceId &id) const;
    // Tells whether `id` is listed and has not been told to leave.
    bool isActive(const InstanceId &id) const;
    // Returns the upstreams of `service` that may get new requests, in the order of their ids.
    std::vector<const UpstreamRecord *> candidates(const TargetName &service) const;
    std::vector<const UpstreamRecord *> all() const;
    // Returns a number that rises with every change of what `all` and `candidates` return.
    std::uint64_t changes() const { return changes_; }

private:
    struct Entry
    {
        UpstreamRecord record;
        std::optional<TimePoint> lapsedAt;
    };

    using Address = std::pair<std::string, int>;

    static Address addressOf(const UpstreamRecord &record) { return {record.host, record.port}; }
    bool claimAddress(const UpstreamRecord &record);
    void erase(const InstanceId &id);
    void eraseRemoved(const InstanceId &id);
    bool shouldErase(const InstanceId &id, TimePoint now);

    Settings settings_;
    std::unordered_map<InstanceId, Entry> entries_;
    std::map<Address, InstanceId> byAddress_;
    LeavingUpstreams leaving_;
    std::set<HallId> drainedHalls_;
    std::optional<TimePoint> lastOutage_;
    std::uint64_t changes_ = 0;
};

} // namespace seamarch
