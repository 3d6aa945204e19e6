// Metrics of a process in the Prometheus text format.
//
// Histograms are kept per client account and request class. Their number is bounded: the first
// `maxAccounts` accounts get time series of their own, and all others share the account label
// "other", so that 2,200 accounts cannot exhaust the memory of a process.
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

// A stage of a request whose duration is measured per account and class.
enum class RequestStage { QueueWait, FirstToken, BetweenTokens, Total };

// The registry of a process's histograms, counters and gauges. A metric is created on first use.
class Metrics
{
public:
    explicit Metrics(std::size_t maxAccounts);
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    // Adds the duration of a stage to the histogram of the account and class.
    void observe(RequestStage stage, const AccountId &account, std::string_view requestClass,
                 Duration duration);
    // Adds `amount` to the counter `name` with the value `label` of its label `kind`.
    void count(std::string_view name, std::string_view label, double amount = 1.0);
    // Sets the gauge `name`.
    void set(std::string_view name, double value);

    // Returns all metrics in the Prometheus text format.
    std::string text() const;
    // Returns the number of histogram time series.
    std::size_t histogramCount() const { return histograms_.size(); }

private:
    struct SeriesKey
    {
        RequestStage stage;
        std::string account;
        std::string requestClass;

        friend auto operator<=>(const SeriesKey &, const SeriesKey &) = default;
    };

    // Returns the label of an account: its id, or "other" if the maximum number is reached.
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
