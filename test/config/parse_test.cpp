#include "config/parse.h"

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

// Returns the path of the only fault, "none" for a valid document, or a list of several faults.
std::string singleFaultPath(const std::string &text)
{
    const auto parsed = parseConfig(text);
    if (parsed) {
        return "none";
    }
    return parsed.error().size() == 1 ? parsed.error().front().path : describe(parsed.error());
}

} // namespace

TEST_GROUP(ParseTest){};

TEST(ParseTest, ParsesCompleteDocument)
{
    const auto parsed = parseConfig(R"({"version": 2, "base": 1,
        "halls": [{"id": "north", "region": "centre", "distanceUs": {"south": 1500}}],
        "accounts": [{"id": "bids", "share": 4, "priority": 2, "homeHall": "north"}],
        "services": [{"name": "portal", "routes":
            [{"method": "POST", "path": "/letters", "repeatable": false}]}],
        "models": [{"name": "bid", "version": "v1", "deadlineMs": 5000}],
        "upstreams": [{"agent": "bid-1", "checksFence": true}],
        "objective": {"skewWeight": 4, "moveWeight": 1}})");

    CHECK(parsed.has_value());
    CHECK_EQUAL(4.0, parsed->accounts.front().share);
    CHECK(parsed->models.front().deadline == std::chrono::seconds(5));
    CHECK(parsed->halls.front().distance.at(HallId("south")) == std::chrono::microseconds(1500));
    CHECK_FALSE(parsed->services.front().routes.front().repeatable);
}

TEST(ParseTest, ReportsPathOfUnknownField)
{
    STRCMP_EQUAL(
        "accounts[0].shares",
        singleFaultPath(R"({"version": 1, "accounts": [{"id": "a", "shares": 2}]})").c_str());
}

TEST(ParseTest, ReportsPathOfMissingField)
{
    STRCMP_EQUAL("models[0].version",
                 singleFaultPath(R"({"version": 1, "models": [{"name": "bid"}]})").c_str());
}

TEST(ParseTest, ReportsAllFaultsAtOnce)
{
    const auto parsed = parseConfig(R"({"version": 1, "extra": 1,
        "accounts": [{"id": "a", "share": -1}, {"id": "a"}, {"share": "much"}]})");

    CHECK_EQUAL(5U, parsed.error().size());
}

TEST(ParseTest, RejectsVersionThatIsNotBasePlusOne)
{
    STRCMP_EQUAL("base", singleFaultPath(R"({"version": 12, "base": 10})").c_str());
}

TEST(ParseTest, RejectsUnlistedHomeHall)
{
    STRCMP_EQUAL(
        "accounts[0].homeHall",
        singleFaultPath(R"({"version": 1, "accounts": [{"id": "a", "homeHall": "x"}]})").c_str());
}

TEST(ParseTest, RejectsInvalidOrOversizedText)
{
    STRCMP_EQUAL("", singleFaultPath("{").c_str());
    STRCMP_EQUAL("", singleFaultPath(std::string(kMaxDocumentBytes + 1, ' ')).c_str());
}

TEST(ParseTest, RejectsHostNameInInstanceList)
{
    const auto value = parseJson(R"({"version": 1, "instances": [{"id": "a", "role": "agent",
        "hall": "north", "address": "example.org", "port": 1}]})");

    const auto list = readInstances(*value);

    STRCMP_EQUAL("instances[0].address", list.error().front().path.c_str());
}

// Guards against a stack overflow: the message about an invalid field was written recursively.
TEST(ParseTest, RejectsDeeplyNestedDocuments)
{
    constexpr std::size_t kDepth = 300'000;
    const std::string nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    for (const char *field : {"version", "accounts", "objective"}) {
        const auto parsed = parseConfig(fmt::format(R"({{"{}": {}}})", field, nested));
        CHECK_FALSE(parsed.has_value());
        STRCMP_CONTAINS("nested deeper", describe(parsed.error()).c_str());
    }
}
