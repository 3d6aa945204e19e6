// Tests decoding and encoding of the platform's messages.
#include "callerheaders.h"
#include "enginehttp.h"
#include "storehttp.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace seamarch;
using namespace seamarch::platform;

namespace {

HttpHead makeHead(int status, HttpHeaders headers)
{
    HttpHead head;
    head.status = status;
    head.headers = std::move(headers);
    return head;
}

RequestMetadata makeRequest(const std::string &id)
{
    RequestMetadata request;
    request.requestId = id;
    return request;
}

constexpr const char *kRouting = R"({"version":7,
  "routes":[{"name":"r","hostname":"a.example","path-prefix":"/x/","type":"streaming",
    "timeout-ms":8000,"target-latency-ms":500,"priority":1,"max-attempts":2,"stream-resume":true,
    "target-gap-ms":120,"backends":[{"service":"one","weight":90},{"service":"two","weight":10}]}],
  "services":[{"name":"one","max-connections":348,"engine":{"sets":4,"experts":72,"placements":8,
    "spare":3}}],
  "limits":{"max-header-bytes":100,"idle-timeout-ms":15000},
  "tenants":[{"name":"bids","api-keys":["k"],"priority":3}]})";

// Returns the text of `object` with a further field whose arrays are nested 300,000 deep.
std::string withNestedField(const nlohmann::json &object, const char *field)
{
    constexpr std::size_t kDepth = 300'000;
    std::string text = object.dump();
    text.pop_back();
    return fmt::format("{}, \"{}\": {}{}}}", text, field, std::string(kDepth, '['),
                       std::string(kDepth, ']'));
}

} // namespace

TEST_GROUP(CallerHeadersTest)
{
    CallerHeaders protocol;
    HttpRequest request;

    void setup() override
    {
        request.headers = {{"Host", "a.example:80"},
                           {"seamarch-request-id", "id-1"},
                           {"Authorization", "Token secret"},
                           {"Seamarch-Deadline-Ms", "1500"},
                           {"Seamarch-Tenant", "forged"},
                           {"Connection", "keep-alive"},
                           {"X-Other", "kept"}};
    }
};

TEST(CallerHeadersTest, ReadsRequestMetadata)
{
    const RequestMetadata metadata = protocol.readRequest(request);
    STRCMP_EQUAL("id-1", metadata.requestId.c_str());
    STRCMP_EQUAL("a.example", metadata.host.c_str());
    STRCMP_EQUAL("secret", metadata.key.c_str());
    CHECK_TRUE(metadata.deadline == Duration(std::chrono::milliseconds(1500)));
}

TEST(CallerHeadersTest, IgnoresInvalidDeadline)
{
    for (const char *const text : {"", "-1", "12x", "999999999999999999999"}) {
        request.headers = {{"Seamarch-Deadline-Ms", text}};
        CHECK_FALSE_TEXT(protocol.readRequest(request).deadline.has_value(), text);
    }
}

TEST(CallerHeadersTest, ReadsRequestSize)
{
    request.headers.push_back({"Seamarch-Token-Usage", "1460,80"});
    LONGS_EQUAL(1460, protocol.readRequest(request).size.prompt);
    LONGS_EQUAL(80, protocol.readRequest(request).size.answer);
    request.headers.push_back({"Seamarch-Length-Hint", "30"});
    LONGS_EQUAL(30, protocol.readRequest(request).size.answer);
}

TEST(CallerHeadersTest, ReadsSharedPromptPartsWithoutTheLast)
{
    request.headers.push_back({"Seamarch-Prefix-Hash", "5C1e07a2:800, 91bd3f06:410,e4402b7d:250"});
    const std::vector<std::string> expected{"5c1e07a2", "91bd3f06"};
    CHECK_TRUE(protocol.readRequest(request).sharedPromptParts == expected);
}

TEST(CallerHeadersTest, SkipsEmptyAndRepeatedPromptParts)
{
    request.headers.push_back({"Seamarch-Prefix-Hash", ",:5,aa,aa:7,:,bb:x:y,last"});
    const std::vector<std::string> expected{"aa", "bb"};
    CHECK_TRUE(protocol.readRequest(request).sharedPromptParts == expected);
}

