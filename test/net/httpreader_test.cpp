#include "net/httpreader.h"

#include <fmt/format.h>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace seamarch;

namespace {

struct Message final : public HttpSink
{
    void onHead(HttpHead value) override { head = std::move(value); }
    void onBody(std::string_view piece) override { body.append(piece); }

    HttpHead head;
    std::string body;
};

constexpr HttpReader::Limits kLimits{256, 64};

// Feeds `text` byte by byte, so that the message is split at every position.
void feedByteByByte(HttpReader &reader, std::string_view text)
{
    for (const char &character : text) {
        reader.feed({&character, 1});
    }
}

HttpFault faultOf(std::string_view text)
{
    Message message;
    HttpReader reader(HttpReader::Kind::Request, kLimits, message);
    reader.feed(text);
    CHECK_TEXT(reader.fault().has_value(), "the reader accepted a message that it must reject");
    return reader.fault().value_or(HttpFault::Malformed);
}

// Returns whether a response with `text` is rejected, whole and byte by byte, and never complete.
bool rejectsResponse(std::string_view text)
{
    Message whole;
    HttpReader reader(HttpReader::Kind::Response, kLimits, whole);
    reader.feed(text);
    Message parts;
    HttpReader slowReader(HttpReader::Kind::Response, kLimits, parts);
    feedByteByByte(slowReader, text);
    return reader.fault() == HttpFault::Malformed && !reader.done()
           && slowReader.fault() == HttpFault::Malformed && !slowReader.done();
}

} // namespace

TEST_GROUP(HttpReaderTest){};

TEST(HttpReaderTest, ReadsRequestThatArrivesByteByByte)
{
    Message message;
    HttpReader reader(HttpReader::Kind::Request, kLimits, message);
    feedByteByByte(reader, "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
    CHECK_TRUE(reader.done());
    STRCMP_EQUAL("POST", message.head.method.c_str());
    STRCMP_EQUAL("/a/b?c=d", message.head.target.c_str());
    STRCMP_EQUAL("abc", message.body.c_str());
    CHECK_TRUE(message.head.persistent);
}

// RFC 9110 section 6.4.1: such a response has no body, whatever length it states.
TEST(HttpReaderTest, ReadsNoBodyOfResponsesThatHaveNone)
{
    for (const char *status : {"204 No Content", "304 Not Modified"}) {
        Message message;
        HttpReader reader(HttpReader::Kind::Response, kLimits, message);
        reader.feed(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 5\r\n\r\n");
        CHECK_TRUE_TEXT(reader.done(), status);
    }
}

TEST(HttpReaderTest, DecodesChunkedBodyAndDropsTrailer)
{
    Message message;
    HttpReader reader(HttpReader::Kind::Request, kLimits, message);
    feedByteByByte(reader, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                           "2;note=1\r\nab\r\n1\r\nc\r\n0\r\nHost: evil\r\n\r\n");
    CHECK_TRUE(reader.done());
    STRCMP_EQUAL("abc", message.body.c_str());
    STRCMP_EQUAL("x", findHeader(message.head.headers, "host").c_str());
}

TEST(HttpReaderTest, StopsAtEndOfMessage)
{
    Message message;
    HttpReader reader(HttpReader::Kind::Request, kLimits, message);
    const std::string first = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na";
    LONGS_EQUAL(first.size(), reader.feed(first + "GET / HTTP/1.1\r\n"));
    CHECK_TRUE(reader.done());
}

TEST(HttpReaderTest, RejectsAmbiguousMessages)
{
    const char *const kMessages[] = {
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +1\r\n\r\na",
        "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n",
        "GET /\r\n\r\n",
        "\x16\x03\x01 hello\r\n\r\n",
    };
    for (const char *const text : kMessages) {
        CHECK_TEXT(faultOf(text) == HttpFault::Malformed, text);
    }
}

// Guards against a target that is forwarded and that an upstream reads only up to a tab, as some
// servers take any blank for the end of the target.
TEST(HttpReaderTest, RejectsTargetsWithTabs)
{
    for (const char *const target : {"/a\tb", "/\tHTTP/1.1", "\t/", "/?\t"}) {
        CHECK_TEXT(faultOf(fmt::format("GET {} HTTP/1.1\r\nHost: x\r\n\r\n", target))
                       == HttpFault::Malformed,
                   target);
    }
}

TEST(HttpReaderTest, RejectsInvalidChunkSize)
{
    Message message;
    HttpReader reader(HttpReader::Kind::Request, kLimits, message);
    reader.feed("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    reader.feed("0x1\r\na\r\n0\r\n\r\n");
    CHECK_TRUE(reader.fault().has_value());
}

TEST(HttpReaderTest, LimitsHeadAndBodySize)
{
    CHECK_TRUE(faultOf("GET / HTTP/1.1\r\nA: " + std::string(300, 'a')) == HttpFault::HeadTooLarge);
    CHECK_TRUE(faultOf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 65\r\n\r\n")
               == HttpFault::BodyTooLarge);
    CHECK_TRUE(faultOf("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n"
                       + std::string(65, 'a'))
               == HttpFault::BodyTooLarge);
}

TEST(HttpReaderTest, AcceptsResponseDelimitedByConnectionEnd)
{
    Message message;
    HttpReader reader(HttpReader::Kind::Response, kLimits, message);
    reader.feed("HTTP/1.1 200 OK\r\nA: b\r\n\r\nsome text");
    CHECK_FALSE(message.head.framed);
    CHECK_FALSE(reader.done());
    CHECK_TRUE(reader.finishOnConnectionEnd());
    STRCMP_EQUAL("some text", message.body.c_str());
}

TEST(HttpReaderTest, RejectsTruncatedResponse)
{
    for (const char *const text :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", "HTTP/1.1 200 OK\r\nContent-Le",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n"}) {
        Message message;
        HttpReader reader(HttpReader::Kind::Response, kLimits, message);
        reader.feed(text);
        CHECK_FALSE_TEXT(reader.finishOnConnectionEnd(), text);
    }
}

TEST(HttpReaderTest, ResponseToHeadRequestHasNoBody)
{
    Message message;
    HttpReader reader(HttpReader::Kind::Response, kLimits, message);
    reader.expectNoBody();
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    CHECK_TRUE(reader.done());
}

TEST(HttpReaderTest, EndToEndHeadersDropsHopByHopHeaders)
{
    const HttpHeaders headers = {
        {"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"X-End", "2"},
        {"Keep-Alive", "timeout=5"},    {"Host", "x"},  {"Transfer-Encoding", "chunked"}};
    const HttpHeaders forwarded = endToEndHeaders(headers);
    LONGS_EQUAL(2, forwarded.size());
    STRCMP_EQUAL("X-End", forwarded[0].name.c_str());
    STRCMP_EQUAL("Host", forwarded[1].name.c_str());
}

TEST(HttpReaderTest, LimitsChunkExtensionsAndTrailersOfRequests)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &text :
         {head + "5;" + std::string(300, 'x'), head + "0\r\nA: " + std::string(300, 'x')}) {
        Message message;
        HttpReader reader(HttpReader::Kind::Request, kLimits, message);
        feedByteByByte(reader, text);
        CHECK(reader.fault() == HttpFault::HeadTooLarge);
    }
}

TEST(HttpReaderTest, AcceptsManyChunksWithShortExtensions)
{
    Message message;
    HttpReader reader(HttpReader::Kind::Request, kLimits, message);
    std::string text = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int chunk = 0; chunk < 60; ++chunk) {
        text += "1;note=twelve\r\na\r\n";
    }
    feedByteByByte(reader, text + "0\r\n\r\n");
    CHECK_TRUE(reader.done());
    LONGS_EQUAL(60, message.body.size());
}

