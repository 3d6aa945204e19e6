// The steady clock does not count the time that a machine is suspended, so data received before a
// suspension would look recent after it: revoked keys would be accepted and expired leases would
// still hold. This test replaces clock_gettime() and advances the clock by the suspended time.
#include "net/eventloop.h"

#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

time_t suspendedSeconds = 0;

constexpr Duration kSuspended = std::chrono::seconds(7);

} // namespace

// Replaces the C library's function and adds the suspended time to the clocks that count it.
extern "C" int clock_gettime(clockid_t clock, timespec *time) noexcept
{
    const long result = syscall(SYS_clock_gettime, clock, time);
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME) {
        time->tv_sec += suspendedSeconds;
    }
    return static_cast<int>(result);
}

TEST_GROUP(SuspensionTest){void teardown() override{suspendedSeconds = 0;
}
}
;

TEST(SuspensionTest, NowIncludesSuspendedTime)
{
    const auto loop = EventLoop::create();
    const TimePoint before = (*loop)->now();
    suspendedSeconds = 7;
    CHECK_TRUE((*loop)->now() - before >= kSuspended);
}
