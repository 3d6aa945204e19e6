#include "observe/metrics.h"

#include <array>
#include <prometheus/text_serializer.h>
#include <sstream>

namespace seamarch {
namespace {

constexpr std::array<const char *, 4> kStageNames = {"queue_wait", "first_token", "between_tokens",
                                                     "total"};

// Upper bounds in seconds. They are finest around the latency targets: 45 ms between tokens and 1.3
// s to the first token.
const prometheus::Histogram::BucketBoundaries kSecondsBuckets = {
    0.001, 0.005, 0.02, 0.045, 0.1, 0.3, 0.65, 1.3, 3.0, 10.0, 60.0};

} // namespace

Metrics::Metrics(std::size_t maxAccounts)
    : registry_(std::make_shared<prometheus::Registry>())
    , requestSeconds_(prometheus::BuildHistogram()
                          .Name("seamarch_request_seconds")
                          .Help("Seconds spent in each stage of a request.")
                          .Register(*registry_))
    , maxAccounts_(maxAccounts)
{}

const std::string &Metrics::accountLabel(const AccountId &account)
{
    static const std::string kOther = "other";
    const auto found = accountLabels_.find(account);
    if (found != accountLabels_.end()) {
        return found->second;
    }
    if (accountLabels_.size() >= maxAccounts_) {
        return kOther;
    }
    return accountLabels_.emplace(account, account.value()).first->second;
}

void Metrics::observe(RequestStage stage, const AccountId &account, std::string_view requestClass,
                      Duration duration)
{
    SeriesKey key{stage, accountLabel(account), std::string(requestClass)};
    auto found = histograms_.find(key);
    if (found == histograms_.end()) {
        prometheus::Histogram &added =
            requestSeconds_.Add({{"stage", kStageNames.at(static_cast<std::size_t>(stage))},
                                 {"account", key.account},
                                 {"class", key.requestClass}},
                                kSecondsBuckets);
        found = histograms_.emplace(std::move(key), &added).first;
    }
    found->second->Observe(toSeconds(duration));
}

void Metrics::count(std::string_view name, std::string_view label, double amount)
{
    auto found = counters_.find(name);
    if (found == counters_.end()) {
        auto &family = prometheus::BuildCounter().Name(std::string(name)).Register(*registry_);
        found = counters_.emplace(std::string(name), &family).first;
    }
    found->second->Add({{"kind", std::string(label)}}).Increment(amount);
}

void Metrics::set(std::string_view name, double value)
{
    auto found = gauges_.find(name);
    if (found == gauges_.end()) {
        auto &family = prometheus::BuildGauge().Name(std::string(name)).Register(*registry_);
        found = gauges_.emplace(std::string(name), &family.Add({})).first;
    }
    found->second->Set(value);
}

std::string Metrics::text() const
{
    std::ostringstream stream;
    prometheus::TextSerializer().Serialize(stream, registry_->Collect());
    return stream.str();
}

} // namespace seamarch
