// Follows the platform's store: lists its items once, then waits for changes.
//
// A watch that hears nothing proves nothing, so each wait is short; its answer, also an empty one,
// confirms that what is held was true when the call was made. A call that is not answered in time
// is given up with its connection, and the next one follows after a pause that doubles, with
// jitter, so that a store that comes back is not met by all gateways together.
//
// A store that comes back from an older copy gives revisions out again: a watch from the one that
// is held would skip what was written below it. So the first answer of a later era, whatever it
// says, begins a new list at once. An answer that does not tell its era is taken for one of the
// same.
#pragma once

#include "gateway/storeprotocol.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpfetch.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>

namespace seamarch {

// Hears what the store says. Outlives the watcher.
class StoreListener
{
public:
    virtual ~StoreListener() = default;

    // All items of the store, as of a call that was made at `sentAt`.
    virtual void onStoreListed(const StoreItems &items, TimePoint sentAt) = 0;
    // Changes; none, when the store only confirmed that there are none.
    virtual void onStoreChanged(const StoreItems &items, TimePoint sentAt) = 0;
    // A call has failed.
    virtual void onStoreFailed(std::string_view cause) = 0;
};

class StoreWatcher
{
public:
    struct Settings
    {
        // How long a watch waits. Shorter waits confirm sooner and cost more calls: keys must be
        // refused five seconds after they were revoked, and every call has a price.
        Duration longPollWait = std::chrono::milliseconds(1000);
        // What an answer may take beyond the wait; a slow store takes some 300 ms.
        Duration answerTimeout = std::chrono::milliseconds(900);
        Duration initialBackoff = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::milliseconds(800);
        // How long to wait after changes before asking for the next. Each answer of a watch is a
        // call, and when many upstreams come and go, changes follow each other in milliseconds.
        Duration coalesceDelay{};
        std::uint64_t seed = 0;
    };

    StoreWatcher(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
                 StoreListener &listener, const Settings &settings);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher &) = delete;
    StoreWatcher &operator=(const StoreWatcher &) = delete;

    void start() { list({}); }
    bool reachable() const { return reachable_; }
    std::uint64_t calls() const { return calls_; }

private:
    enum class Step { List, Watch };

    void list(const std::string &page);
    void watch();
    void makeCall(HttpCallRequest request, Duration timeout);
    void onAnswer(const HttpText &text);
    bool acceptEra(const HttpText &text);
    void onListed(StoreItems items);
    void onChanged(const StoreItems &items);
    void onError(StoreError fault);
    void onFailure(std::string_view cause);
    void endCall();

    EventLoop &loop_;
    HttpClient &client_;
    const StoreProtocol &store_;
    StoreListener &listener_;
    Settings settings_;
    std::mt19937_64 random_;
    Step step_ = Step::List;
    StoreItems listed_; // Of the pages so far.
    TimePoint sentAt_{};
    TimePoint listStartedAt_{};
    HttpCallId call_ = 0;
    TimerId timer_ = 0;
    StorePosition position_;
    std::uint64_t calls_ = 0;
    int failures_ = 0;
    bool reachable_ = false;
};

} // namespace seamarch
