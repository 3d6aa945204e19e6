// A strict parser of the HTTP/1.1 messages of one connection.
//
// http_parser does the parsing. This reader rejects constructs that http_parser accepts but that
// implementations are known to interpret differently: folded header lines, bare line feeds, spaces
// before a colon, more than one Host header, malformed chunks and trailers, transfer codings other
// than chunks, and statuses that HTTP does not have. A rejected message is never passed on, which
// prevents request smuggling and keeps malformed responses from callers.
//
// One reader parses one direction of one connection, message after message. Single-threaded.
#pragma once

#include "net/chunkedframing.h"
#include "net/httptypes.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace seamarch {

namespace detail {
// Holds the state of http_parser, whose header conflicts with that of libwebsockets and is
// therefore included in source files only.
struct ParserState;
} // namespace detail

// Reasons to reject a message, with the status that a server responds with.
enum class HttpFault {
    Malformed,    // Status 400.
    HeadTooLarge, // Status 431.
    BodyTooLarge, // Status 413.
};

// The head of a message. `method` and `target` are set in requests, `status` in responses.
struct HttpHead
{
    std::string method;
    std::string target; // As sent: path and query.
    int status = 0;
    HttpHeaders headers;
    bool persistent = false;                    // The peer allows reuse of the connection.
    bool isHttp10 = false;                      // The peer uses HTTP/1.0, without chunked coding.
    bool framed = true;                         // False: the end of the connection ends the body.
    std::optional<std::uint64_t> contentLength; // Unset if the head does not state it.
};

// Receives a message as it is read. HttpReader::done() reports whether the message is complete.
class HttpSink
{
public:
    virtual ~HttpSink() = default;

    virtual void onHead(HttpHead head) = 0;
    virtual void onBody(std::string_view piece) = 0;
};

// Parses the messages of one direction of a connection and passes them to a sink.
class HttpReader
{
public:
    enum class Kind { Request, Response };

    // Sizes above which a message is rejected. `headBytes` also limits what may come between parts
    // of a chunked body and after it; `bodyBytes` applies to requests only.
    struct Limits
    {
        std::size_t headBytes = std::size_t{16} * 1024;
        std::size_t bodyBytes = std::size_t{8} * 1024 * 1024;
    };

    HttpReader(Kind kind, const Limits &limits, HttpSink &sink);
    ~HttpReader();
    HttpReader(const HttpReader &) = delete;
    HttpReader &operator=(const HttpReader &) = delete;

    // Prepares for the next message and clears the fault.
    void reset();
    // Declares that the next response has no body, whatever its head states, because it responds to
    // a HEAD request.
    void expectNoBody() { noBody_ = true; }
    // Reads up to the end of the current message and returns the number of bytes consumed. The
    // remaining bytes belong to the next message.
    std::size_t feed(std::string_view bytes);
    // Handles an orderly end of the connection. Returns whether the message is complete.
    bool finishOnConnectionEnd();

    // Returns whether any byte of the current message has been read.
    bool started() const { return started_; }
    bool headDone() const { return headDone_; }
    bool done() const { return done_; }
    std::optional<HttpFault> fault() const { return fault_; }

private:
    std::size_t feedHead(std::string_view bytes);
    void parseHead();
    void setFault(HttpFault fault) { fault_ = fault; }
    std::size_t feedBody(std::string_view bytes);
    std::size_t execute(std::string_view bytes);
    int onHeadersComplete();
    int onBodyPiece(std::string_view piece);

    friend struct detail::ParserState;

    Kind kind_;
    Limits limits_;
    HttpSink &sink_;
    std::unique_ptr<detail::ParserState> parser_;
    std::string headText_; // The part of the head read so far.
    HttpHead head_;
    bool lastWasValue_ = true;
    bool started_ = false;
    bool headDone_ = false;
    bool done_ = false;
    bool noBody_ = false;
    std::uint64_t bodySize_ = 0;
    std::size_t bytesSinceBody_ = 0;        // Chunk sizes with extensions, and the trailer.
    std::optional<ChunkedFraming> framing_; // Set while a chunked body is read.
    std::optional<HttpFault> fault_;
};

} // namespace seamarch
