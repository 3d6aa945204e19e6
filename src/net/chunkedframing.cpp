#include "net/chunkedframing.h"

#include "net/httpsyntax.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <optional>

namespace seamarch {
namespace {

constexpr std::uint64_t kHexBase = 16;

std::optional<std::uint64_t> hexDigit(char character)
{
    std::uint64_t value = 0;
    const auto [stop, error] = std::from_chars(&character, &character + 1, value, kHexBase);
    return error == std::errc() ? std::optional(value) : std::nullopt;
}

} // namespace

std::size_t ChunkedFraming::feed(std::string_view bytes)
{
    std::size_t used = 0;
    while (used < bytes.size() && !done()) {
        if (state_ == State::Data) {
            const std::uint64_t size = std::min<std::uint64_t>(dataLeft_, bytes.size() - used);
            dataLeft_ -= size;
            used += size;
            state_ = dataLeft_ == 0 ? State::DataReturn : State::Data;
            continue;
        }
        state_ = next(bytes[used]);
        if (malformed()) {
            return used;
        }
        ++used;
    }
    return used;
}

ChunkedFraming::State ChunkedFraming::afterSizeDigit(char character)
{
    const auto digit = hexDigit(character);
    if (!digit || chunkSize_ > std::numeric_limits<std::uint64_t>::max() / kHexBase) {
        return State::Malformed;
    }
    chunkSize_ = chunkSize_ * kHexBase + *digit;
    return State::Size;
}

ChunkedFraming::State ChunkedFraming::next(char character)
{
    const auto expect = [character](char expected, State following) {
        return character == expected ? following : State::Malformed;
    };
    switch (state_) {
    case State::FirstSizeDigit:
        chunkSize_ = 0;
        return afterSizeDigit(character);
    case State::Size:
        if (character == ';' || character == ' ' || character == '\t') {
            return State::Extension;
        }
        return character == '\r' ? State::SizeLineFeed : afterSizeDigit(character);
    case State::Extension:
        return isFieldChar(character) ? State::Extension : expect('\r', State::SizeLineFeed);
    case State::SizeLineFeed:
        dataLeft_ = chunkSize_;
        return expect('\n', chunkSize_ == 0 ? State::TrailerStart : State::Data);
    case State::DataReturn:
        return expect('\r', State::DataLineFeed);
    case State::DataLineFeed:
        return expect('\n', State::FirstSizeDigit);
    case State::TrailerStart:
        return isTokenChar(character) ? State::TrailerName : expect('\r', State::LastLineFeed);
    case State::TrailerName:
        return isTokenChar(character) ? State::TrailerName : expect(':', State::TrailerValue);
    case State::TrailerValue:
        return isFieldChar(character) ? State::TrailerValue : expect('\r', State::TrailerLineFeed);
    case State::TrailerLineFeed:
        return expect('\n', State::TrailerStart);
    case State::LastLineFeed:
        return expect('\n', State::Done);
    case State::Data:
    case State::Done:
    case State::Malformed:
        break;
    }
    return state_;
}

} // namespace seamarch
