// Metrics of a process in the Prometheus text form.
//
// Histograms are kept for each client account and class. Their number is bounded: the first
// `maxAccounts` accounts that are seen get series of their own and all others share the account
// label "other", so 2,200 accounts cannot push a process over its memory.
#pragma once

#include "seamarch/ids.h"
#include "seamarch/units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace seamarch {

// What is timed for each account and class.
enum class RequestStage { QueueWait, FirstToken, BetweenTokens, Total };

class Metrics
{
public:
    explicit Metrics(std::size_t maxAccounts);
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void observe(RequestStage stage, const AccountId &account, std::string_view requestClass,
                 Duration duration);
    // Counts an event, such as an answered request, under a label.
    void count(std::string_view name, std::string_view label, double amount = 1.0);
    void set(std::string_view name, double value);

    // Returns all metrics as text.
    std::string text() const;
    std::size_t histogramCount() const { return histograms_.size(); }

private:
    struct SeriesKey
    {
        RequestStage stage;
        std::string account;
        std::string requestClass;

        friend auto operator<=>(const SeriesKey &, const SeriesKey &) = default;
    };

    const std::string &accountLabel(const AccountId &account);

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Histogram> &requestSeconds_;
    std::size_t maxAccounts_;
    std::map<AccountId, std::string> accountLabels_;
    std::map<SeriesKey, prometheus::Histogram *> histograms_;
    std::map<std::string, prometheus::Family<prometheus::Counter> *, std::less<>> counters_;
    std::map<std::string, prometheus::Gauge *, std::less<>> gauges_;
};

} // namespace seamarch