TEST(CallerHeadersTest, SinglePromptPartIsNotShared)
{
    request.headers.push_back({"Seamarch-Prefix-Hash", "e4402b7d:250"});
    CHECK_TRUE(protocol.readRequest(request).sharedPromptParts.empty());
}

TEST(CallerHeadersTest, LimitsNumberOfPromptParts)
{
    std::string list;
    for (int part = 0; part < 1000; ++part) {
        list += std::to_string(part) + ":1,";
    }
    request.headers.push_back({"Seamarch-Prefix-Hash", list});
    LONGS_EQUAL(kMaxSharedParts, protocol.readRequest(request).sharedPromptParts.size());
}

TEST(CallerHeadersTest, LengthHintBeyondTheStatedMaximumIsLimited)
{
    request.headers.push_back({"Seamarch-Token-Usage", "1460,80"});
    request.headers.push_back({"Seamarch-Length-Hint", "3000"});
    LONGS_EQUAL(80, protocol.readRequest(request).size.answer);
}

TEST(CallerHeadersTest, UnreadableSizeCountsAsNotStated)
{
    request.headers.push_back({"Seamarch-Token-Usage", "many,-3"});
    LONGS_EQUAL(0, protocol.readRequest(request).size.prompt);
    LONGS_EQUAL(0, protocol.readRequest(request).size.answer);
}

TEST(CallerHeadersTest, DropsKeyAndForgedAccountForUpstream)
{
    AttemptMetadata attempt;
    attempt.instance = InstanceId("i-1");
    attempt.account = AccountId("bids");
    attempt.timeLeft = std::chrono::milliseconds(900);
    const HttpHeaders headers = protocol.upstreamHeaders(request, attempt);
    STRCMP_EQUAL("", findHeader(headers, "Authorization").c_str());
    STRCMP_EQUAL("bids", findHeader(headers, "Seamarch-Tenant").c_str());
    STRCMP_EQUAL("i-1", findHeader(headers, "Seamarch-Expect-Instance").c_str());
    STRCMP_EQUAL("900", findHeader(headers, "Seamarch-Deadline-Ms").c_str());
    STRCMP_EQUAL("id-1", findHeader(headers, "Seamarch-Request-Id").c_str());
    STRCMP_EQUAL("kept", findHeader(headers, "X-Other").c_str());
    STRCMP_EQUAL("", findHeader(headers, "Connection").c_str());
}

TEST(CallerHeadersTest, ClassifiesAnswersByIdSignatureAndStatus)
{
    const HttpHeader id{"Seamarch-Request-Id", "id-1"};
    const HttpHeader signature{"Seamarch-Replica-Signature", "p"};
    const HttpHeader notExecuted{"Seamarch-Not-Executed", "1"};
    CHECK_TRUE(protocol.classifyAnswer(makeHead(200, {id, signature}), makeRequest("id-1"))
               == AnswerKind::Success);
    CHECK_TRUE(protocol.classifyAnswer(makeHead(200, {id}), makeRequest("id-1"))
               == AnswerKind::Invalid);
    CHECK_TRUE(protocol.classifyAnswer(makeHead(200, {id, signature}), makeRequest("id-2"))
               == AnswerKind::Invalid);
    CHECK_TRUE(protocol.classifyAnswer(makeHead(200, {id, signature, {"Content-Encoding", "gzip"}}),
                                       makeRequest("id-1"))
               == AnswerKind::Invalid);
    CHECK_TRUE(protocol.classifyAnswer(makeHead(503, {id, notExecuted}), makeRequest("id-1"))
               == AnswerKind::Full);
    CHECK_TRUE(protocol.classifyAnswer(makeHead(503, {id}), makeRequest("id-1"))
               == AnswerKind::Invalid);
    CHECK_TRUE(protocol.classifyAnswer(makeHead(421, {id}), makeRequest("id-1"))
               == AnswerKind::WrongInstance);
    RequestMetadata expecting = makeRequest("id-1");
    expecting.expectsVersion = true;
    CHECK_TRUE(protocol.classifyAnswer(makeHead(421, {id}), expecting) == AnswerKind::Refused);
    CHECK_TRUE(protocol.classifyAnswer(makeHead(500, {id, signature}), makeRequest("id-1"))
               == AnswerKind::Failure);
}

