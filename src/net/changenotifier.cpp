#include "net/changenotifier.h"

namespace seamarch {

kj::Promise<void> ChangeNotifier::wait(Duration timeout)
{
    const std::uint64_t id = nextId_++;
    auto paf = kj::newPromiseAndFulfiller<void>();
    waiting_.emplace(id, kj::mv(paf.fulfiller));
    loop_.schedule(timeout, [this, id] {
        const auto found = waiting_.find(id);
        if (found != waiting_.end()) {
            found->second->fulfill();
            waiting_.erase(found);
        }
    });
    return kj::mv(paf.promise);
}

void ChangeNotifier::notifyAll()
{
    for (auto &[id, fulfiller] : waiting_) {
        fulfiller->fulfill();
    }
    waiting_.clear();
}

} // namespace seamarch
