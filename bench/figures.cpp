#include "figures.h"

namespace seamarch::bench {

nlohmann::json toJson(const BenchmarkResults &results)
{
    nlohmann::json result = nlohmann::json::object();
    for (const BenchmarkResult &figure : results) {
        result[figure.name] = {
            {"value", figure.value},       {"unit", figure.unit},
            {"bound", figure.bound},       {"bound_is", figure.boundIsMost ? "most" : "least"},
            {"baseline", figure.baseline}, {"baseline_is", figure.baselineName},
            {"holds", figure.holds()}};
    }
    return result;
}

} // namespace seamarch::bench
