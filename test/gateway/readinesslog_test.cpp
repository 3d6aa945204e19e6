#include "gateway/readinesslog.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

const Readiness kNoConfiguration{false, "no configuration"};
const Readiness kStale{false, "stale"};
const Readiness kReady{true, ""};

} // namespace

TEST_GROUP(ReadinessLogTest)
{
    Metrics metrics{1};
    ReadinessLog log{metrics};
    TimePoint now{std::chrono::seconds(1)};

    bool update(const Readiness &readiness)
    {
        return log.update(readiness, {}, now);
    }
};

TEST(ReadinessLogTest, TellsStateAtTheStart)
{
    CHECK_TRUE(update(kNoConfiguration));
}

TEST(ReadinessLogTest, TellsEachChangeOnce)
{
    update(kNoConfiguration);
    CHECK_FALSE(update(kNoConfiguration));
    CHECK_TRUE(update(kReady));
    CHECK_FALSE(update(kReady));
}

TEST(ReadinessLogTest, TellsAnotherReason)
{
    update(kNoConfiguration);
    CHECK_TRUE(update(kStale));
}

TEST(ReadinessLogTest, SetsGauge)
{
    update(kReady);
    CHECK_TRUE(metrics.text().find("seamarch_ready 1") != std::string::npos);
    update(kStale);
    CHECK_TRUE(metrics.text().find("seamarch_ready 0") != std::string::npos);
}
