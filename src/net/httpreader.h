// Reads HTTP/1.1 messages from the bytes of one connection, strictly.
//
// http_parser does the parsing. What it lets pass and what peers are known to read in different
// ways is refused here before it: folded header lines, bare line feeds, blanks before a colon,
// more than one host. A message that is refused is never passed on, so no request can be hidden
// inside another.
//
// One reader serves one direction of one connection, message after message. Single-threaded.
#pragma once

#include "net/httptypes.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace seamarch {

namespace detail {
// http_parser's state. Its header clashes with libwebsockets' and stays in one source file.
struct ParserState;
} // namespace detail

enum class HttpFault {
    Malformed,    // Answered with 400.
    HeadTooLarge, // Answered with 431.
    BodyTooLarge, // Answered with 413.
};

// The head of a message. The first three fields are a request's, the status an answer's.
struct HttpHead
{
    std::string method;
    std::string target; // As it was written: path and query.
    int status = 0;
    HttpHeaders headers;
    bool persistent = false;                    // The connection may be used again.
    bool isHttp10 = false;                      // The peer speaks HTTP/1.0: no chunks.
    bool framed = true;                         // False: the body ends with the connection.
    std::optional<std::uint64_t> contentLength; // Of the body, when the head tells it.
};

// Receives a message as it is read. The reader itself tells when the message is done.
class HttpSink
{
public:
    virtual ~HttpSink() = default;

    virtual void onHead(HttpHead head) = 0;
    virtual void onBody(std::string_view piece) = 0;
};

class HttpReader
{
public:
    enum class Kind { Request, Response };

    struct Limits
    {
        std::size_t headBytes = std::size_t{16} * 1024;
        std::size_t bodyBytes = std::size_t{8} * 1024 * 1024;
    };

    HttpReader(Kind kind, const Limits &limits, HttpSink &sink);
    ~HttpReader();
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    // Gets ready for the next message.
    void reset();
    // The next answer has no body, whatever its head says: it answers a HEAD request.
    void expectNoBody() { noBody_ = true; }
    // Reads up to the end of the current message and returns how many bytes that took; what is
    // left over belongs to the next message.
    std::size_t feed(std::string_view bytes);
    // The peer ended the connection in order. Returns whether that completes the message.
    bool finishOnConnectionEnd();

    // Tells whether any byte of the current message has been read.
    bool started() const { return started_; }
    bool headDone() const { return headDone_; }
    bool done() const { return done_; }
    std::optional<HttpFault> fault() const { return fault_; }

private:
    std::size_t feedHead(std::string_view bytes);
    void parseHead();
    void setFault(HttpFault fault) { fault_ = fault; }
    std::size_t execute(std::string_view bytes);
    int onHeadersComplete();
    int onBodyPiece(std::string_view piece);

    friend struct detail::ParserState;

    Kind kind_;
    Limits limits_;
    HttpSink &sink_;
    std::unique_ptr<detail::ParserState> parser_;
    std::string headText_; // The head as read so far.
    HttpHead head_;
    bool lastWasValue_ = true;
    bool started_ = false;
    bool headDone_ = false;
    bool done_ = false;
    bool noBody_ = false;
    std::uint64_t bodySize_ = 0;
    std::optional<HttpFault> fault_;
};

} // namespace seamarch
