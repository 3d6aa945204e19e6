#include "net/httpreader.h"

#include "net/httpstatus.h"
#include "net/httpsyntax.h"

#include <algorithm>
#include <http_parser.h>
#include <limits>

namespace seamarch {
namespace {

constexpr std::string_view kHeadTerminator = "\r\n\r\n";
constexpr int kSwitchingProtocols = 101;

bool isWellFormedField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    return std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon), isTokenChar)
           && std::all_of(line.begin(), line.end(), isFieldChar);
}

// Returns whether `line` states one of HTTP's versions 1.x and a status of HTTP (RFC 9110 section
// 15). http_parser reads other numbers, too, and numbers with leading zeros or blanks.
bool isWellFormedStatusLine(std::string_view line)
{
    constexpr std::string_view kVersionPrefix = "HTTP/1.";
    constexpr std::size_t kStatusStart = kVersionPrefix.size() + 2;
    constexpr std::size_t kStatusEnd = kStatusStart + 3;
    const auto isDigit = [&line](std::size_t at) { return line[at] >= '0' && line[at] <= '9'; };
    return line.starts_with(kVersionPrefix) && line.size() >= kStatusEnd
           && line[kStatusStart - 1] == ' ' && line[kStatusStart] >= '1'
           && line[kStatusStart] <= '5' && isDigit(kStatusStart + 1) && isDigit(kStatusStart + 2)
           && (line.size() == kStatusEnd || line[kStatusEnd] == ' ');
}

// Returns whether every line of a head ends in CRLF and, after the first, is an unambiguous field.
bool isWellFormedHead(std::string_view head)
{
    bool first = true;
    while (head != "\r\n" && !head.empty()) {
        const std::size_t end = head.find("\r\n");
        if (end == std::string_view::npos) {
            return false;
        }
        const std::string_view line = head.substr(0, end);
        const bool valid =
            first ? std::all_of(line.begin(), line.end(), isFieldChar) : isWellFormedField(line);
        if (!valid) {
            return false;
        }
        first = false;
        head.remove_prefix(end + 2);
    }
    return true;
}

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view kBlanks = " \t";
    const std::size_t first = text.find_first_not_of(kBlanks);
    const std::size_t last = text.find_last_not_of(kBlanks);
    return first == std::string_view::npos ? std::string_view()
                                           : text.substr(first, last - first + 1);
}

std::size_t countHeaders(const HttpHeaders &headers, std::string_view name)
{
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(), [name](const HttpHeader &header) {
            return equalsIgnoreCase(header.name, name);
        }));
}

// Returns whether the body is coded in a way that this reader decodes: not at all, or in chunks. A
// Transfer-Encoding field in a message of HTTP/1.0 shows that its sender does not mean chunks (RFC
// 9112 section 6.1).
bool hasKnownCoding(const HttpHeaders &headers, bool isHttp10)
{
    const std::size_t fields = countHeaders(headers, "transfer-encoding");
    return fields == 0
           || (fields == 1 && !isHttp10
               && equalsIgnoreCase(trimmed(findHeader(headers, "transfer-encoding")), "chunked"));
}

} // namespace

struct detail::ParserState
{
    http_parser state{};

    static HttpReader &readerOf(http_parser *parser)
    {
        return *static_cast<HttpReader *>(parser->data);
    }
    static const http_parser_settings &callbacks();
    static int onUrl(http_parser *parser, const char *at, std::size_t size);
    static int onField(http_parser *parser, const char *at, std::size_t size);
    static int onValue(http_parser *parser, const char *at, std::size_t size);
    static int onDone(http_parser *parser);
};

int detail::ParserState::onUrl(http_parser *parser, const char *at, std::size_t size)
{
    readerOf(parser).head_.target.append(at, size);
    return 0;
}

