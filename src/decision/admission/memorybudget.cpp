#include "decision/admission/memorybudget.h"

#include <algorithm>
#include <limits>

namespace seamarch {
namespace {

constexpr std::size_t kSmallBody = std::size_t{16} * 1024;
// Some dozen events: fewer would stop and resume the upstream at every event.
constexpr std::size_t kMinUnsent = std::size_t{8} * 1024;
constexpr std::size_t kMaxUnsent = std::size_t{256} * 1024;
// An event holds some tokens; one with a large result is let through if there is room for it.
constexpr std::size_t kMinPartialEvent = std::size_t{64} * 1024;
constexpr std::size_t kMaxPartialEvent = std::size_t{8} * 1024 * 1024;

} // namespace

std::size_t MemoryBudget::maxBody() const
{
    return limit_ == 0 ? std::numeric_limits<std::size_t>::max()
                       : std::max(kSmallBody, limit_ - maxAnswers());
}

bool MemoryBudget::admits(const HeldMemory &held, std::size_t bodyBytes) const
{
    const std::size_t answers = std::max(held.answers, maxAnswers());
    return limit_ == 0 || bodyBytes <= kSmallBody
           || held.uploads + held.requests + answers + bodyBytes <= limit_;
}

UploadBudget MemoryBudget::uploads(const HeldMemory &held) const
{
    if (limit_ == 0) {
        constexpr std::size_t kUnlimited = std::numeric_limits<std::size_t>::max();
        return {kUnlimited, kUnlimited};
    }
    const std::size_t others = held.requests + held.answers;
    return {limit_ / 2 - std::min(limit_ / 2, others), limit_ - std::min(limit_, others)};
}

std::size_t MemoryBudget::maxUnsent(std::size_t answers) const
{
    if (limit_ == 0) {
        return kMaxUnsent;
    }
    return std::clamp(shareOfAnswer(answers), kMinUnsent, kMaxUnsent);
}

std::size_t MemoryBudget::maxPartialEvent(std::size_t answers) const
{
    if (limit_ == 0) {
        return kMaxPartialEvent;
    }
    return std::clamp(shareOfAnswer(answers), kMinPartialEvent, kMaxPartialEvent);
}

std::size_t MemoryBudget::shareOfAnswer(std::size_t answers) const
{
    return maxAnswers() / std::max<std::size_t>(1, answers);
}

} // namespace seamarch
