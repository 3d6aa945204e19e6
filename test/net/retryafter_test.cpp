#include "net/retryafter.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

RetryAfter read(const char *text, int status = 503)
{
    return readRetryAfter(status, {{"Retry-After", text}});
}

} // namespace

TEST_GROUP(RetryAfterTest){};

TEST(RetryAfterTest, ParsesSecondsWithFractions)
{
    CHECK_TRUE(read("3").delay == Duration(std::chrono::seconds(3)));
    CHECK_TRUE(read("1.25").delay == Duration(std::chrono::milliseconds(1250)));
    CHECK_TRUE(read("0").delay == Duration{});
}

TEST(RetryAfterTest, AppliesOnlyToStatus429And503)
{
    CHECK_TRUE(read("3", 429).delay.has_value());
    for (const int status : {200, 301, 408, 421, 500, 502}) {
        CHECK_FALSE(read("3", status).delay.has_value());
        CHECK_FALSE(read("3", status).invalid);
    }
}

TEST(RetryAfterTest, RejectsValuesThatAreNotSeconds)
{
    for (const char *text : {"soon", "-1", "3s", "3 ", "nan", "inf", "1e3", "0x3", "3,5",
                             "Wed, 21 Oct 2015 07:28:00 GMT"}) {
        CHECK_TEXT(!read(text).delay.has_value(), text);
        CHECK_TEXT(read(text).invalid, text);
    }
}

TEST(RetryAfterTest, LimitsDelayToOneDay)
{
    CHECK_TRUE(read("99999999999999999999").delay == Duration(std::chrono::hours(24)));
}

TEST(RetryAfterTest, MissingHeaderIsNeitherDelayNorInvalid)
{
    CHECK_FALSE(readRetryAfter(503, {}).delay.has_value());
    CHECK_FALSE(readRetryAfter(503, {}).invalid);
}
