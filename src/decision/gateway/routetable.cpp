#include "decision/gateway/routetable.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace seamarch {
namespace {

// Returns `host` in lower case and without its port.
std::string normalizedHost(std::string_view host)
{
    std::string plain(host.substr(0, host.find(':')));
    std::transform(plain.begin(), plain.end(), plain.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return plain;
}

} // namespace

Duration shortestGapTarget(const RoutingDocument &document, const TargetName &service)
{
    Duration shortest{};
    for (const RouteRule &route : document.routes) {
        const bool servesService =
            std::any_of(route.targets.begin(), route.targets.end(),
                        [&service](const auto &target) { return target.service == service; });
        const bool hasTarget = servesService && route.gapTarget > Duration{};
        if (hasTarget && (shortest == Duration{} || route.gapTarget < shortest)) {
            shortest = route.gapTarget;
        }
    }
    return shortest;
}

RouteTable::RouteTable(RoutingDocument document)
    : document_(std::move(document))
{
    for (std::size_t index = 0; index < document_.routes.size(); ++index) {
        byHost_[normalizedHost(document_.routes[index].host)].push_back(index);
    }
    for (auto &[host, indexes] : byHost_) {
        std::stable_sort(indexes.begin(), indexes.end(),
                         [this](std::size_t left, std::size_t right) {
                             return document_.routes[left].pathPrefix.size()
                                    > document_.routes[right].pathPrefix.size();
                         });
    }
    for (std::size_t index = 0; index < document_.accounts.size(); ++index) {
        for (const std::string &key : document_.accounts[index].keys) {
            byKey_.emplace(key, index);
        }
    }
    for (std::size_t index = 0; index < document_.services.size(); ++index) {
        byService_.emplace(document_.services[index].name, index);
    }
}

const RouteRule *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto found = byHost_.find(normalizedHost(host));
    if (found == byHost_.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        const RouteRule &route = document_.routes[index];
        if (path.starts_with(route.pathPrefix)) {
            return &route;
        }
    }
    return nullptr;
}

const AccountRule *RouteTable::accountOf(const std::string &key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : &document_.accounts[found->second];
}

const ServiceRule *RouteTable::service(const TargetName &name) const
{
    const auto found = byService_.find(name);
    return found == byService_.end() ? nullptr : &document_.services[found->second];
}

} // namespace seamarch
