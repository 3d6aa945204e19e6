#include "decision/gateway/routetable.h"

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

RouteRule route(const char *name, const char *host, const char *prefix)
{
    RouteRule rule;
    rule.name = name;
    rule.host = host;
    rule.pathPrefix = prefix;
    return rule;
}

RoutingDocument document()
{
    RoutingDocument document;
    document.version = ConfigVersion(7);
    document.routes = {route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"),
                       route("other", "b.example", "/x/")};
    document.accounts = {{AccountId("bids"), {"key-1", "key-2"}, std::nullopt, {}}};
    return document;
}

} // namespace

TEST_GROUP(RouteTableTest)
{
    RouteTable table{document()};
};

TEST(RouteTableTest, MatchesTheLongestPrefixOfTheHost)
{
    STRCMP_EQUAL("long", table.match("a.example", "/x/y/z")->name.c_str());
    STRCMP_EQUAL("short", table.match("a.example", "/x/z")->name.c_str());
    STRCMP_EQUAL("other", table.match("b.example", "/x/y/z")->name.c_str());
}

TEST(RouteTableTest, IgnoresPortAndCaseOfTheHost)
{
    STRCMP_EQUAL("short", table.match("A.Example:80", "/x/")->name.c_str());
}

TEST(RouteTableTest, ReturnsNullForAnUnknownHostOrPath)
{
    POINTERS_EQUAL(nullptr, table.match("c.example", "/x/"));
    POINTERS_EQUAL(nullptr, table.match("a.example", "/xy/"));
}

TEST(RouteTableTest, FindsTheAccountOfEachKey)
{
    STRCMP_EQUAL("bids", table.accountOf("key-2")->id.value().c_str());
    POINTERS_EQUAL(nullptr, table.accountOf("key-3"));
    POINTERS_EQUAL(nullptr, table.accountOf(""));
}

TEST(RouteTableTest, ShortestGapTargetCoversOnlyRoutesToTheService)
{
    RoutingDocument document;
    const auto add = [&document](const char *service, int pause) {
        RouteRule rule;
        rule.targets = {{TargetName(service), 1}};
        rule.gapTarget = std::chrono::milliseconds(pause);
        document.routes.push_back(rule);
    };
    add("model", 200);
    add("model", 150);
    add("model", 0);
    add("other", 40);
    CHECK_TRUE(shortestGapTarget(document, TargetName("model")) == std::chrono::milliseconds(150));
    CHECK_TRUE(shortestGapTarget(document, TargetName("nobody")) == Duration{});
}
