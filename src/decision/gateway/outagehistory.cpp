#include "decision/gateway/outagehistory.h"

#include <algorithm>

namespace seamarch {
namespace {

// An outage is expected to last for at least the time that engines take to start.
constexpr Duration kMinExpected = std::chrono::seconds(1);

} // namespace

void OutageHistory::onState(bool up, TimePoint now)
{
    if (up) {
        if (downSince_ && !upSince_) {
            upSince_ = now;
        }
        if (upSince_ && now - *upSince_ >= settings_.minUpTime) {
            lengths_.push_back(*upSince_ - *downSince_);
            if (lengths_.size() > settings_.maxOutages) {
                lengths_.pop_front();
            }
            downSince_.reset();
            upSince_.reset();
        }
        return;
    }
    downSince_ = downSince_.value_or(now);
    upSince_.reset();
}

std::optional<Duration> OutageHistory::age(TimePoint now) const
{
    return downSince_ && !upSince_ ? std::optional(now - *downSince_) : std::nullopt;
}

// The outages of the past count one each, and one more stands for what is not known of the present
// one: that it goes on for as long as it has lasted is as likely as not.
double OutageHistory::endsWithin(Duration time, TimePoint now) const
{
    const std::optional<Duration> lasted = age(now);
    if (!lasted) {
        return 1.0;
    }
    const double seconds = toSeconds(time);
    const double expected = toSeconds(std::max(*lasted, kMinExpected));
    const double unknown = seconds <= 0.0 ? 0.0 : seconds / (seconds + expected);
    const auto comparable = std::count_if(lengths_.begin(), lengths_.end(),
                                          [&](Duration length) { return length >= *lasted; });
    const auto ended = std::count_if(lengths_.begin(), lengths_.end(), [&](Duration length) {
        return length >= *lasted && length <= *lasted + time;
    });
    return (static_cast<double>(ended) + unknown) / (static_cast<double>(comparable) + 1.0);
}

} // namespace seamarch