TEST(CallerHeadersTest, ReadsLeavingFromAnswersOfAnyStatus)
{
    const HttpHeader leaving{"Server-Leaving", "1"};
    for (const int status : {200, 404, 429, 500, 503}) {
        CHECK_TRUE(protocol.readNotice(makeHead(status, {leaving})).leaving);
        CHECK_FALSE(protocol.readNotice(makeHead(status, {{"Server-Leaving", "0"}})).leaving);
        CHECK_TRUE(protocol.readNotice(makeHead(status, {})).empty());
    }
}

TEST(CallerHeadersTest, ReadsRetryAfterFromRefusals)
{
    const HttpHeader retryAfter{"Retry-After", "3"};
    CHECK_TRUE(protocol.readNotice(makeHead(503, {retryAfter})).rest
               == Duration(std::chrono::seconds(3)));
    CHECK_TRUE(protocol.readNotice(makeHead(200, {retryAfter})).empty());
    CHECK_TRUE(protocol.readNotice(makeHead(503, {{"Retry-After", "soon"}})).restUnreadable);
}

TEST(CallerHeadersTest, ReadsLimitFromAnswersOfAnyStatus)
{
    for (const int status : {200, 404, 429, 500, 503}) {
        const UpstreamNotice notice =
            protocol.readNotice(makeHead(status, {{"Server-Limit", "1.3"}}));
        CHECK_TRUE(notice.limit == RequestRate(1.3));
    }
    CHECK_TRUE(protocol.readNotice(makeHead(200, {{"server-limit", "0"}})).limit
               == RequestRate(0.0));
}

TEST(CallerHeadersTest, ReportsInvalidLimitAsUnreadable)
{
    for (const char *text : {"", "-1", "soon", "1 a second", "nan", "inf", "1e3", "0x10"}) {
        const UpstreamNotice notice = protocol.readNotice(makeHead(200, {{"Server-Limit", text}}));
        CHECK_FALSE(notice.limit.has_value());
        CHECK_TRUE(notice.limitUnreadable);
    }
}

TEST(CallerHeadersTest, LowestOfSeveralLimitsApplies)
{
    const HttpHeaders several{{"Server-Limit", "3"}, {"Server-Limit", "1.5"}};
    CHECK_TRUE(protocol.readNotice(makeHead(200, several)).limit == RequestRate(1.5));
}

// Notices come from whichever instance uses the address now, not from the intended one.
TEST(CallerHeadersTest, IgnoresNoticesOfMisdirectedRequests)
{
    const HttpHeaders all{{"Retry-After", "3"}, {"Server-Leaving", "1"}, {"Server-Limit", "1"}};
    CHECK_TRUE(protocol.readNotice(makeHead(421, all)).empty());
}

TEST(CallerHeadersTest, WritesRetryAfterWithMilliseconds)
{
    const HttpHeaders headers =
        protocol.refusalHeaders("id-1", Outcome::NotRun, std::chrono::milliseconds(250));
    STRCMP_EQUAL("0.250", findHeader(headers, "Retry-After").c_str());
    STRCMP_EQUAL("not-run", findHeader(headers, "Seamarch-Outcome").c_str());
}

TEST_GROUP(StoreHttpTest)
{
    StoreHttp store{{"127.0.0.1", 1}};
};

TEST(StoreHttpTest, ReadsTheRoutingDocument)
{
    const auto document = readRouting(kRouting);
    CHECK_TRUE(document.has_value());
    LONGS_EQUAL(7, document->version.value());
    const RouteRule &route = document->routes.at(0);
    CHECK_TRUE(route.streamed && route.resumable && !route.repeatable);
    LONGS_EQUAL(2, route.targets.size());
    LONGS_EQUAL(90, route.targets[0].weight);
    CHECK_TRUE(route.gapTarget == Duration(std::chrono::milliseconds(120)));
    LONGS_EQUAL(3, *document->accounts.at(0).priority);
    LONGS_EQUAL(8, document->services.at(0).experts->maxPerRank);
    LONGS_EQUAL(100, document->bounds.maxHeaderBytes);
}

