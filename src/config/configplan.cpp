#include "config/configplan.h"

#include "config/parse.h"
#include "config/versioneddocument.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace seamarch {
namespace {

using nlohmann::json;

tl::unexpected<PlanError> failure(PlanError::Kind kind, std::string message)
{
    return tl::unexpected(PlanError{kind, std::move(message)});
}

// Returns the element of the array `list` whose field `key` equals `name`, or null.
json *findElement(json &document, const char *list, const char *key, const std::string &name)
{
    const auto array = document.find(list);
    if (array == document.end()) {
        return nullptr;
    }
    for (json &element : *array) {
        if (element.value(key, "") == name) {
            return &element;
        }
    }
    return nullptr;
}

// Sets one field and adds the change to the plan. Returns false if the field has that value
// already.
template <typename Value>
bool setField(json &element, const char *field, const Value &value, const std::string &label,
              ConfigPlan &plan)
{
    const auto before = element.find(field);
    const std::string old = before == element.end() ? "unset" : before->dump();
    const json next(value);
    if (before != element.end() && *before == next) {
        return false;
    }
    element[field] = next;
    plan.changes.push_back(fmt::format("{}: {} from {} to {}", label, field, old, next.dump()));
    return true;
}

// Returns the number of agents that serve `target`, in `hall` if one is given. Returns 0 without a
// list.
std::uint32_t countAgents(const std::optional<InstanceList> &instances, const TargetName &target,
                          const std::optional<HallId> &hall)
{
    if (!instances) {
        return 0;
    }
    const auto servesTarget = [&](const InstanceRecord &record) {
        const auto &serves = record.serves;
        return record.role == InstanceRole::Agent && (!hall || record.hall == *hall)
               && std::find(serves.begin(), serves.end(), target) != serves.end();
    };
    return static_cast<std::uint32_t>(
        std::count_if(instances->instances.begin(), instances->instances.end(), servesTarget));
}

// Returns the fraction of serving replicas that is lost, or 0 if there are none.
double lostFraction(std::uint32_t lost, std::uint32_t all)
{
    return all == 0 ? 0.0 : static_cast<double>(lost) / all;
}

tl::expected<bool, PlanError> apply(const ShareIntent &intent, json &document, ConfigPlan &plan,
                                    const std::optional<InstanceList> & /*instances*/)
{
    json *account = findElement(document, "accounts", "id", intent.account.value());
    if (account == nullptr) {
        document["accounts"].push_back({{"id", intent.account.value()}, {"share", intent.share}});
        plan.changes.push_back(fmt::format("new client account {} with share {}; add its key's "
                                           "digest to keySha256 before publishing",
                                           intent.account.value(), intent.share));
        return true;
    }
    return setField(*account, "share", intent.share, "client account " + intent.account.value(),
                    plan);
}

tl::expected<bool, PlanError> apply(const DrainHallIntent &intent, json &document, ConfigPlan &plan,
                                    const std::optional<InstanceList> &instances)
{
    json *hall = findElement(document, "halls", "id", intent.hall.value());
    if (hall == nullptr) {
        return failure(PlanError::Kind::UnknownName,
                       fmt::format("no hall '{}' is configured", intent.hall.value()));
    }
    for (const json &model : document.value("models", json::array())) {
        const TargetName name(model.value("name", ""));
        const std::uint32_t lost = countAgents(instances, name, intent.hall);
        const std::uint32_t all = countAgents(instances, name, std::nullopt);
        plan.cost.replicas += lost;
        plan.cost.capacityLostPart = std::max(plan.cost.capacityLostPart, lostFraction(lost, all));
    }
    return setField(*hall, "draining", intent.draining, "hall " + intent.hall.value(), plan);
}

tl::expected<bool, PlanError> apply(const DrainInstanceIntent &intent, json &document,
                                    ConfigPlan &plan, const std::optional<InstanceList> &instances)
{
    json *upstream = findElement(document, "upstreams", "agent", intent.agent.value());
    if (upstream == nullptr) {
        return failure(
            PlanError::Kind::UnknownName,
            fmt::format("no upstream of agent '{}' is configured", intent.agent.value()));
    }
    plan.cost.replicas = 1;
    if (instances) {
        for (const InstanceRecord &record : instances->instances) {
            for (const TargetName &target : record.serves) {
                if (record.id == intent.agent) {
                    const auto all = countAgents(instances, target, std::nullopt);
                    plan.cost.capacityLostPart =
                        std::max(plan.cost.capacityLostPart, lostFraction(1, all));
                }
            }
        }
    }
    return setField(*upstream, "draining", intent.draining, "upstream of " + intent.agent.value(),
                    plan);
}

tl::expected<bool, PlanError> apply(const ModelVersionIntent &intent, json &document,
                                    ConfigPlan &plan, const std::optional<InstanceList> &instances)
{
    json *model = findElement(document, "models", "name", intent.model.value());
    if (model == nullptr) {
        return failure(PlanError::Kind::UnknownName,
                       fmt::format("no model '{}' is configured", intent.model.value()));
    }
    const std::uint32_t replicas = countAgents(instances, intent.model, std::nullopt);
    const std::uint32_t floor = model->value("minServing", 1U);
    const std::uint32_t reloadable = replicas > floor ? replicas - floor : 0;
    const double rate = document.value("weightStoreGbPerSecond", 1.0);
    plan.cost.replicas = replicas;
    plan.cost.movedGigabytes = model->value("weightGb", 0.0) * replicas;
    plan.cost.weightStoreSeconds = plan.cost.movedGigabytes / rate;
    plan.cost.capacityLostPart = lostFraction(std::min<std::uint32_t>(reloadable, 1), replicas);
    plan.cost.rounds = replicas;
    if (replicas > 0 && reloadable == 0) {
        plan.changes.push_back(fmt::format("warning: minServing {} leaves no replica of {} that "
                                           "can be reloaded; none will be",
                                           floor, intent.model.value()));
    }
    return setField(*model, "version", intent.version, "model " + intent.model.value(), plan);
}

} // namespace

