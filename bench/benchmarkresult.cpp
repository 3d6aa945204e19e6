#include "benchmarkresult.h"

namespace seamarch::bench {

nlohmann::json toJson(const BenchmarkResults &results)
{
    nlohmann::json result = nlohmann::json::object();
    for (const BenchmarkResult &result : results) {
        result[result.name] = {
            {"value", result.value},          {"unit", result.unit},
            {"bound", result.bound},          {"bound_is", result.isUpperBound ? "most" : "least"},
            {"baseline", result.baseline},    {"baseline_is", result.baselineName},
            {"holds", result.isWithinBound()}};
    }
    return result;
}

} // namespace seamarch::bench
