// Checks the framing of a chunked message body (RFC 9112 section 7.1) byte by byte.
//
// http_parser takes any byte for the line feed of a chunk's size and for the line end after its
// data, and accepts trailers that other implementations read differently: names with blanks, folded
// lines and bare line feeds. A body that another implementation would delimit differently is not
// the one that its sender meant, so HttpReader passes on only what this class accepts.
//
// Chunk extensions and trailers are checked and otherwise ignored. Single-threaded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace seamarch {

class ChunkedFraming
{
public:
    // Reads up to the end of the body or the first byte that is not valid, and returns how many
    // valid bytes `bytes` begins with.
    std::size_t feed(std::string_view bytes);
    // Returns whether the whole body with its trailer has been read.
    bool done() const { return state_ == State::Done; }
    // Returns whether a byte that is not valid has been read. It is the last state.
    bool malformed() const { return state_ == State::Malformed; }

private:
    enum class State : std::uint8_t {
        FirstSizeDigit,
        Size,
        Extension,
        SizeLineFeed,
        Data,
        DataReturn, // The line end after the data.
        DataLineFeed,
        TrailerStart, // A field, or the empty line that ends the body.
        TrailerName,
        TrailerValue,
        TrailerLineFeed,
        LastLineFeed,
        Done,
        Malformed,
    };

    State next(char character);
    State afterSizeDigit(char character);

    State state_ = State::FirstSizeDigit;
    std::uint64_t chunkSize_ = 0;
    std::uint64_t dataLeft_ = 0;
};

} // namespace seamarch
