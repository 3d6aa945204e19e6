#include "net/retryafter.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>

namespace seamarch {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;
constexpr Duration kMaxDelay = std::chrono::hours(24);

std::optional<Duration> readSeconds(std::string_view text)
{
    double seconds = 0.0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, seconds, std::chars_format::fixed);
    const bool parsed = !text.empty() && error == std::errc() && stop == end;
    if (!parsed || !std::isfinite(seconds) || seconds < 0.0) {
        return std::nullopt;
    }
    return fromSeconds(std::min(seconds, toSeconds(kMaxDelay)));
}

} // namespace

RetryAfter readRetryAfter(int status, const HttpHeaders &headers)
{
    const std::string &text = findHeader(headers, "retry-after");
    if (text.empty() || (status != kTooManyRequests && status != kServiceUnavailable)) {
        return {};
    }
    RetryAfter result;
    result.delay = readSeconds(text);
    result.invalid = !result.delay;
    return result;
}

} // namespace seamarch