ConfigFaults transitionFaults(const ConfigDocument &from, const ConfigDocument &to)
{
    ConfigFaults faults;
    for (std::size_t index = 0; index < to.accounts.size(); ++index) {
        const AccountConfig &account = to.accounts[index];
        const auto before =
            std::find_if(from.accounts.begin(), from.accounts.end(),
                         [&account](const AccountConfig &each) { return each.id == account.id; });
        const bool moved = before != from.accounts.end() && !before->homeHall.value().empty()
                           && before->homeHall != account.homeHall;
        if (moved) {
            // A process that still holds the older configuration would accept idempotency keys in
            // the old hall, while others accept them in the new one.
            faults.push_back(
                {elementPath("accounts", index) + ".homeHall",
                 "a home hall cannot be changed, because two halls could then run "
                 "requests with the same idempotency key; create a new client account"});
        }
    }
    return faults;
}

tl::expected<ConfigPlan, PlanError> makePlan(const json &base, const ConfigIntent &intent,
                                             const std::optional<InstanceList> &instances)
{
    const auto before = readConfig(base);
    if (!before) {
        return failure(PlanError::Kind::Invalid, describe(before.error()));
    }
    ConfigPlan plan;
    plan.baseVersion = before->version.value();
    plan.baseDigest = documentDigest(base);
    plan.document = base;
    plan.document["base"] = plan.baseVersion;
    plan.document["version"] = plan.baseVersion + 1;
    const auto changed = std::visit(
        [&](const auto &each) { return apply(each, plan.document, plan, instances); }, intent);
    if (!changed) {
        return tl::unexpected(changed.error());
    }
    if (!*changed) {
        return failure(PlanError::Kind::NoChange, "the configuration already has this value");
    }
    const auto after = readConfig(plan.document);
    if (!after) {
        return failure(PlanError::Kind::Invalid, describe(after.error()));
    }
    plan.digest = documentDigest(plan.document);
    return plan;
}

tl::expected<json, PlanError> confirmPlan(const ConfigPlan &plan, std::uint64_t digest,
                                          const json &current)
{
    if (digest != plan.digest || documentDigest(plan.document) != plan.digest) {
        return failure(PlanError::Kind::WrongDigest,
                       fmt::format("expected the digest {}, found {}; review the plan again",
                                   formatDigest(plan.digest), formatDigest(digest)));
    }
    const auto currentConfig = readConfig(current);
    if (!currentConfig) {
        return failure(PlanError::Kind::Invalid, describe(currentConfig.error()));
    }
    if (documentDigest(current) != plan.baseDigest) {
        return failure(PlanError::Kind::BaseChanged,
                       fmt::format("planned on version {}, but the configuration is now at version "
                                   "{}; plan again",
                                   plan.baseVersion, currentConfig->version.value()));
    }
    const auto next = readConfig(plan.document);
    if (!next) {
        return failure(PlanError::Kind::Invalid, describe(next.error()));
    }
    const ConfigFaults faults = transitionFaults(*currentConfig, *next);
    if (!faults.empty()) {
        return failure(PlanError::Kind::Invalid, describe(faults));
    }
    return plan.document;
}

json planToJson(const ConfigPlan &plan)
{
    return {{"baseVersion", plan.baseVersion},
            {"baseDigest", formatDigest(plan.baseDigest)},
            {"document", plan.document},
            {"changes", plan.changes},
            {"cost",
             {{"movedGb", plan.cost.movedGigabytes},
              {"weightStoreSeconds", plan.cost.weightStoreSeconds},
              {"capacityLostPart", plan.cost.capacityLostPart},
              {"replicas", plan.cost.replicas},
              {"rounds", plan.cost.rounds}}},
            {"digest", formatDigest(plan.digest)}};
}

tl::expected<ConfigPlan, PlanError> planFromJson(const json &value)
{
    ConfigFaults faults;
    ObjectReader reader(value, "", faults);
    ConfigPlan plan;
    plan.baseVersion = reader.integer("baseVersion", Presence::Required, 1, 1ULL << 53U);
    const auto baseDigest = parseDigest(reader.text("baseDigest", Presence::Required));
    const auto digest = parseDigest(reader.text("digest", Presence::Required));
    plan.document = reader.object("document", Presence::Required);
    if (!faults.empty() || !baseDigest || !digest) {
        return failure(PlanError::Kind::Invalid,
                       "not a plan; expected a file that 'seamarch plan --out' wrote\n"
                           + describe(faults));
    }
    plan.baseDigest = *baseDigest;
    plan.digest = *digest;
    return plan;
}

std::string formatDigest(std::uint64_t digest)
{
    return fmt::format("{:016x}", digest);
}

std::optional<std::uint64_t> parseDigest(std::string_view text)
{
    constexpr int kHexBase = 16;
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, kHexBase);
    if (text.size() != 16 || error != std::errc() || stop != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace seamarch
