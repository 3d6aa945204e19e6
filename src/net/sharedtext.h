// An immutable text that several objects hold without copies, such as the body of a request that is
// kept for a second attempt while it is sent. Copying a SharedText is cheap; the last holder frees
// the text. Single-threaded.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace seamarch {

class SharedText
{
public:
    SharedText() = default;
    explicit SharedText(std::string text)
        : text_(std::make_shared<const std::string>(std::move(text)))
    {}

    // The result is valid as long as any holder of the text.
    std::string_view view() const { return text_ ? std::string_view(*text_) : std::string_view(); }
    std::size_t size() const { return view().size(); }
    bool empty() const { return view().empty(); }

private:
    std::shared_ptr<const std::string> text_;
};

} // namespace seamarch
