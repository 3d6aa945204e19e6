#include "gateway/storewatcher.h"

#include "base/log.h"
#include "gateway/configreaddelay.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <utility>

namespace seamarch {
namespace {

// A store may cut each watch that waits; a list then confirms the known state in their place.
constexpr std::uint64_t kMaxUnansweredWatches = 3;

// Returns the delay before the next watch call that reading `items` requires.
Duration delayAfter(const StoreItems &items)
{
    std::size_t bytes = 0;
    for (const StoreItem &item : items.items) {
        if (const auto *document = std::get_if<RoutingDocument>(&item)) {
            bytes += document->source.size();
        }
    }
    return configReadDelay(bytes);
}

} // namespace

StoreWatcher::StoreWatcher(EventLoop &loop, HttpClient &client, const StoreProtocol &store,
                           StoreListener &listener, const Settings &settings)
    : loop_(loop)
    , client_(client)
    , store_(store)
    , listener_(listener)
    , settings_(settings)
    , random_(settings.seed)
{}

StoreWatcher::~StoreWatcher()
{
    endCall();
}

void StoreWatcher::endCall()
{
    loop_.cancel(timer_);
    client_.cancel(call_);
}

void StoreWatcher::makeCall(HttpCallRequest request, Duration timeout)
{
    ++calls_;
    sentAt_ = loop_.now();
    request.connectTimeout = settings_.answerTimeout;
    call_ = fetchText(loop_, client_, std::move(request), timeout,
                      [this](const HttpTextResponse &text) {
                          if (text.complete) {
                              onAnswer(text);
                          } else if (text.status != 0) {
                              onUnusableAnswer("answer is too long or was cut off");
                          } else {
                              onNoAnswer();
                          }
                      });
}

void StoreWatcher::list()
{
    step_ = Step::List;
    listed_ = {};
    page_ = {};
    cursors_.clear();
    logListStart();
    fetchPage();
}

void StoreWatcher::fetchPage()
{
    if (page_ == ListCursor()) {
        listStartedAt_ = loop_.now(); // Calls that failed before confirm nothing, and age nothing.
    }
    makeCall(store_.listCall(page_), settings_.answerTimeout);
}

void StoreWatcher::watch()
{
    step_ = Step::Watch;
    makeCall(store_.watchCall(position_.revision, settings_.longPollWait),
             settings_.longPollWait + settings_.answerTimeout);
}

// Adopts the era that an answer reports. Returns false if the answer is unusable: it is from an
// earlier era, or it is the first of a later era and continues from a state that the store has
// lost.
bool StoreWatcher::acceptEra(const HttpTextResponse &text)
{
    const StorePosition reported{store_.readEra(text.headers), 0};
    if (reported.era == 0 || reported.era == position_.era) {
        return true;
    }
    if (reported.era < position_.era) {
        onFailure("answer of an earlier era");
        return false;
    }
    const bool firstEra = position_.era == 0;
    position_ = reported;
    const bool restartsList = step_ == Step::List && listed_.position == StorePosition();
    if (firstEra || restartsList) {
        return true;
    }
    list();
    return false;
}

void StoreWatcher::onAnswer(const HttpTextResponse &text)
{
    if (!acceptEra(text)) {
        return;
    }
    auto items = step_ == Step::List ? store_.readList(page_, text.status, text.body)
                                     : store_.readWatch(text.status, text.body);
    if (!items) {
        onError(items.error());
        return;
    }
    failures_ = 0;
    reachable_ = true;
    items->position.era = position_.era;
    if (step_ == Step::List) {
        onListed(std::move(*items));
    } else {
        onChanged(*items);
    }
}

void StoreWatcher::onListed(StoreItems items)
{
    // A list of several pages is not an atomic snapshot, so changes are watched from the revision
    // of the first page.
    listed_.position = listed_.position == StorePosition() ? items.position : listed_.position;
    std::move(items.items.begin(), items.items.end(), std::back_inserter(listed_.items));
    std::move(items.faults.begin(), items.faults.end(), std::back_inserter(listed_.faults));
    listed_.routingUnreadable = listed_.routingUnreadable || items.routingUnreadable;
    ++progress_.pages;
    if (items.nextPage) {
        logPage();
        page_ = std::move(*items.nextPage);
        if (cursors_.insert(page_).second) {
            fetchPage();
        } else {
            reportFailure("list repeats a page");
            listAgain();
        }
        return;
    }
    logListEnd();
    cursors_.clear();
    progress_.failures = 0;
    position_ = listed_.position;
    const StoreItems snapshot = std::exchange(listed_, {});
    listener_.onStoreListed(snapshot, listStartedAt_);
    watch();
}

// Logs the first list since the last success, and further ones each time that their number has
// doubled, so that a store that fails again and again does not fill the log.
void StoreWatcher::logListStart()
{
    progress_.pages = 0;
    ++progress_.lists;
    if (std::has_single_bit(progress_.lists)) {
        logLine(
            LogLevel::Info, "store.list_started",
            {{"lists", progress_.lists}, {"era", position_.era}, {"revision", position_.revision}});
    }
}

// Logs each time that the number of pages has doubled.
void StoreWatcher::logPage() const
{
    if (std::has_single_bit(progress_.lists) && std::has_single_bit(progress_.pages)) {
        logLine(LogLevel::Info, "store.list_continues",
                {{"pages", progress_.pages},
                 {"items", listed_.items.size()},
                 {"revision", listed_.position.revision},
                 {"ms", toMillis(loop_.now() - listStartedAt_)}});
    }
}

void StoreWatcher::logListEnd() const
{
    logLine(LogLevel::Info, "store.list_ended",
            {{"pages", progress_.pages},
             {"items", listed_.items.size()},
             {"revision", listed_.position.revision},
             {"failures", progress_.failures},
             {"ms", toMillis(loop_.now() - listStartedAt_)}});
}

// Logs the first failure since the last success, and each time that their number has doubled.
void StoreWatcher::logFailure(std::string_view cause)
{
    ++progress_.failures;
    if (std::has_single_bit(progress_.failures)) {
        logLine(LogLevel::Info, "store.call_failed",
                {{"call", step_ == Step::List ? "list" : "watch"},
                 {"cause", cause},
                 {"failures", progress_.failures},
                 {"pages", progress_.pages},
                 {"ms", toMillis(loop_.now() - sentAt_)}});
    }
}

void StoreWatcher::onChanged(const StoreItems &items)
{
    progress_ = {};
    unansweredWatches_ = 0;
    // Other writers' changes count as well: each would be answered with a call otherwise.
    const bool changed = items.position > position_;
    position_ = std::max(position_, items.position);
    listener_.onStoreChanged(items, sentAt_);
    const Duration delay =
        std::max(delayAfter(items), changed ? settings_.coalesceDelay : Duration{});
    if (delay > Duration{}) {
        timer_ = loop_.schedule(delay, [this] { watch(); });
    } else {
        watch();
    }
}

void StoreWatcher::onError(StoreError error)
{
    switch (error) {
    case StoreError::HistoryCompacted:
        listAgain();
        return;
    case StoreError::Unavailable:
        onFailure("refused");
        return;
    case StoreError::Unreadable:
        onUnusableAnswer("unreadable answer");
        return;
    }
}

void StoreWatcher::onNoAnswer()
{
    constexpr std::string_view kCause = "no answer in time";
    if (step_ == Step::Watch && ++unansweredWatches_ >= kMaxUnansweredWatches) {
        onUnusableAnswer(kCause);
    } else {
        onFailure(kCause);
    }
}

// Lists the store anew if the answer is that of a watch: the same watch would be answered with the
// same items for as long as the store keeps its history.
void StoreWatcher::onUnusableAnswer(std::string_view cause)
{
    if (step_ == Step::List) {
        onFailure(cause);
        return;
    }
    unansweredWatches_ = 0;
    reportFailure(cause);
    listAgain();
}

void StoreWatcher::onFailure(std::string_view cause)
{
    reportFailure(cause);
    timer_ = loop_.schedule(backoffAfter(failures_++), [this] {
        if (step_ == Step::List) {
            fetchPage();
        } else if (position_.revision == 0) {
            list(); // No revision of the store's present era is known.
        } else {
            watch();
        }
    });
}

void StoreWatcher::reportFailure(std::string_view cause)
{
    reachable_ = false;
    logFailure(cause);
    listener_.onStoreFailed(cause);
}

// Starts another list: at once if it is the first repetition since the last success, else after a
// backoff.
void StoreWatcher::listAgain()
{
    if (progress_.lists < 2) {
        list();
    } else {
        timer_ = loop_.schedule(backoffAfter(progress_.lists - 2), [this] { list(); });
    }
}

// Returns the delay of a repetition that `repetitions` others preceded.
Duration StoreWatcher::backoffAfter(std::uint64_t repetitions)
{
    constexpr std::uint64_t kMaxDoublings = 3;
    const auto doublings = std::min(repetitions, kMaxDoublings);
    const Duration backoff =
        std::min(settings_.initialBackoff * (1 << doublings), settings_.maxBackoff);
    std::uniform_real_distribution<double> jitter(0.5, 1.5);
    return fromSeconds(toSeconds(backoff) * jitter(random_));
}

} // namespace seamarch
