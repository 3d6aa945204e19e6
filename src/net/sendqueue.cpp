#include "net/sendqueue.h"

#include <utility>

namespace seamarch {

std::string_view SendQueue::Segment::rest() const
{
    return shared.empty() ? std::string_view(copied) : shared.view().substr(sent);
}

void SendQueue::append(std::string_view bytes)
{
    if (bytes.empty()) {
        return;
    }
    if (segments_.empty() || !segments_.back().shared.empty()) {
        segments_.emplace_back();
    }
    segments_.back().copied.append(bytes);
    size_ += bytes.size();
    copiedSize_ += bytes.size();
}

void SendQueue::append(SharedText text)
{
    if (text.empty()) {
        return;
    }
    size_ += text.size();
    segments_.push_back({{}, std::move(text), 0});
}

std::string_view SendQueue::front() const
{
    return segments_.empty() ? std::string_view() : segments_.front().rest();
}

void SendQueue::removeFront(std::size_t size)
{
    if (size == 0) {
        return;
    }
    Segment &segment = segments_.front();
    size_ -= size;
    if (segment.shared.empty()) {
        copiedSize_ -= size;
    }
    if (size == segment.rest().size()) {
        segments_.erase(segments_.begin());
    } else if (segment.shared.empty()) {
        segment.copied.erase(0, size);
    } else {
        segment.sent += size;
    }
    if (segments_.empty()) {
        segments_.shrink_to_fit();
    }
}

void SendQueue::clear()
{
    *this = SendQueue();
}

} // namespace seamarch
