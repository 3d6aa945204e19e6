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
