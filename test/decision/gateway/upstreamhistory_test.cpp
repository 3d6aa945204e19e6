// Tests the deltas that gateways get while dozens of upstreams are replaced one after another and
// hundreds of gateways follow the list, switch between senders and miss some of its states.
#include "decision/gateway/upstreamhistory.h"

#include <cstdlib>
#include <fmt/format.h>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

UpstreamRecord record(int number, std::int64_t start = 1)
{
    UpstreamRecord record;
    record.id = InstanceId(fmt::format("i-{:04}", number));
    record.service = TargetName("service");
    record.start = UpstreamStart(start);
    return record;
}

std::vector<const UpstreamRecord *> pointersTo(const std::vector<UpstreamRecord> &records)
{
    std::vector<const UpstreamRecord *> pointers;
    for (const UpstreamRecord &record : records) {
        pointers.push_back(&record);
    }
    return pointers;
}

} // namespace

TEST_GROUP(UpstreamHistoryTest)
{
    UpstreamHistory history;

    void recordState(std::uint64_t digest, const std::vector<UpstreamRecord> &records)
    {
        history.recordState(digest, pointersTo(records));
    }
};

TEST(UpstreamHistoryTest, ReportsAddedChangedAndRemovedUpstreams)
{
    recordState(1, {record(1), record(2), record(3), record(4), record(5), record(6), record(7)});
    recordState(2,
                {record(1), record(2), record(3), record(4), record(5), record(6), record(7, 2)});
    recordState(3,
                {record(2), record(3), record(4), record(5), record(6), record(7, 2), record(8)});
    const std::set<InstanceId> sinceTwo{record(1).id, record(8).id};
    CHECK_TRUE(history.changedSince(2) == sinceTwo);
    const std::set<InstanceId> sinceOne{record(1).id, record(7).id, record(8).id};
    CHECK_TRUE(history.changedSince(1) == sinceOne);
    CHECK_TRUE(history.changedSince(3)->empty());
}

TEST(UpstreamHistoryTest, UnknownStateRequiresTheWholeList)
{
    CHECK_FALSE(history.changedSince(1).has_value());
    for (std::size_t state = 1; state <= UpstreamHistory::kMaxStates + 2; ++state) {
        recordState(state, {record(1, static_cast<std::int64_t>(state)), record(2), record(3)});
    }
    CHECK_FALSE(history.changedSince(1).has_value());
    CHECK_TRUE(history.changedSince(2).has_value());
}

TEST(UpstreamHistoryTest, ChangesOfMostOfTheListRequireTheWholeList)
{
    recordState(1, {record(1), record(2)});
    recordState(2, {record(3), record(4)});
    CHECK_FALSE(history.changedSince(1).has_value());
}

TEST(UpstreamHistoryTest, GatewayLocalFieldsAreIgnored)
{
    std::vector<UpstreamRecord> list{record(1), record(2), record(3)};
    recordState(1, list);
    list[0].warmAt = TimePoint(std::chrono::seconds(9));
    list[1].listedAt = 7;
    recordState(2, list);
    CHECK_TRUE(history.changedSince(1)->empty());
}

// Checks with random histories that applying a delta to any earlier state yields the list of the
// sender. SEAMARCH_SEEDS sets the number of seeds.
TEST(UpstreamHistoryTest, AppliedChangesReproduceTheList)
{
    const char *seedCount = std::getenv("SEAMARCH_SEEDS");
    const int seeds = seedCount == nullptr ? 200 : std::atoi(seedCount);
    for (int seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(static_cast<std::uint64_t>(seed));
        UpstreamHistory sender;
        std::vector<std::vector<UpstreamRecord>> states;
        std::vector<UpstreamRecord> list;
        for (int number = 0; number < 40; ++number) {
            list.push_back(record(number));
        }
        for (std::uint64_t digest = 1; digest <= 60; ++digest) {
            sender.recordState(digest, pointersTo(list));
            states.push_back(list);
            const std::uint64_t base = 1 + random() % digest;
            if (const auto changed = sender.changedSince(base)) {
                std::vector<UpstreamRecord> sent;
                std::set<InstanceId> removed = *changed;
                for (const UpstreamRecord &each : list) {
                    if (removed.erase(each.id) > 0) {
                        sent.push_back(each);
                    }
                }
                const auto applied = applyChanges(pointersTo(states[base - 1]), sent, removed);
                CHECK_TEXT(applied == list,
                           fmt::format("seed {}, from {} to {}", seed, base, digest).c_str());
            }
            const std::size_t index = random() % list.size();
            if (random() % 2 == 0) {
                list[index].start = UpstreamStart(static_cast<std::int64_t>(digest + 1));
            } else if (list.size() > 20) {
                list.erase(list.begin() + static_cast<std::ptrdiff_t>(index));
            }
            list.push_back(record(static_cast<int>(100 + digest)));
        }
    }
}
