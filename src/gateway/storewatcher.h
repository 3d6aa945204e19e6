// Follows the platform's store: lists all items once, then watches for changes with long polls.
//
// The absence of an event alone does not prove that a watch is alive, so each watch call is short;
// its answer, even an empty one, confirms that the known state was current when the call was sent.
// A call that is not answered in time is cancelled along with its connection. The next one follows
// after an exponential backoff with jitter, so that a recovering store does not receive calls from
// all gateways at once.
//
// A list of several pages continues at the page whose call failed, so that it ends however many of
// its calls fail. A list whose pages repeat is given up and begun anew after a backoff. A watch
// covers the items of other writers as well; if they make its answer too long or unreadable, or
// several watches are not answered, a list, which leaves those items out, takes its place.
//
// A store that is restored from an older copy issues revisions again, and a watch from the known
// revision would skip what was written below it. The first answer of a later era, whatever its
// content, therefore starts a new list at once. An answer without an era counts as one of the
// current era.
#pragma once

#include "gateway/storeprotocol.h"
#include "net/eventloop.h"
#include "net/httpclient.h"
#include "net/httpfetch.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace seamarch {

// Receives the results of store calls. Must outlive the watcher.
class StoreListener
{
public:
    virtual ~StoreListener() = default;

    // Called with all items of the store, as of a list whose first call was sent at `sentAt`.
    virtual void onStoreListed(const StoreItems &items, TimePoint sentAt) = 0;
    // Called with changes, or with no items if the store confirms that there are none.
    virtual void onStoreChanged(const StoreItems &items, TimePoint sentAt) = 0;
    // Called when a call has failed.
    virtual void onStoreFailed(std::string_view cause) = 0;
};

class StoreWatcher
{
public:
    struct Settings
    {
        // How long a watch call waits for changes. Shorter waits confirm the state sooner but cost
        // more calls: keys must be refused five seconds after their revocation, and each call has a
        // price.
        Duration longPollWait = std::chrono::milliseconds(1000);
        // Time allowed for an answer beyond the wait, and for connecting. A slow store takes about
        // 300 ms.
        Duration answerTimeout = std::chrono::milliseconds(900);
        Duration initialBackoff = std::chrono::milliseconds(100);
        Duration maxBackoff = std::chrono::milliseconds(800);
        // Delay after a change before the next watch call. Each answer costs one call, and while
        // many upstreams start and stop, changes are only milliseconds apart.
        Duration coalesceDelay{};
        std::uint64_t seed = 0;
    };

    StoreWatcher(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
                 StoreListener &listener, const Settings &settings);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher &) = delete;
    StoreWatcher &operator=(const StoreWatcher &) = delete;

    void start() { list(); }
    bool reachable() const { return reachable_; }
    std::uint64_t calls() const { return calls_; }

private:
    enum class Step { List, Watch };

    // What has happened since the last success, for the log. A watch that is answered is a success;
    // the end of a list is one for failures.
    struct Progress
    {
        std::uint64_t lists = 0; // Lists begun.
        std::uint64_t pages = 0; // Pages of the current list.
        std::uint64_t failures = 0;
    };

    // Starts a list at its first page.
    void list();
    void listAgain();
    // Requests the next page of the current list.
    void fetchPage();
    void watch();
    void makeCall(HttpCallRequest request, Duration timeout);
    void onAnswer(const HttpTextResponse &text);
    bool acceptEra(const HttpTextResponse &text);
    void onListed(StoreItems items);
    void logListStart();
    void logPage() const;
    void logListEnd() const;
    void logFailure(std::string_view cause);
    void onChanged(const StoreItems &items);
    void onError(StoreError error);
    void onNoAnswer();
    void onUnusableAnswer(std::string_view cause);
    // Repeats the call that failed after a backoff.
    void onFailure(std::string_view cause);
    void reportFailure(std::string_view cause);
    Duration backoffAfter(std::uint64_t repetitions);
    void endCall();

    EventLoop &loop_;
    HttpClient &client_;
    const StoreProtocol &store_;
    StoreListener &listener_;
    Settings settings_;
    std::mt19937_64 random_;
    Step step_ = Step::List;
    StoreItems listed_; // Merged from the pages received so far.
    ListCursor page_;   // The page that is requested.
    Progress progress_;
    std::set<ListCursor> cursors_; // Of the pages of the current list.
    TimePoint sentAt_{};
    TimePoint listStartedAt_{};
    HttpCallId call_ = 0;
    TimerId timer_ = 0;
    StorePosition position_;
    std::uint64_t calls_ = 0;
    std::uint64_t failures_ = 0;          // In a row.
    std::uint64_t unansweredWatches_ = 0; // Since the last success or list.
    bool reachable_ = false;
};

} // namespace seamarch