int detail::ParserState::onField(http_parser *parser, const char *at, std::size_t size)
{
    HttpReader &reader = readerOf(parser);
    if (reader.headDone_) {
        return 0; // Trailers are dropped.
    }
    if (reader.lastWasValue_) {
        reader.head_.headers.emplace_back();
        reader.lastWasValue_ = false;
    }
    reader.head_.headers.back().name.append(at, size);
    return 0;
}

int detail::ParserState::onValue(http_parser *parser, const char *at, std::size_t size)
{
    HttpReader &reader = readerOf(parser);
    if (!reader.headDone_) {
        reader.lastWasValue_ = true;
        reader.head_.headers.back().value.append(at, size);
    }
    return 0;
}

int detail::ParserState::onDone(http_parser *parser)
{
    readerOf(parser).done_ = true;
    http_parser_pause(parser, 1); // Stop here until the reader is reset.
    return 0;
}

const http_parser_settings &detail::ParserState::callbacks()
{
    static const http_parser_settings kCallbacks = [] {
        // feedHead() enforces the limit on the head before the parser sees it.
        http_parser_set_max_header_size(std::numeric_limits<std::uint32_t>::max());
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = onUrl;
        settings.on_header_field = onField;
        settings.on_header_value = onValue;
        settings.on_headers_complete = [](http_parser *parser) {
            return readerOf(parser).onHeadersComplete();
        };
        settings.on_body = [](http_parser *parser, const char *at, std::size_t size) {
            return readerOf(parser).onBodyPiece({at, size});
        };
        settings.on_message_complete = onDone;
        return settings;
    }();
    return kCallbacks;
}

HttpReader::HttpReader(Kind kind, const Limits &limits, HttpSink &sink)
    : kind_(kind)
    , limits_(limits)
    , sink_(sink)
    , parser_(std::make_unique<detail::ParserState>())
{
    reset();
}

HttpReader::~HttpReader() = default;

