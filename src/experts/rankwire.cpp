#include "experts/rankwire.h"

namespace seamarch {
namespace {

using NumberList = capnp::List<std::uint16_t>;

void writeNumbers(const std::vector<std::uint16_t> &numbers, NumberList::Builder list)
{
    for (std::uint32_t index = 0; index < numbers.size(); ++index) {
        list.set(index, numbers[index]);
    }
}

std::vector<std::uint16_t> readNumbers(NumberList::Reader list)
{
    std::vector<std::uint16_t> numbers;
    numbers.reserve(list.size());
    for (const std::uint16_t number : list) {
        numbers.push_back(number);
    }
    return numbers;
}

std::uint32_t sizeOf(const auto &container)
{
    return static_cast<std::uint32_t>(container.size());
}

} // namespace

void writeFacts(const RankFacts &facts, wire::RankState::Builder state)
{
    const RankReport &report = facts.report;
    state.setKnown(true);
    state.setRank(report.rank);
    state.setRanks(report.ranks);
    state.setEpoch(report.epoch);
    state.setOpen(report.open);
    state.setStep(report.step);
    state.setMap(report.map);
    state.setPrepared(report.prepared);
    state.setArmed(report.armed);
    state.setHeld(report.held.has_value());
    state.setHeldStep(report.held.value_or(0));
    state.setFence(report.fence);
    auto counts = state.initCounts(sizeOf(facts.counts));
    for (std::uint32_t index = 0; index < facts.counts.size(); ++index) {
        counts.set(index, facts.counts[index]);
    }
    if (facts.experts) {
        state.setExpertsMap(facts.experts->map);
        auto sets = state.initExperts(sizeOf(facts.experts->bySet));
        for (std::uint32_t set = 0; set < sets.size(); ++set) {
            const auto &experts = facts.experts->bySet[set];
            writeNumbers(experts, sets.init(set, sizeOf(experts)));
        }
    }
}

RankFacts readFacts(wire::RankState::Reader state)
{
    RankFacts facts;
    RankReport &report = facts.report;
    report.rank = state.getRank();
    report.ranks = state.getRanks();
    report.epoch = state.getEpoch();
    report.open = state.getOpen();
    report.step = state.getStep();
    report.map = state.getMap();
    report.prepared = state.getPrepared();
    report.armed = state.getArmed();
    if (state.getHeld()) {
        report.held = state.getHeldStep();
    }
    report.fence = state.getFence();
    const auto counts = state.getCounts();
    facts.counts.reserve(counts.size());
    for (const std::uint64_t count : counts) {
        facts.counts.push_back(count);
    }
    if (state.hasExperts() && state.getExperts().size() > 0) {
        ExpertsOfRank experts;
        experts.map = state.getExpertsMap();
        for (const auto &set : state.getExperts()) {
            experts.bySet.push_back(readNumbers(set));
        }
        facts.experts = std::move(experts);
    }
    return facts;
}

void writeOrder(const MapOrder &order, wire::RankOrder::Builder to)
{
    to.setKind(static_cast<std::uint16_t>(order.kind));
    to.setVersion(order.version);
    to.setStep(order.step);
    to.setEpoch(order.epoch);
    to.setFence(order.fence);
    auto sets = to.initExperts(sizeOf(order.experts));
    for (std::uint32_t set = 0; set < sets.size(); ++set) {
        auto ranks = sets.init(set, sizeOf(order.experts[set]));
        for (std::uint32_t rank = 0; rank < ranks.size(); ++rank) {
            const auto &experts = order.experts[set][rank];
            writeNumbers(experts, ranks.init(rank, sizeOf(experts)));
        }
    }
}

MapOrder readOrder(wire::RankOrder::Reader from)
{
    MapOrder order;
    order.kind = static_cast<MapOrderKind>(from.getKind());
    order.version = from.getVersion();
    order.step = from.getStep();
    order.epoch = from.getEpoch();
    order.fence = from.getFence();
    for (const auto &set : from.getExperts()) {
        RankExperts ranks;
        for (const auto &rank : set) {
            ranks.push_back(readNumbers(rank));
        }
        order.experts.push_back(std::move(ranks));
    }
    return order;
}

} // namespace seamarch
