#include "experts/rankwire.h"

#include <limits>
#include <utility>

namespace seamarch {
namespace {

using NumberList = capnp::List<std::uint16_t>;

// No group has more sets, ranks or experts per rank than this; a larger number is malformed.
constexpr std::uint32_t kMaxNumber = 65'535;

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

void writeChoices(const ChoiceCounts &counts, wire::ChoiceCounts::Builder to)
{
    to.setMark(counts.snapshotId);
    to.setSince(counts.since);
    auto units = to.initUnits(sizeOf(counts.scales));
    for (std::uint32_t index = 0; index < units.size(); ++index) {
        units.set(index, counts.scales[index]);
    }
    to.setParts(kj::arrayPtr(counts.quantized.data(), counts.quantized.size()));
}

ChoiceCounts readChoices(wire::ChoiceCounts::Reader from)
{
    ChoiceCounts counts;
    counts.snapshotId = from.getMark();
    counts.since = from.getSince();
    for (const float unit : from.getUnits()) {
        counts.scales.push_back(unit);
    }
    const auto parts = from.getParts();
    counts.quantized.assign(parts.begin(), parts.end());
    return counts;
}

void writeVarint(std::uint32_t number, std::vector<std::uint8_t> &bytes)
{
    constexpr std::uint32_t kContinuationBit = 0x80;
    constexpr int kPayloadBits = 7;
    while (number >= kContinuationBit) {
        bytes.push_back(static_cast<std::uint8_t>(number | kContinuationBit));
        number >>= kPayloadBits;
    }
    bytes.push_back(static_cast<std::uint8_t>(number));
}

// Reads consecutive varints from a byte sequence.
class VarintReader
{
public:
    explicit VarintReader(std::span<const std::uint8_t> bytes)
        : bytes_(bytes)
    {}

    // Returns the next number, or nothing if it is truncated or above kMaxNumber.
    std::optional<std::uint32_t> next()
    {
        constexpr std::uint32_t kContinuationBit = 0x80;
        constexpr std::uint32_t kPayloadBits = 7;
        std::uint32_t number = 0;
        for (std::uint32_t shift = 0; !bytes_.empty() && number <= kMaxNumber;
             shift += kPayloadBits) {
            const std::uint32_t byte = bytes_.front();
            bytes_ = bytes_.subspan(1);
            number |= (byte & (kContinuationBit - 1)) << shift;
            if (byte < kContinuationBit) {
                return number <= kMaxNumber ? std::optional(number) : std::nullopt;
            }
        }
        return std::nullopt;
    }

    bool atEnd() const { return bytes_.empty(); }

private:
    std::span<const std::uint8_t> bytes_;
};

std::optional<std::vector<std::uint16_t>> unpackRank(VarintReader &reader)
{
    const auto count = reader.next();
    if (!count) {
        return std::nullopt;
    }
    std::vector<std::uint16_t> experts;
    std::uint32_t expert = 0;
    for (std::uint32_t index = 0; index < *count; ++index) {
        const auto gap = reader.next();
        if (!gap || expert + *gap > kMaxNumber) {
            return std::nullopt;
        }
        expert += *gap;
        experts.push_back(static_cast<std::uint16_t>(expert));
    }
    return experts;
}

} // namespace

std::vector<std::uint8_t> packExperts(const ExpertMap &map)
{
    std::vector<std::uint8_t> bytes;
    writeVarint(sizeOf(map), bytes);
    for (const RankExperts &ranks : map) {
        writeVarint(sizeOf(ranks), bytes);
        for (const std::vector<std::uint16_t> &experts : ranks) {
            writeVarint(sizeOf(experts), bytes);
            std::uint32_t previous = 0;
            for (const std::uint16_t expert : experts) {
                writeVarint(expert - previous, bytes);
                previous = expert;
            }
        }
    }
    return bytes;
}

std::optional<ExpertMap> unpackExperts(std::span<const std::uint8_t> bytes)
{
    VarintReader reader(bytes);
    const auto sets = reader.next();
    if (!sets) {
        return std::nullopt;
    }
    ExpertMap map;
    for (std::uint32_t set = 0; set < *sets; ++set) {
        const auto ranks = reader.next();
        if (!ranks) {
            return std::nullopt;
        }
        RankExperts placement;
        for (std::uint32_t rank = 0; rank < *ranks; ++rank) {
            auto experts = unpackRank(reader);
            if (!experts) {
                return std::nullopt;
            }
            placement.push_back(std::move(*experts));
        }
        map.push_back(std::move(placement));
    }
    return reader.atEnd() ? std::optional(std::move(map)) : std::nullopt;
}

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
    state.setPace(static_cast<float>(report.pace));
    state.setGroup(report.group.value());
    if (facts.choices) {
        writeChoices(*facts.choices, state.initChoices());
    }
    if (facts.experts) {
        state.setExpertsMap(facts.experts->mapVersion);
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
    report.pace = state.getPace();
    report.group = GroupId(state.getGroup().cStr());
    if (state.hasChoices()) {
        facts.choices = readChoices(state.getChoices());
    }
    if (state.hasExperts() && state.getExperts().size() > 0) {
        ExpertsOfRank experts;
        experts.mapVersion = state.getExpertsMap();
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
    to.setGroup(order.group.value());
    if (order.experts != nullptr) {
        const std::vector<std::uint8_t> bytes = packExperts(*order.experts);
        to.setExperts(kj::arrayPtr(bytes.data(), bytes.size()));
    }
}

std::optional<MapOrder> readOrder(wire::RankOrder::Reader from)
{
    MapOrder order;
    order.kind = static_cast<MapOrderKind>(from.getKind());
    order.version = from.getVersion();
    order.step = from.getStep();
    order.epoch = from.getEpoch();
    order.fence = from.getFence();
    order.group = GroupId(from.getGroup().cStr());
    if (from.hasExperts()) {
        const auto bytes = from.getExperts();
        auto experts = unpackExperts({bytes.begin(), bytes.size()});
        if (!experts) {
            return std::nullopt;
        }
        order.experts = std::make_shared<const ExpertMap>(std::move(*experts));
    }
    return order;
}

} // namespace seamarch
