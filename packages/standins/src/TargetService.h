#pragma once

#include "flamingowick/standins/StandinTargets.h"
#include "flamingowick/standins/detail/HttpServer.h"

#include <deque>
#include <random>

// One stand-in target on its process's io_context.
namespace flamingowick::standins {

class TargetService {
public:
    TargetService(asio::io_context&, const TargetOptions&, std::uint16_t port, std::uint64_t seed);
    TargetService(const TargetService&) = delete;
    TargetService& operator=(const TargetService&) = delete;

    std::uint16_t port() const { return this->server.port(); }
    const TargetFaults& presentFaults() const noexcept { return this->faults; }
    void setFaults(const TargetFaults&);
    TargetLedger ledger(bool withRuns) const;

    // Answers the control paths for this target. Returns false when the path is another.
    bool handleControl(const std::shared_ptr<detail::HttpConnection>&, const detail::HttpRequest&);

private:
    using ConnectionPointer = std::shared_ptr<detail::HttpConnection>;

    // A run in a slot.
    struct Run {
        Run(asio::io_context& context, ConnectionPointer connection, detail::HttpRequest request)
            : connection(std::move(connection))
            , request(std::move(request))
            , timer(context)
        {
        }

        ConnectionPointer connection;
        detail::HttpRequest request;
        asio::steady_timer timer;
        std::uint64_t number { 0 };
        // When its caller stops waiting, by the header X-Timeout-Ms.
        TimePoint deadline { TimePoint::max() };
        bool expired { false };
        // The target's life in which the run began; a crash ends a life.
        std::uint64_t life { 0 };
        bool over { false };
    };
    using RunPointer = std::shared_ptr<Run>;

    void handle(const ConnectionPointer&, detail::HttpRequest);
    void admit(const RunPointer&);
    void begin(const RunPointer&);
    void finishAfter(const RunPointer&, Duration wait);
    void finish(const RunPointer&);
    void cancel(const RunPointer&);
    void leaveSlot(const RunPointer&, RunEnd);
    void startWaiting();
    void crash();
    void restart();
    void refuse(const ConnectionPointer&, std::string_view reason);
    bool faultsApply() const;
    bool chance(double probability);
    Duration drawServiceTime();
    double slowStartFactor() const;
    RunRecord* findRecord(std::uint64_t run);

    asio::io_context& context;
    TargetOptions options;
    TargetFaults faults;
    detail::HttpServer server;
    std::mt19937_64 random;
    asio::steady_timer restartTimer;
    std::deque<RunRecord> records;
    std::deque<RunPointer> waiting;
    TargetLedger counters;
    std::uint64_t lastRun { 0 };
    std::uint64_t life { 1 };
    TimePoint startedAt;
};

}
