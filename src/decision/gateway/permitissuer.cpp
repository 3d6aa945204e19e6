#include "decision/gateway/permitissuer.h"

#include <algorithm>

namespace seamarch {
namespace {

constexpr Duration kAskersSpan = std::chrono::seconds(1);

} // namespace

PermitIssuer::Book &PermitIssuer::bookOf(const InstanceId &upstream, RequestRate limit,
                                         TimePoint now)
{
    const double rate = std::max(limit.perSecond() * settings_.part, settings_.least.perSecond());
    constexpr double kNothingSaved = 0.0;
    Book &book = books_.try_emplace(upstream, Book{TokenBucket(rate, kNothingSaved, now), {}, now})
                     .first->second;
    book.bucket.setRate(rate, std::max(1.0, rate * settings_.savedSeconds), now);
    book.usedAt = now;
    return book;
}

PermitAnswer PermitIssuer::take(const InstanceId &upstream, RequestRate limit,
                                const InstanceId &asker, std::uint32_t wanted, TimePoint now)
{
    Book &book = bookOf(upstream, limit, now);
    std::erase_if(book.askers,
                  [now](const auto &entry) { return now - entry.second > kAskersSpan; });
    book.askers[asker] = now;
    PermitAnswer answer;
    while (answer.granted < wanted) {
        if (const auto wait = book.bucket.tryAcquire(now)) {
            const auto askers = static_cast<Duration::rep>(book.askers.size());
            answer.askAgain = std::max(*wait, settings_.pausePerAsker * askers);
            return answer;
        }
        ++answer.granted;
    }
    return answer;
}

void PermitIssuer::expire(TimePoint now)
{
    std::erase_if(books_,
                  [&](const auto &entry) { return now - entry.second.usedAt > settings_.life; });
}

} // namespace seamarch