TEST(StoreHttpTest, RejectsInvalidDocuments)
{
    CHECK_FALSE(readRouting(R"({"version":"seven","routes":[]})").has_value());
    CHECK_FALSE(readRouting("{").has_value());
    CHECK_FALSE(readUpstream("i-1", R"({"address":"1.2.3.4:5"})").has_value());
}

TEST(StoreHttpTest, ReadsChangesAndRemovals)
{
    // The value is {"service":"one","address":"10.1.0.9:8080","zone":"north","capacity":6,
    // "phase":"draining"}.
    const char *const body =
        R"({"events":[{"key-file":"servers/i-1","value":"eyJzZXJ2aWNlIjoib25lIiwiYWRkcmVzcyI6IjEwLjEuMC45OjgwODAiLCJ6b25lIjoibm9ydGgiLCJjYXBhY2l0eSI6NiwicGhhc2UiOiJkcmFpbmluZyJ9","revision":4},{"key-file":"servers/i-2","revision":5,"removed":true},{"key-file":"other","value":"","revision":6}],"current-rev":6})";
    const auto items = store.readWatch(200, body);
    CHECK_TRUE(items.has_value());
    LONGS_EQUAL(6, items->position.revision);
    LONGS_EQUAL(2, items->items.size());
    const auto &record = std::get<UpstreamRecord>(items->items[0]);
    STRCMP_EQUAL("10.1.0.9", record.host.c_str());
    LONGS_EQUAL(8080, record.port);
    CHECK_TRUE(record.leaving);
    STRCMP_EQUAL("i-2", std::get<UpstreamRemoval>(items->items[1]).id.value().c_str());
}

TEST(StoreHttpTest, InvalidItemDoesNotHideOthers)
{
    const auto items = store.readWatch(
        200, R"({"events":[{"key-file":"servers/i-1","value":"%%","revision":4},)"
             R"({"key-file":"servers/i-2","revision":5,"removed":true}],"current-rev":6})");
    LONGS_EQUAL(2, items->items.size());
    LONGS_EQUAL(1, items->faults.size());
    // An upstream whose entry becomes invalid is removed.
    STRCMP_EQUAL("i-1", std::get<UpstreamRemoval>(items->items[0]).id.value().c_str());
    STRCMP_EQUAL("i-2", std::get<UpstreamRemoval>(items->items[1]).id.value().c_str());
}

// Guards against a list that is unreadable as a whole, and so never ends, because of one item.
TEST(StoreHttpTest, ItemWithoutAValueDoesNotHideOthers)
{
    for (const char *const field : {"", R"("value":null,)", R"("value":7,)"}) {
        const std::string item = fmt::format(
            R"({{"items":[{{"key-file":"servers/i-1",{}"revision":4}},)"
            R"({{"key-file":"op/evacuate/north","value":"e30=","revision":5}}],"current-rev":6}})",
            field);
        const auto items = store.readList({1, ""}, 200, item);
        CHECK_TEXT(items.has_value(), field);
        LONGS_EQUAL(2, items->items.size());
        LONGS_EQUAL(1, items->faults.size());
        CHECK_TRUE(std::get<UpstreamRemoval>(items->items[0]).unreadable);
        CHECK_TRUE(std::get<HallDrain>(items->items[1]).hall == HallId("north"));
    }
}

