#pragma once

#include "flamingowick/model/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Open-loop load on the fleet's entries: requests start at their times whether or not earlier ones
// were answered, and latency counts from those times.
namespace flamingowick::standins {

struct LoadOptions {
    // Entries as "ip:port"; each request picks one by chance.
    std::vector<std::string> entries;
    // Mean requests a second; the gaps between them are exponential.
    double rate { 100 };
    Duration time { std::chrono::seconds(10) };
    // Requests at most, resends not counted.
    std::uint64_t maxRequests { 1000000 };
    unsigned connectionsPerEntry { 50 };
    // Requests that wait for a connection; more are given up unsent.
    std::size_t maxWaiting { 10000 };
    Duration timeout { std::chrono::seconds(15) };
    std::string host { "localhost" };
    std::string getPath { "/" };
    std::string postPath { "/" };
    // Share of requests that are POST with an Idempotency-Key.
    double postShare { 0 };
    // Share of POST requests that are sent twice at once with the same key.
    double resendShare { 0 };
    // Callers that the header X-Caller names in turn.
    unsigned callers { 10 };
    std::uint64_t seed { 1 };
    // File that takes one JSON line on each request's end; empty for none.
    std::string toldFile;
    // Whether SIGTERM and SIGINT end the load early.
    bool stopOnSignals { false };
};

struct LoadReport {
    std::uint64_t sent { 0 };
    std::uint64_t answered { 0 };
    // Connections closed without a whole answer after the request had been sent.
    std::uint64_t cutOff { 0 };
    // Those of them whose connection had served a request before: the server may have closed it while
    // it was idle.
    std::uint64_t cutOffOnReuse { 0 };
    std::uint64_t timedOut { 0 };
    // Requests that found no listener, or had no connection in time to be sent on.
    std::uint64_t connectFailed { 0 };
    std::uint64_t givenUpUnsent { 0 };
    // Answers of a target to somebody else's request, by their nonce.
    std::uint64_t foreignAnswers { 0 };
    std::map<unsigned, std::uint64_t> statuses;
    // By the header X-Outcome; "" when an answer has none.
    std::map<std::string, std::uint64_t> outcomes;
    double seconds { 0 };
    // Latencies of answered requests in microseconds, in no order.
    std::vector<std::uint32_t> latencies;
};

// Makes the load and waits for its answers. Throws std::system_error when an entry's address can't be
// read, std::runtime_error when the file can't be written.
LoadReport runLoad(const LoadOptions&);

// Renders a report as one JSON object with p50, p90, p99 and the greatest latency in milliseconds.
std::string renderReport(const LoadReport&);

}