// Guards against a response whose status is no status, taken for an answer or an interim response.
TEST(HttpReaderTest, RejectsStatusesThatHttpDoesNotHave)
{
    for (const char *const status :
         {"000 X", "099 X", "600 X", "999 X", "20 X", "0200 OK", " 200 OK", "200OK", "-20 X", ""}) {
        CHECK_TRUE_TEXT(rejectsResponse(std::string("HTTP/1.1 ") + status + "\r\n\r\n"), status);
    }
}

// Guards against the switch to a protocol that no request asks for, taken for an interim response.
TEST(HttpReaderTest, RejectsSwitchOfProtocols)
{
    CHECK_TRUE(rejectsResponse("HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"));
}

// Guards against names of fields that are no tokens, in final and in interim responses.
TEST(HttpReaderTest, RejectsFieldNamesThatAreNoTokens)
{
    for (const char *const name : {"A B", "A ", "A\tB", "A\x01", "A\x7f", "A\xe9", " A", ""}) {
        const std::string field = std::string(name) + ": x\r\n\r\n";
        CHECK_TRUE_TEXT(rejectsResponse("HTTP/1.1 200 OK\r\n" + field), name);
        CHECK_TRUE_TEXT(rejectsResponse("HTTP/1.1 103 Early Hints\r\n" + field), name);
    }
}

// Guards against chunks and trailers that other implementations read differently.
TEST(HttpReaderTest, RejectsMalformedChunksAndTrailers)
{
    for (const char *const body :
         {"2\rXhi\r\n0\r\n\r\n", "2\r\nhiXX0\r\n\r\n", "2;a\x01\r\nhi\r\n0\r\n\r\n",
          "2\r\nhi\r\n0\r\n\n", "0\r\nA B: x\r\n\r\n", "0\r\nA : x\r\n\r\n", "0\r\nA: x\n\r\n",
          "0\r\nA: x\r\n y\r\n\r\n"}) {
        CHECK_TRUE_TEXT(
            rejectsResponse(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                            + body),
            body);
    }
}

// Guards against a body that is passed on although it is coded in an unknown way.
TEST(HttpReaderTest, RejectsTransferCodingsOtherThanChunks)
{
    for (const char *const coding :
         {"gzip", "gzip, chunked", "identity", "chunked\r\nTransfer-Encoding: chunked"}) {
        CHECK_TRUE_TEXT(rejectsResponse(std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: ")
                                        + coding + "\r\n\r\n"),
                        coding);
    }
    CHECK_TRUE(rejectsResponse("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
}
