#include "benchmarkresult.h"

namespace seamarch::bench {

nlohmann::json toJson(const BenchmarkResults &results)
{
    nlohmann::json result = nlohmann::json::object();
    for (const BenchmarkResult &entry : results) {
        result[entry.name] = {
            {"value", entry.value},          {"unit", entry.unit},
            {"bound", entry.bound},          {"bound_is", entry.isUpperBound ? "most" : "least"},
            {"baseline", entry.baseline},    {"baseline_is", entry.baselineName},
            {"holds", entry.isWithinBound()}};
    }
    return result;
}

} // namespace seamarch::bench
