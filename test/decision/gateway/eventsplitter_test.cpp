#include "decision/gateway/eventsplitter.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

TEST_GROUP(EventSplitterTest)
{
    EventSplitter splitter;
};

TEST(EventSplitterTest, ReturnsOnlyWholeEvents)
{
    STRCMP_EQUAL("", splitter.feed("id: 1\ndata: a").c_str());
    STRCMP_EQUAL("id: 1\ndata: a\n\n", splitter.feed("\n\nid: 2\n").c_str());
    STRCMP_EQUAL("1", splitter.lastId().c_str());
    CHECK_TRUE(splitter.hasPartial());
}

TEST(EventSplitterTest, HandlesInputByteByByte)
{
    const std::string text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
    std::string passed;
    for (const char &letter : text) {
        passed += splitter.feed({&letter, 1});
    }
    STRCMP_EQUAL(text.c_str(), passed.c_str());
    LONGS_EQUAL(2, splitter.eventCount());
    STRCMP_EQUAL("2", splitter.lastId().c_str());
}

TEST(EventSplitterTest, DiscardsAPartialEvent)
{
    splitter.feed("id: 1\ndata: a\n\nid: 2\nda");
    splitter.discardPartial();
    STRCMP_EQUAL("id: 2\ndata: b\n\n", splitter.feed("id: 2\ndata: b\n\n").c_str());
}

TEST(EventSplitterTest, LastIdIsThatOfTheLastEventWithAnId)
{
    splitter.feed("data: x\nid: 7\n\ndata: no id\n\n");
    STRCMP_EQUAL("7", splitter.lastId().c_str());
    LONGS_EQUAL(2, splitter.eventCount());
}

// Guards against an id with which the request that resumes the stream can't be written.
TEST(EventSplitterTest, CarriageReturnEndsTheLineOfAnId)
{
    splitter.feed("id: 5\rAdded: 1\n\n");
    STRCMP_EQUAL("5", splitter.lastId().c_str());
    splitter.feed("data: x\rid: 6\r\n\r\n");
    STRCMP_EQUAL("6", splitter.lastId().c_str());
}

// Guards against the same, as the standard does with the byte zero.
TEST(EventSplitterTest, IdsWithControlBytesAreIgnored)
{
    for (const char byte : {'\0', '\x01', '\x1f', '\x7f'}) {
        splitter.feed("id: a\tb\n\nid: 5" + std::string(1, byte) + "\n\n");
        STRCMP_EQUAL("a\tb", splitter.lastId().c_str());
    }
}

TEST(EventSplitterTest, CountsThePartialEvent)
{
    for (const std::string &piece : {std::string(1000, 'x'), std::string(500, '\r') + "a\n"}) {
        EventSplitter endless;
        endless.feed("data: a\n\n");
        for (std::size_t pieces = 1; pieces <= 100; ++pieces) {
            endless.feed(piece);
            LONGS_EQUAL(pieces * piece.size(), endless.partialBytes());
        }
        LONGS_EQUAL(1, endless.eventCount());
        endless.discardPartial();
        LONGS_EQUAL(0, endless.partialBytes());
    }
}

TEST(EventSplitterTest, SplitsAlikeAtEveryPosition)
{
    const std::string text = "id: 1\r\ndata: a\r\n\r\n\n\nid: 2\ndata: b\n\r\nid: 3\n";
    for (std::size_t position = 0; position <= text.size(); ++position) {
        EventSplitter parts;
        std::string passed = parts.feed(std::string_view(text).substr(0, position));
        passed += parts.feed(std::string_view(text).substr(position));
        STRCMP_EQUAL(text.substr(0, text.size() - 6).c_str(), passed.c_str());
        STRCMP_EQUAL("2", parts.lastId().c_str());
        LONGS_EQUAL(4, parts.eventCount());
    }
}

TEST(EventSplitterTest, StartsAnewAfterDiscardedLines)
{
    splitter.feed("id: 1\ndata: long line\nda");
    splitter.discardPartial();
    STRCMP_EQUAL("id: 2\n\n", splitter.feed("id: 2\n\n").c_str());
}
