// A machine may be suspended for seconds. Its steady clock does not count that time, so what was
// heard before would look young after it: keys that were revoked meanwhile would be good, leases
// that ran out would hold. The clock of this test jumps between two events.
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

// Stands in for the C library's: the kernel's clocks, as of a machine that was suspended.
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
