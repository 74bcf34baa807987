#include "flamingowick/dispatch/Dispatcher.h"
#include "flamingowick/health/Health.h"
#include "flamingowick/membership/Membership.h"
#include "flamingowick/peers/Codec.h"
#include "flamingowick/routing/RouteTable.h"

#include <malloc.h>

#include <chrono>
#include <iostream>
#include <memory>
#include <random>

// Prints one JSON line for each measure and size: memory by the allocator's own count, times by the
// steady clock, bytes as encoded for peers.

namespace {

using namespace flamingowick;

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks + mallinfo2().hblkhd;
}

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

void printRow(std::string_view measure, std::size_t size, std::string_view unit, double value)
{
    std::cout << R"({"measure":")" << measure << R"(","size":)" << size << R"(,"unit":")" << unit << R"(","value":)" << value << "}\n";
}

void measureRoutes(std::size_t count)
{
    constexpr std::size_t routesPerService = 17;
    constexpr std::size_t lookUps = 200000;
    std::size_t before = allocatedBytes();
    auto table = std::make_unique<routing::RouteTable>();
    for (std::size_t first = 0; first < count; first += routesPerService) {
        std::vector<RouteRule> rules;
        for (std::size_t index = first; index < std::min(count, first + routesPerService); ++index) {
            RouteRule rule;
            rule.host = "service" + std::to_string(first) + ".example";
            rule.pathPrefix = "/area/part" + std::to_string(index);
            rules.push_back(std::move(rule));
        }
        table->setRoutes("service" + std::to_string(first), rules);
    }
    printRow("routeTableBytes", count, "bytes", static_cast<double>(allocatedBytes() - before));
    std::mt19937_64 random(1);
    std::size_t found = 0;
    auto start = std::chrono::steady_clock::now();
    for (std::size_t lookUp = 0; lookUp < lookUps; ++lookUp) {
        std::size_t index = random() % count;
        std::size_t first = index - index % routesPerService;
        std::string host = "service" + std::to_string(first) + ".example";
        found += table->findRoute(host, "/area/part" + std::to_string(index) + "/detail/7") == nullptr ? 0 : 1;
    }
    double nanoseconds = secondsSince(start) / static_cast<double>(lookUps) * 1e9;
    printRow("routeLookUp", count, "ns", found == lookUps ? nanoseconds : -1);
}

// One dispatcher's decision state for services of 20 targets each.
void measureTargets(std::size_t count)
{
    constexpr std::size_t targetsPerService = 20;
    TimePoint now { std::chrono::hours(1) };
    std::size_t before = allocatedBytes();
    std::vector<health::HealthState> states(count / targetsPerService);
    std::vector<dispatch::DispatcherState> dispatchers;
    health::ObserverId observer { { "vm", 1 }, "a" };
    for (std::size_t service = 0; service < states.size(); ++service) {
        std::vector<Target> targets;
        for (std::size_t index = 0; index < targetsPerService; ++index)
            targets.push_back({ "127.0.0.1:" + std::to_string(10000 + index), "a", false });
        health::handle(states[service], health::DocumentChanged {}, now);
        health::handle(states[service], health::TargetsChanged { targets }, now);
        for (const Target& target : targets)
            health::handle(states[service], health::Observation { target.address, health::Result::Ok, std::chrono::milliseconds(5), observer, true }, now);
        ServiceDocument document;
        document.name = "service" + std::to_string(service);
        dispatchers.push_back(dispatch::makeDispatcher(document, "a", service, now));
        dispatch::handle(dispatchers.back(), dispatch::TargetsChanged { targets, 1 }, now);
    }
    printRow("decisionStateBytes", count, "bytes", static_cast<double>(allocatedBytes() - before));
    auto start = std::chrono::steady_clock::now();
    for (health::HealthState& state : states)
        health::handle(state, health::Tick {}, now + std::chrono::milliseconds(10));
    printRow("healthTickAllServices", count, "us", secondsSince(start) * 1e6);
}

struct GossipCount {
    std::size_t messages { 0 };
    std::size_t bytes { 0 };
    double seconds { 0 };
};

std::size_t encodedSize(const membership::MemberInfo& from, const membership::Message& message, TimePoint now)
{
    return peers::encode({ from.id, from.address, 1, 1, message }, now).size();
}

// Runs the membership logic of all members in memory and counts what each sends. Members know each
// other at the start, as they do long after it.
GossipCount runMembership(std::size_t count, Duration duration)
{
    TimePoint now { std::chrono::hours(1) };
    std::vector<membership::State> states;
    std::map<std::string, std::size_t> byAddress;
    for (std::size_t index = 0; index < count; ++index) {
        std::string address = "127.0.0.1:" + std::to_string(index);
        byAddress[address] = index;
        states.push_back(membership::makeState({ { "entry-" + std::to_string(index), 1796331677387 }, "domain-a", address }, {}, index + 1, now));
    }
    for (membership::State& state : states) {
        for (const membership::State& other : states) {
            if (&other != &state)
                state.members.emplace(other.own.member.id.vm, membership::Record { other.own, now, {} });
        }
        state.syncInterval = state.timing.syncPeriod;
        state.nextSync = now + std::chrono::milliseconds(states.size() % 10000);
    }
    GossipCount counted;
    auto start = std::chrono::steady_clock::now();
    for (TimePoint end = now + duration; now < end; now += std::chrono::milliseconds(100)) {
        std::vector<std::pair<std::size_t, membership::MessageReceived>> sent;
        auto collect = [&](membership::State& state, const membership::Event& event) {
            for (membership::Action& action : membership::handle(state, event, now)) {
                auto* send = std::get_if<membership::Send>(&action);
                if (send == nullptr)
                    continue;
                ++counted.messages;
                counted.bytes += encodedSize(state.own.member, send->message, now);
                sent.emplace_back(byAddress.at(send->address), membership::MessageReceived { state.own.member, std::move(send->message) });
            }
        };
        for (membership::State& state : states)
            collect(state, membership::Tick {});
        while (!sent.empty()) {
            auto batch = std::move(sent);
            sent.clear();
            for (auto& [index, message] : batch)
                collect(states[index], message);
        }
    }
    counted.seconds = secondsSince(start);
    return counted;
}

void measureMembership(std::size_t count)
{
    constexpr std::chrono::seconds duration { 20 };
    std::size_t before = allocatedBytes();
    GossipCount counted = runMembership(count, duration);
    static_cast<void>(before);
    double daemonSeconds = static_cast<double>(count) * static_cast<double>(duration.count());
    printRow("gossipMessagesPerSecond", count, "1/s", static_cast<double>(counted.messages) / daemonSeconds);
    printRow("gossipBytesPerSecond", count, "bytes/s", static_cast<double>(counted.bytes) / daemonSeconds);
    printRow("gossipCoreShare", count, "cores", counted.seconds / daemonSeconds);
}

}

int main()
{
    for (std::size_t count : { 1000, 17000, 170000 })
        measureRoutes(count);
    for (std::size_t count : { 2000, 20000, 200000 })
        measureTargets(count);
    for (std::size_t count : { 11, 22, 44, 180, 500 })
        measureMembership(count);
    return 0;
}