void HttpReader::reset()
{
    http_parser_init(&parser_->state, kind_ == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_->state.data = this;
    headText_.clear();
    head_ = {};
    lastWasValue_ = true;
    started_ = false;
    headDone_ = false;
    done_ = false;
    noBody_ = false;
    bodySize_ = 0;
    bytesSinceBody_ = 0;
    framing_.reset();
    fault_.reset();
}

std::size_t HttpReader::execute(std::string_view bytes)
{
    const std::size_t used = http_parser_execute(&parser_->state, &detail::ParserState::callbacks(),
                                                 bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&parser_->state);
    if (error != HPE_OK && !(error == HPE_PAUSED && done_) && !fault_) {
        setFault(HttpFault::Malformed);
    }
    return used;
}

int HttpReader::onHeadersComplete()
{
    constexpr int kSkipBody = 1;
    constexpr int kAbort = -1;
    http_parser &parser = parser_->state;
    bool hasBody = !noBody_;
    parser.upgrade = 0; // Upgrades are not supported; the message is read as HTTP.
    const bool hasLength = parser.content_length != std::numeric_limits<std::uint64_t>::max();
    const bool chunked = (parser.flags & F_CHUNKED) != 0;
    head_.isHttp10 = parser.http_major == 1 && parser.http_minor == 0;
    if (parser.http_major != 1 || !hasKnownCoding(head_.headers, head_.isHttp10)) {
        return kAbort;
    }
    if (kind_ == Kind::Request) {
        head_.method = http_method_str(static_cast<http_method>(parser.method));
        if (countHeaders(head_.headers, "host") > 1 || parser.method == HTTP_CONNECT) {
            return kAbort;
        }
        if (hasLength && parser.content_length > limits_.bodyBytes) {
            setFault(HttpFault::BodyTooLarge);
            return kAbort;
        }
    } else {
        head_.status = static_cast<int>(parser.status_code);
        if (head_.status == kSwitchingProtocols) {
            return kAbort; // No request asks for it, and what follows is not HTTP.
        }
        hasBody = hasBody && !statusHasNoBody(head_.status); // Whatever length it states.
        head_.framed = !hasBody || hasLength || chunked;
    }
    head_.persistent = http_should_keep_alive(&parser) != 0;
    if (hasLength) {
        head_.contentLength = parser.content_length;
    }
    if (hasBody && chunked) {
        framing_.emplace();
    }
    headDone_ = true;
    sink_.onHead(std::move(head_));
    return hasBody ? 0 : kSkipBody;
}

int HttpReader::onBodyPiece(std::string_view piece)
{
    bodySize_ += piece.size();
    if (kind_ == Kind::Request && bodySize_ > limits_.bodyBytes) {
        setFault(HttpFault::BodyTooLarge);
        return -1;
    }
    sink_.onBody(piece);
    return 0;
}

void HttpReader::parseHead()
{
    const std::string_view firstLine =
        std::string_view(headText_).substr(0, headText_.find("\r\n"));
    // http_parser takes a tab for a part of the target.
    const bool validFirstLine = kind_ == Kind::Response
                                    ? isWellFormedStatusLine(firstLine)
                                    : firstLine.find('\t') == std::string_view::npos;
    if (!isWellFormedHead(headText_) || !validFirstLine) {
        setFault(HttpFault::Malformed);
        return;
    }
    execute(headText_);
}

std::size_t HttpReader::feedHead(std::string_view bytes)
{
    std::size_t skipped = 0;
    if (headText_.empty()) {
        // A server should ignore an empty line before a request (RFC 9112 section 2.2).
        while (kind_ == Kind::Request && skipped < bytes.size()
               && (bytes[skipped] == '\r' || bytes[skipped] == '\n')) {
            ++skipped;
        }
    }
    bytes.remove_prefix(skipped);
    if (bytes.empty()) {
        return skipped;
    }
    started_ = true;
    const std::size_t previousSize = headText_.size();
    const std::size_t available =
        limits_.headBytes + 1 > previousSize ? limits_.headBytes + 1 - previousSize : 0;
    headText_.append(bytes.substr(0, available));
    const std::size_t searchStart =
        previousSize > kHeadTerminator.size() ? previousSize - kHeadTerminator.size() : 0;
    const std::size_t end = headText_.find(kHeadTerminator, searchStart);
    if (end == std::string::npos) {
        if (headText_.size() > limits_.headBytes) {
            setFault(HttpFault::HeadTooLarge);
        }
        return skipped + bytes.size();
    }
    headText_.resize(end + kHeadTerminator.size());
    const std::size_t used = headText_.size() - previousSize;
    parseHead();
    return skipped + used;
}

// Parses a part of the body. Chunk extensions and trailers are dropped, so that only their size
// shows that they have no end.
std::size_t HttpReader::feedBody(std::string_view bytes)
{
    const std::uint64_t previousSize = bodySize_;
    const std::size_t valid = framing_ ? framing_->feed(bytes) : bytes.size();
    // http_parser takes an empty part for the end of the connection.
    const std::size_t used = valid == 0 ? 0 : execute(bytes.substr(0, valid));
    if (framing_ && framing_->malformed() && !fault_) {
        setFault(HttpFault::Malformed);
    }
    bytesSinceBody_ = bodySize_ == previousSize ? bytesSinceBody_ + used : 0;
    if (bytesSinceBody_ > limits_.headBytes && !done_ && !fault_) {
        setFault(HttpFault::HeadTooLarge);
    }
    return used;
}

std::size_t HttpReader::feed(std::string_view bytes)
{
    std::size_t used = 0;
    if (!headDone_ && !fault_) {
        used = feedHead(bytes);
        bytes.remove_prefix(used);
    }
    if (!headDone_ || done_ || fault_ || bytes.empty()) {
        return used;
    }
    return used + feedBody(bytes);
}

bool HttpReader::finishOnConnectionEnd()
{
    if (done_) {
        return true;
    }
    if (!headDone_ || fault_) {
        return false;
    }
    execute({});
    return done_;
}

} // namespace seamarch
