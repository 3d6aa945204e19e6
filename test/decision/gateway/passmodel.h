// A small model of a group of engines with one gateway: every pass gives each stream an event and
// takes a fixed time and a time for each stream, multiplied by the present skew of demand.
#pragma once

#include "decision/gateway/streamlimiter.h"
#include "decision/gateway/streamqueue.h"

#include <algorithm>
#include <functional>
#include <map>
#include <vector>

namespace seamarch {

struct PassModel
{
    struct Stream
    {
        double arrivedAt = 0.0; // All times in milliseconds.
        double eventAt = 0.0;
        int events = 0;
        int length = 0; // Events in all.
        bool late = false;
    };

    static constexpr double kGapTarget = 120.0;
    static constexpr double kLatencyTarget = 400.0;
    static constexpr double kPatience = 1700.0; // In the queue.
    static constexpr double kCallerTime = 8000.0;
    static constexpr double kFixed = 34.0;
    static constexpr std::size_t kPlaces = 48;

    StreamLimiter limiter;
    double perStreamMillis = 1.0;
    // Factors of the two parts of a pass at a time.
    std::function<double(double)> skew = [](double) { return 1.2; };
    std::function<double(double)> slowness = [](double) { return 1.0; };
    // Called at the end of each pass.
    std::function<void()> onPass = [] {};

    double now = 0.0;
    double passMillis = 0.0;
    double arrivals = 0.0;
    StreamQueue queue;
    RequestNumber lastNumber = 0;
    double firstEventMillis = 0.0; // Moving average from the start of a stream.
    std::vector<Stream> streams;
    int offered = 0;
    int inTime = 0;
    int served = 0;

    static TimePoint at(double millis) { return TimePoint(fromSeconds(millis / 1000.0)); }

    // Plays until `end`, with this many callers per second.
    void play(double end, double callersPerSecond)
    {
        while (now < end) {
            pass(callersPerSecond);
            onPass();
        }
    }

    void pass(double callersPerSecond)
    {
        const auto count = static_cast<double>(streams.size());
        passMillis = kFixed * slowness(now) + perStreamMillis * count * skew(now);
        for (arrivals += callersPerSecond * passMillis / 1000.0; arrivals >= 1.0; arrivals -= 1.0) {
            addToQueue(now + passMillis);
        }
        now += passMillis;
        deliver();
        limiter.onTick(static_cast<std::uint32_t>(streams.size()), queue.size(), at(now));
        startQueued();
    }

    void addToQueue(double arrivedAt)
    {
        StreamQueue::Entry entry;
        entry.number = ++lastNumber;
        entry.startDeadline = at(arrivedAt + kLatencyTarget - firstEventMillis);
        entry.latestStart = at(arrivedAt + kPatience);
        queue.add(entry, at(arrivedAt));
        arrivalOf[entry.number] = arrivedAt;
        ++offered;
    }

    // Starts queued streams as GroupSelector does.
    void startQueued()
    {
        while (const auto next = queue.next(at(now))) {
            const bool expired = at(now) > next->latestStart;
            const bool due =
                at(now) <= next->startDeadline && at(now + 40.0) >= next->startDeadline;
            if (!expired
                && (streams.size() >= kPlaces
                    || !limiter.admits(static_cast<std::uint32_t>(streams.size()))
                    || (limiter.isNearTarget(at(now)) && !due))) {
                return;
            }
            queue.remove(next->number);
            if (!expired) {
                const int length = 8 + static_cast<int>(next->number * 37 % 31); // 23 on average.
                streams.push_back({arrivalOf.at(next->number), now, 0, length, false});
            }
        }
    }

    void deliver()
    {
        for (Stream &stream : streams) {
            if (stream.events == 0) {
                stream.late = now - stream.arrivedAt > kLatencyTarget;
                firstEventMillis += (now - stream.eventAt - firstEventMillis) / 8.0;
            } else {
                stream.late = stream.late || now - stream.eventAt > kGapTarget;
                limiter.onPause(fromSeconds((now - stream.eventAt) / 1000.0),
                                fromSeconds(kGapTarget / 1000.0), at(now));
            }
            stream.eventAt = now;
            ++stream.events;
            if (stream.events == stream.length) {
                ++served;
                inTime += stream.late ? 0 : 1;
            }
        }
        std::erase_if(streams, [this](const Stream &stream) {
            return stream.events == stream.length || now - stream.arrivedAt > kCallerTime;
        });
    }

    std::map<RequestNumber, double> arrivalOf;
};

} // namespace seamarch
