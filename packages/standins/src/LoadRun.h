#pragma once

#include "LoadClient.h"

#include "flamingowick/standins/Load.h"

#include <deque>
#include <fstream>
#include <random>

// The course of one load.
namespace flamingowick::standins {

class LoadRun {
public:
    explicit LoadRun(const LoadOptions&);
    LoadRun(const LoadRun&) = delete;
    LoadRun& operator=(const LoadRun&) = delete;

    // Makes the load. Called once.
    LoadReport run();

private:
    // An entry with its connections and the requests that wait for one.
    struct Entry {
        asio::ip::tcp::endpoint endpoint;
        std::vector<std::shared_ptr<LoadConnection>> idle;
        std::deque<LoadRequest> waiting;
        unsigned open { 0 };
    };

    void scheduleNext();
    void startRequest();
    LoadRequest makeRequest(std::size_t entry, TimePoint due);
    void dispatch(LoadRequest);
    void take(const std::shared_ptr<LoadConnection>&, const LoadRequest&, LoadEnd, const detail::HttpResponse&);
    void reuse(Entry&, const std::shared_ptr<LoadConnection>&);
    void record(const LoadRequest&, LoadEnd, const detail::HttpResponse&);
    void count(const LoadRequest&, LoadEnd, const detail::HttpResponse&);
    void writeTold(const LoadRequest&, LoadEnd, const detail::HttpResponse&);
    void stopStarting();
    void finishWhenDone();
    std::string newKey();
    bool chance(double probability);

    LoadOptions options;
    asio::io_context context;
    asio::steady_timer arrival;
    asio::signal_set signals;
    std::vector<Entry> entries;
    std::mt19937_64 random;
    std::ofstream told;
    LoadReport report;
    TimePoint start;
    TimePoint due;
    std::uint64_t started { 0 };
    std::uint64_t lastNumber { 0 };
    std::uint64_t unfinished { 0 };
    bool starting { true };
};

}