// Entries may come from another writer, so incomplete ones are rejected.
TEST(StoreHttpTest, RejectsIncompleteUpstreamEntries)
{
    const std::string complete = R"({"service":"s","address":"1.2.3.4:5","zone":"n","capacity":6,)"
                                 R"("phase":"ready","version":"v1","unknown":[1]})";
    CHECK_TRUE(readUpstream("i-1", complete).has_value());
    const std::vector<std::pair<std::string, std::vector<std::string>>> fields = {
        {R"("service":"s")", {R"("service":"")", R"("service":7)", R"("service":null)", ""}},
        {R"("address":"1.2.3.4:5")",
         {R"("address":"1.2.3.4")", R"("address":"1.2.3.4:70000")", R"("address":["1.2.3.4",5])",
          R"("address":"")", ""}},
        {R"("zone":"n")", {R"("zone":1)", R"("zone":null)", ""}},
        {R"("capacity":6)",
         {R"("capacity":"6")", R"("capacity":-1)", R"("capacity":0)", R"("capacity":6.5)",
          R"("capacity":true)", R"("capacity":99999999999)", ""}},
        {R"("phase":"ready")", {R"("phase":"warming")", R"("phase":true)", R"("phase":"")", ""}},
    };
    for (const auto &[field, others] : fields) {
        for (const std::string &other : others) {
            std::string entry = complete;
            const std::size_t comma = other.empty() ? 1 : 0; // The comma after the field.
            entry.replace(entry.find(field), field.size() + comma, other);
            CHECK_TEXT(!readUpstream("i-1", entry).has_value(), entry.c_str());
        }
    }
    for (const char *const text :
         {"", "[]", "null", "7", "{", "\xff\xfe", "{\"service\":\"\xff\"}"}) {
        CHECK_TEXT(!readUpstream("i-1", text).has_value(), text);
    }
}

// Guards against a stack overflow: the message about an invalid field was written recursively.
TEST(StoreHttpTest, RejectsDeeplyNestedUpstreamEntries)
{
    for (const char *field : {"capacity", "service", "phase", "other"}) {
        nlohmann::json entry = {{"service", "one"},
                                {"address", "10.0.0.1:80"},
                                {"zone", "h"},
                                {"capacity", 4},
                                {"phase", "ready"}};
        entry.erase(field);
        const auto record = readUpstream("i-1", withNestedField(entry, field));
        CHECK_FALSE(record.has_value());
        STRCMP_CONTAINS("nested", record.error().c_str());
    }
}

// Guards against a stack overflow: parts of the document were copied recursively.
TEST(StoreHttpTest, RejectsDeeplyNestedRoutingDocuments)
{
    for (const char *field : {"routes", "tenants", "services", "limits", "other"}) {
        nlohmann::json document = nlohmann::json::parse(kRouting);
        document.erase(field);
        const auto routing = readRouting(withNestedField(document, field));
        CHECK_FALSE(routing.has_value());
        STRCMP_CONTAINS("nested", routing.error().c_str());
    }
}

