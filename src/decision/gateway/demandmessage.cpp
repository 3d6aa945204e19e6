#include "decision/gateway/demandmessage.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

namespace seamarch {
namespace {

constexpr double kLimitSteps = 8.0; // Per stream.
constexpr std::uint8_t kScopeMask = 0x03;
constexpr std::uint8_t kRequestsStatement = 0x04;
// Bounds what a damaged message may allocate.
constexpr std::size_t kMaxDemands = 1000;
// Numbers are written in groups of 7 bits, the lowest first.
constexpr unsigned kGroupBits = 7;
constexpr std::uint8_t kMoreFollows = 0x80;
constexpr unsigned kMaxNumberBits = 32;

void writeNumber(std::vector<std::uint8_t> &to, std::uint32_t value)
{
    while (value >= kMoreFollows) {
        to.push_back(static_cast<std::uint8_t>(value) | kMoreFollows);
        value >>= kGroupBits;
    }
    to.push_back(static_cast<std::uint8_t>(value));
}

void writeText(std::vector<std::uint8_t> &to, std::string_view text)
{
    writeNumber(to, static_cast<std::uint32_t>(text.size()));
    to.insert(to.end(), text.begin(), text.end());
}

// Reads from a span of bytes; `failed` once it ended too early.
class Reader
{
public:
    explicit Reader(std::span<const std::uint8_t> bytes)
        : bytes_(bytes)
    {}

    std::uint8_t byte()
    {
        if (bytes_.empty()) {
            failed_ = true;
            return 0;
        }
        const std::uint8_t value = bytes_.front();
        bytes_ = bytes_.subspan(1);
        return value;
    }

    std::uint32_t number()
    {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < kMaxNumberBits; shift += kGroupBits) {
            const std::uint8_t next = byte();
            value |= static_cast<std::uint64_t>(next & (kMoreFollows - 1U)) << shift;
            if ((next & kMoreFollows) == 0) {
                return static_cast<std::uint32_t>(value);
            }
        }
        failed_ = true;
        return 0;
    }

    std::string text()
    {
        const std::size_t size = number();
        if (size > bytes_.size()) {
            failed_ = true;
            return {};
        }
        const auto taken = bytes_.first(size);
        bytes_ = bytes_.subspan(size);
        return {taken.begin(), taken.end()};
    }

    bool failed() const { return failed_; }

private:
    std::span<const std::uint8_t> bytes_;
    bool failed_ = false;
};

} // namespace

std::vector<std::uint8_t> encodeDemand(const DemandMessage &message)
{
    std::vector<std::uint8_t> bytes;
    bytes.push_back(static_cast<std::uint8_t>(message.scope)
                    | (message.requestsStatement ? kRequestsStatement : std::uint8_t{0}));
    writeNumber(bytes, static_cast<std::uint32_t>(message.demands.size()));
    const GroupDemand *previous = nullptr;
    for (const GroupDemand &demand : message.demands) {
        // An empty service stands for the names of the entry before.
        const bool sameNames = previous != nullptr && previous->service == demand.service
                               && previous->group == demand.group;
        writeText(bytes, sameNames ? std::string_view() : demand.service.value());
        if (!sameNames) {
            // Groups are mostly named after their service.
            const std::string &service = demand.service.value();
            const std::string &group = demand.group.value();
            const auto common = static_cast<std::size_t>(
                std::mismatch(service.begin(), service.end(), group.begin(), group.end()).first
                - service.begin());
            writeNumber(bytes, static_cast<std::uint32_t>(common));
            writeText(bytes, std::string_view(group).substr(common));
        }
        writeNumber(bytes, demand.gateways);
        writeNumber(bytes, demand.inFlight);
        writeNumber(bytes, demand.queued);
        writeNumber(bytes, static_cast<std::uint32_t>(
                               std::floor(std::max(0.0, demand.limit) * kLimitSteps)));
        previous = &demand;
    }
    return bytes;
}

std::optional<DemandMessage> decodeDemand(std::span<const std::uint8_t> bytes)
{
    Reader reader(bytes);
    DemandMessage message;
    const std::uint8_t flags = reader.byte();
    message.scope = static_cast<DemandScope>(flags & kScopeMask);
    message.requestsStatement = (flags & kRequestsStatement) != 0;
    const std::size_t count = std::min<std::size_t>(reader.number(), kMaxDemands);
    for (std::size_t index = 0; index < count && !reader.failed(); ++index) {
        GroupDemand demand;
        demand.service = TargetName(reader.text());
        if (!demand.service.value().empty()) {
            const std::size_t common = reader.number();
            demand.group = GroupId(demand.service.value().substr(0, common) + reader.text());
        } else if (!message.demands.empty()) {
            demand.service = message.demands.back().service;
            demand.group = message.demands.back().group;
        }
        demand.gateways = reader.number();
        demand.inFlight = reader.number();
        demand.queued = reader.number();
        demand.limit = reader.number() / kLimitSteps;
        if (demand.gateways > 0) {
            message.demands.push_back(std::move(demand));
        }
    }
    return reader.failed() ? std::nullopt : std::optional(std::move(message));
}

} // namespace seamarch
