// The upstreams to which a gateway may send requests, as listed by the platform's store.
//
// An upstream that is leaving, or that the store no longer lists, gets no new requests, with one
// exception: during an outage of the store, the records of running upstreams may lapse. A record
// that disappears around an outage therefore stays in use for a grace period, in which a running
// upstream registers again; after that it is removed.
//
// An address belongs to the upstream that was listed there last: the previous one has ended, though
// its record may remain for some seconds. Otherwise, after a power failure of all machines, every
// address would be listed twice and half of the requests would go to instances that no longer
// exist.
//
// Upstreams in a hall that the operators drain get no new requests until the drain is cancelled;
// requests in flight continue.
//
// An upstream may announce in its own answers that it is leaving, before the store does or while
// the store is unreachable. The announcement overrides any list (see LeavingUpstreams).
//
// Performs no I/O and is not thread-safe.
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

// One listed upstream. An upstream may restart under the same id; `start` then distinguishes the
// two starts.
struct UpstreamRecord
{
    InstanceId id;
    TargetName service;
    std::string host; // An IP address.
    int port = 0;
    HallId hall;
    std::uint32_t slots = 1; // Number of requests that it runs concurrently.
    bool leaving = false;
    // Sequence number in the order in which the store accepted the records. Zero: unknown, for
    // example in records that were forwarded by a gateway of an earlier version, or without meaning
    // since the store was restored from an older copy.
    std::uint64_t listedAt = 0;
    // The store's revision at which the entry was created; zero: unknown. Identifies the entry,
    // also in a store restored from an older copy, whose new revisions cannot be ordered against
    // those from before.
    std::uint64_t createdAt = 0;
    UpstreamStart start;
    // Remaining warm-up time when the upstream wrote its entry; nullopt: not in the entry.
    std::optional<Duration> warmUpLeft;
    TimePoint warmAt{}; // Latest end of the warm-up.

    bool operator==(const UpstreamRecord &) const = default;
};

// Returns whether `listed` shows a later start of an upstream than `start`, whose record had the
// sequence number `listedAt`. Returns false if either start is unknown. A start with an earlier
// time counts as later if the store accepted its record later, because the host's clock may have
// been set back between the two starts.
bool isLaterStart(const UpstreamRecord &listed, UpstreamStart start, std::uint64_t listedAt);

// Returns whether the record was read before the store was restored from an older copy and has not
// been listed since, by this gateway or by the one that forwarded the record.
bool isFromBeforeRollback(const UpstreamRecord &record);

// Stores the listed upstreams and decides which of them may get new requests.
class UpstreamTable
{
public:
    struct Settings
    {
        // How long a record that disappeared around an outage of the store stays in use. Running
        // upstreams are listed again about two seconds after the store is back, and an upstream
        // that has really left must get no requests after two seconds either.
        Duration lapseGrace = std::chrono::milliseconds(1500);
        // How long after an outage a record that disappears counts as lapsed.
        Duration outageWindow = std::chrono::seconds(3);
    };

    UpstreamTable() = default;
    explicit UpstreamTable(const Settings &settings)
        : settings_(settings)
    {}

    // Changes the grace period; see Settings::lapseGrace.
    void setLapseGrace(Duration grace) { settings_.lapseGrace = grace; }
    // Adds or replaces one record, unless a record that was listed later has its address.
    void put(const UpstreamRecord &record);
    // Drops `id` because its entry in the store cannot be parsed. Unlike `remove`, this does not
    // mean that the upstream has ended.
    void dropUnreadable(const InstanceId &id, TimePoint now);
    // Handles that the store no longer lists `id`.
    void remove(const InstanceId &id, TimePoint now);
    // Replaces the whole list. Upstreams that are not in `records` are treated as by `remove`, but
    // those from before a restoration of the store always count as lapsed.
    void replaceAll(const std::vector<UpstreamRecord> &records, TimePoint now);
    // Replaces the whole list by that of another gateway, without a grace period for missing
    // records, because the other gateway has applied it already.
    void mirror(const std::vector<UpstreamRecord> &records);
    // Replaces the set of drained halls. Returns whether it has changed.
    bool setDrainedHalls(std::set<HallId> halls);
    const std::set<HallId> &drainedHalls() const { return drainedHalls_; }
    // Handles an answer that announces that its upstream is leaving, which overrides any later
    // list. `upstream` is the record at the time of the request. Returns whether a listed upstream
    // is newly marked as leaving.
    bool markLeaving(const UpstreamRecord &upstream);
    // Handles a failed call to the store.
    void onOutage(TimePoint now) { lastOutage_ = now; }
    // Handles that the store was restored from an older copy. Records that disappear now count as
    // lapsed, and the sequence numbers of earlier records are not compared with those of later
    // ones.
    void onStoreRolledBack(TimePoint now);
    // Removes the lapsed records whose grace period is over. Returns their ids.
    std::vector<InstanceId> expire(TimePoint now);

    // Returns the record of `id`, or nullptr if it is not listed. Valid until the next change.
    const UpstreamRecord *find(const InstanceId &id) const;
    // Returns whether `id` may get new requests.
    bool mayReceive(const InstanceId &id) const;
    // Returns whether `id` is listed and not leaving. Its hall may be drained.
    bool isActive(const InstanceId &id) const;
    // Returns the upstreams of `service` that may get new requests, ordered by id.
    std::vector<const UpstreamRecord *> candidates(const TargetName &service) const;
    // Returns all listed upstreams, ordered by id.
    std::vector<const UpstreamRecord *> all() const;
    // Returns a counter that rises with every change of the results of `all` and `candidates`.
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
    static void startGrace(Entry &entry, TimePoint now);
    void handleMissing(const InstanceId &id, TimePoint now);

    Settings settings_;
    std::unordered_map<InstanceId, Entry> entries_;
    std::map<Address, InstanceId> byAddress_;
    LeavingUpstreams leaving_;
    std::set<HallId> drainedHalls_;
    std::optional<TimePoint> lastOutage_;
    std::uint64_t changes_ = 0;
};

} // namespace seamarch