// The message goes into a log line, and a text may be as long as the entry.
TEST(StoreHttpTest, NamesTheTypeOfSlotsThatAreNoNumber)
{
    nlohmann::json entry = {
        {"service", "one"}, {"address", "10.0.0.1:80"}, {"zone", "h"}, {"phase", "ready"}};
    entry["capacity"] = std::string(100'000, 'x');
    STRCMP_EQUAL("'capacity': expected a whole number from 1 to 1000000, found string",
                 readUpstream("i-1", entry.dump()).error().c_str());
    entry["capacity"] = 0;
    STRCMP_EQUAL("'capacity': expected a whole number from 1 to 1000000, found 0",
                 readUpstream("i-1", entry.dump()).error().c_str());
}

TEST(StoreHttpTest, ReadsEra)
{
    LONGS_EQUAL(7, store.readEra({{"store-era", "7"}}));
    for (const char *const text : {"", "x", "-1", "7x", "1.5", "99999999999999999999999"}) {
        LONGS_EQUAL(0, store.readEra({{"Store-Era", text}}));
    }
    LONGS_EQUAL(0, store.readEra({}));
}

TEST(StoreHttpTest, ReadsUpstreamStart)
{
    const std::string complete = R"({"service":"s","address":"1.2.3.4:5","zone":"n","capacity":6,)"
                                 R"("phase":"ready"%})";
    const auto entry = [&complete](const std::string &more) {
        std::string text = complete;
        return text.replace(text.find('%'), 1, more);
    };
    LONGS_EQUAL(1764000000123,
                readUpstream("i-1", entry(R"(,"born":1764000000123)"))->start.value());
    LONGS_EQUAL(0,
                readUpstream("i-1", entry(""))->start.value()); // Older software omits the field.
    for (const char *const born :
         {"\"1\"", "1.5", "0", "-1", "null", "true", "18446744073709551615"}) {
        CHECK_TEXT(!readUpstream("i-1", entry(std::string(",\"born\":") + born)).has_value(), born);
    }
}

TEST(StoreHttpTest, ReadsRemainingWarmUp)
{
    const std::string complete = R"({"service":"s","address":"1.2.3.4:5","zone":"n","capacity":6,)"
                                 R"("phase":"ready"%})";
    const auto entry = [&complete](const std::string &more) {
        std::string text = complete;
        return text.replace(text.find('%'), 1, more);
    };
    const auto left = readUpstream("i-1", entry(R"(,"warmup-left-ms":2500)"))->warmUpLeft;
    CHECK_TRUE(left == Duration(std::chrono::milliseconds(2500)));
    CHECK_TRUE(readUpstream("i-1", entry(R"(,"warmup-left-ms":0)"))->warmUpLeft == Duration{});
    CHECK_FALSE(
        readUpstream("i-1", entry(""))->warmUpLeft.has_value()); // Older software omits the field.
    for (const char *const text : {"\"1\"", "-1", "null", "true", "[]", "1e300"}) {
        const std::string field = std::string(",\"warmup-left-ms\":") + text;
        CHECK_TEXT(!readUpstream("i-1", entry(field)).has_value(), text);
    }
}

// Guards against requests with headers that the id of an upstream adds, and against an empty id.
TEST(StoreHttpTest, UpstreamWhoseIdCannotStandInAHeaderIsSetAside)
{
    constexpr const char *kEntry =
        R"({"service":"s","address":"1.2.3.4:5","zone":"n","capacity":6,"phase":"ready"})";
    for (const char *const id : {"", "a\r\nb: c", "a\n", "\x1f", "a\x7f", " a", "a\t"}) {
        CHECK_TEXT(!readUpstream(id, kEntry).has_value(), id);
    }
    CHECK_FALSE(readUpstream(std::string("a\0", 2), kEntry).has_value());
    for (const char *const id : {"a b", "a\tb", "\xc3\xa9", "\"a\"", "a/b"}) {
        CHECK_TEXT(readUpstream(id, kEntry).has_value(), id);
    }
}

// Guards against requests with headers that an account's name adds, and under no account's name.
TEST(StoreHttpTest, AccountWhoseNameCannotStandInAHeaderHasNoKeys)
{
    for (const char *const name : {"", "a\\r\\nb: c", "a\\u0000", "a\\u007f", " a", "a\\t"}) {
        const auto document = readRouting(
            fmt::format(R"({{"version":1,"routes":[],"tenants":[{{"name":"{}","api-keys":["k"]}},)"
                        R"({{"name":"bids","api-keys":["l"]}}]}})",
                        name));
        CHECK_TEXT(document.has_value(), name);
        const RouteTable table(*document);
        POINTERS_EQUAL(nullptr, table.accountOf("k"));
        STRCMP_EQUAL("bids", table.accountOf("l")->id.value().c_str());
        CHECK_TRUE(table.hasAccounts());
    }
}

// The value is {"version":1,"routes":[],"tenants":[{"name":"","api-keys":["k"]}]}.
TEST(StoreHttpTest, AccountWhoseNameCannotStandInAHeaderIsReported)
{
    const auto items = store.readWatch(
        200,
        R"({"events":[{"key-file":"op/config","value":"eyJ2ZXJzaW9uIjoxLCJyb3V0ZXMiOltdLCJ0ZW5hbnRzIjpbeyJuYW1lIjoiIiwiYXBpLWtleXMiOlsiayJdfV19",)"
        R"("revision":4}],"current-rev":4})");
    UNSIGNED_LONGS_EQUAL(1, items->items.size());
    UNSIGNED_LONGS_EQUAL(1, items->faults.size());
    CHECK_FALSE(items->routingUnreadable);
}

TEST(StoreHttpTest, ReadsWarmUpOfServices)
{
    const auto document = readRouting(
        R"({"version":1,"routes":[],"services":[{"name":"one","warmup-s":3.0,"warmup-per-s":26.0},)"
        R"({"name":"two"}]})");
    CHECK_TRUE(document->services[0].warmUp == Duration(std::chrono::seconds(3)));
    CHECK_TRUE(document->services[0].warmUpRate == RequestRate(26.0));
    CHECK_TRUE(document->services[1].warmUpRate == RequestRate());
}

TEST(StoreHttpTest, ReadsAllowedRegions)
{
    const auto document = readRouting(
        R"({"version":1,"routes":[{"name":"r","hostname":"h","path-prefix":"/","service":"s",)"
        R"("allowed-regions":["centre","coast"]}],)"
        R"("tenants":[{"name":"t","api-keys":[],"allowed-regions":["coast"]},{"name":"u"}]})");
    UNSIGNED_LONGS_EQUAL(2, document->routes[0].regions.size());
    CHECK_TRUE(document->accounts[0].regions == std::vector{RegionId("coast")});
    CHECK_TRUE(document->accounts[1].regions.empty());
    for (const char *const text : {"\"coast\"", "[1]", "[null]", "7"}) {
        const std::string accounts =
            std::string(R"({"version":1,"routes":[],"tenants":[{"name":"t","allowed-regions":)")
            + text + "}]}";
        CHECK_TEXT(!readRouting(accounts).has_value(), text);
    }
}

// The values are "{}" and invalid base64.
TEST(StoreHttpTest, ReadsDrainedHallFromKeyAlone)
{
    const auto items = store.readWatch(
        200, R"({"events":[{"key-file":"op/evacuate/north","value":"e30=","revision":4},)"
             R"({"key-file":"op/evacuate/south","value":"?","revision":5},)"
             R"({"key-file":"op/evacuate/north","revision":6,"removed":true},)"
             R"({"key-file":"op/evacuate/","value":"e30=","revision":7}],"current-rev":7})");
    UNSIGNED_LONGS_EQUAL(3, items->items.size());
    const auto drain = [&items](std::size_t index) {
        return std::get<HallDrain>(items->items[index]);
    };
    CHECK_TRUE(drain(0).hall == HallId("north") && !drain(0).cancelled);
    CHECK_TRUE(drain(1).hall == HallId("south") && !drain(1).cancelled);
    CHECK_TRUE(drain(2).hall == HallId("north") && drain(2).cancelled);
    UNSIGNED_LONGS_EQUAL(1, items->faults.size());
}

TEST(StoreHttpTest, ReportsUnreadableRoutingDocument)
{
    const auto items = store.readWatch(
        200,
        R"({"events":[{"key-file":"op/config","value":"e30=","revision":4}],"current-rev":4})");
    CHECK_TRUE(items->routingUnreadable);
}

TEST(StoreHttpTest, DistinguishesStoreErrors)
{
    CHECK_TRUE(store.readWatch(410, "").error() == StoreError::HistoryCompacted);
    CHECK_TRUE(store.readWatch(503, "").error() == StoreError::Unavailable);
    CHECK_TRUE(store.readWatch(200, "[]").error() == StoreError::Unreadable);
}

// The values are configurations of versions 1 and 2 without routes. Parsing every configuration of
// a rapid sequence would take processor time from the gateway's streams.
TEST(StoreHttpTest, ReadsOnlyTheLastConfiguration)
{
    const auto items = store.readWatch(
        200,
        R"({"events":[)"
        R"({"key-file":"op/config","revision":3,"value":"eyJ2ZXJzaW9uIjoxLCJyb3V0ZXMiOltdfQ=="},)"
        R"({"key-file":"op/config","revision":4,"value":"eyJ2ZXJzaW9uIjoyLCJyb3V0ZXMiOltdfQ=="}],)"
        R"("current-rev":4})");
    LONGS_EQUAL(1, items->items.size());
    LONGS_EQUAL(2, std::get<RoutingDocument>(items->items.front()).version.value());
}

// The value is {"service":"s","address":"1.2.3.4:5","zone":"n","capacity":1,"phase":"ready"}.
TEST(StoreHttpTest, ReadsCreationRevisionOfUpstream)
{
    const auto items = store.readWatch(
        200,
        R"({"events":[{"key-file":"servers/i-1","revision":9,"created":4,"lease":0,"value":)"
        R"("eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxLjIuMy40OjUiLCJ6b25lIjoibiIsImNhcGFjaXR5IjoxLCJwaGFzZSI6InJlYWR5In0="}],"current-rev":9})");
    LONGS_EQUAL(1, items->items.size());
    LONGS_EQUAL(4, std::get<UpstreamRecord>(items->items.front()).listedAt);
}

TEST(StoreHttpTest, EncodesTheCursorInTheQuery)
{
    STRCMP_EQUAL("/kv-range?path-prefix=servers/&since-rev=servers/i-1",
                 store.listCall({1, "servers/i-1"}).path.c_str());
    STRCMP_EQUAL("/kv-range?path-prefix=op/&since-rev=a%2500%26b%3D%2B%20%C3%A9%23%3F%0D%0A",
                 store.listCall({0, "a%00&b=+ \u00e9#?\r\n"}).path.c_str());
}

TEST(StoreHttpTest, ListsOnlyPartsThatHoldRelevantItems)
{
    STRCMP_EQUAL("/kv-range?path-prefix=op/", store.listCall({}).path.c_str());
    STRCMP_EQUAL("/kv-range?path-prefix=servers/", store.listCall({1, {}}).path.c_str());
}

TEST(StoreHttpTest, NextPageBeginsAfterLastKey)
{
    const auto items = store.readList(
        {}, 200,
        R"({"items":[{"key-file":"op/a","value":"","revision":1}],"more-pages":true,)"
        R"("current-rev":3})");
    const ListCursor expected{0, "op/a"};
    CHECK_TRUE(items->nextPage == expected);
}

// Guards against a list that ends early and so drops upstreams that the store still lists.
TEST(StoreHttpTest, EmptyPageBeforeTheLastIsUnreadable)
{
    const auto items = store.readList({}, 200, R"({"items":[],"more-pages":true,"current-rev":3})");
    CHECK_TRUE(!items.has_value() && items.error() == StoreError::Unreadable);
}

TEST(StoreHttpTest, NextPartFollowsLastPageOfAPart)
{
    const char *const lastPage = R"({"items":[],"more-pages":false,"current-rev":3})";
    const ListCursor lastOfFirst{0, "op/a"};
    const ListCursor firstOfSecond{1, ""};
    CHECK_TRUE(store.readList(lastOfFirst, 200, lastPage)->nextPage == firstOfSecond);
    CHECK_FALSE(store.readList(firstOfSecond, 200, lastPage)->nextPage.has_value());
}

TEST_GROUP(EngineHttpTest)
{
    EngineHttp engines;
};

TEST(EngineHttpTest, ReadsTheReportOfAnArmedRank)
{
    const auto report = engines.readReport(
        R"({"group":{"name":"g","epoch":2,"rank":3,"phase":"open"},"size":12,"step":28,"map":0,)"
        R"("prepared":703022,"armed":{"version":703022,"step":30},"held":30,"pace":4.2})");
    CHECK_TRUE(report.has_value());
    LONGS_EQUAL(3, report->rank);
    STRCMP_EQUAL("g", report->group.value().c_str());
    LONGS_EQUAL(703022, report->armed);
    LONGS_EQUAL(30, *report->held);
    CHECK_TRUE(report->open);
    DOUBLES_EQUAL(4.2, report->pace, 1e-9);
}

TEST(EngineHttpTest, RejectsReportWithoutGroup)
{
    CHECK_FALSE(engines.readReport(R"({"stage":"mixed","queued":0})").has_value());
}

TEST(EngineHttpTest, OnlyConflictMeansRefusedOrder)
{
    CHECK_TRUE(engines.readOrderAnswer(200) == MapOrderAnswer::Done);
    CHECK_TRUE(engines.readOrderAnswer(202) == MapOrderAnswer::Done);
    CHECK_TRUE(engines.readOrderAnswer(409) == MapOrderAnswer::Refused);
    CHECK_TRUE(engines.readOrderAnswer(412) == MapOrderAnswer::Fenced);
    CHECK_TRUE(engines.readOrderAnswer(503) == MapOrderAnswer::Lost);
}

TEST(EngineHttpTest, WritesEpochAndFenceIntoOrders)
{
    const MapOrder order{MapOrderKind::Arm, 9, 80, 2, 4096, {}, {}};
    const HttpCallRequest call = engines.orderCall({"127.0.0.1", 1}, order);
    STRCMP_EQUAL(R"({"epoch":2,"fencing-token":4096,"op":"arm","step":80,"version":9})",
                 std::string(call.body.view()).c_str());
}
