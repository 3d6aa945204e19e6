#include "net/chunkedframing.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(ChunkedFramingTest){};

TEST(ChunkedFramingTest, StopsAtTheEndOfTheBody)
{
    const std::string body = "2;note=1\r\nhi\r\nA  \r\n0123456789\r\n0\r\nName: value\r\n\r\n";
    ChunkedFraming framing;
    LONGS_EQUAL(body.size(), framing.feed(body + "HTTP/1.1 200 OK\r\n"));
    CHECK_TRUE(framing.done());
}

TEST(ChunkedFramingTest, ReadsBodyThatIsSplitAnywhere)
{
    const std::string body = "2\r\nhi\r\n0\r\nName: value\r\n\r\n";
    for (std::size_t split = 0; split <= body.size(); ++split) {
        ChunkedFraming framing;
        LONGS_EQUAL(split, framing.feed(std::string_view(body).substr(0, split)));
        LONGS_EQUAL(body.size() - split, framing.feed(std::string_view(body).substr(split)));
        CHECK_TRUE(framing.done());
    }
}

// Guards against bytes after a malformed one that still count as part of the body.
TEST(ChunkedFramingTest, AcceptsNothingAfterMalformedByte)
{
    ChunkedFraming framing;
    LONGS_EQUAL(5, framing.feed("2\r\nhiXX0\r\n\r\n"));
    CHECK_TRUE(framing.malformed());
    LONGS_EQUAL(0, framing.feed("\r\n0\r\n\r\n"));
    CHECK_FALSE(framing.done());
}

// Guards against a size that wraps around and so ends the chunk early.
TEST(ChunkedFramingTest, RejectsSizeBeyondSixtyFourBits)
{
    ChunkedFraming framing;
    framing.feed("10000000000000002\r\nhi\r\n0\r\n\r\n");
    CHECK_TRUE(framing.malformed());
}
