#pragma once

#include "CurlTransfers.h"
#include "PreparedCall.h"
#include "WatchState.h"

#include "flamingowick/model/BoundedRing.h"
#include "flamingowick/platform/detail/CallPacer.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

// The thread behind PlatformClient.
namespace flamingowick::platform {

class PlatformClient::Worker {
public:
    Worker(const ClientSettings&, ResultHandler, ClientPolicy);
    ~Worker();
    Worker(const Worker&) = delete;
    Worker& operator=(const Worker&) = delete;

    bool submit(Call);
    void stop();

private:
    void run();
    void receiveCalls();
    void handle(const Watch&);
    void handle(const StopWatch&);
    template <typename Typed>
    void handle(const Typed& call) { this->enqueueCall(prepare(call)); }
    void enqueueCall(PreparationResult);
    void expireQueuedCalls(TimePoint now);
    void startWatches(TimePoint now);
    void startCalls(TimePoint now);
    void startCall(PreparedCall, TimePoint now);
    TransferRequest buildRequest(const PreparedCall&) const;
    TransferRequest buildRequest(WatchState&);
    void handleFinishedTransfers(TimePoint now);
    void finishCall(const PreparedCall&, const Exchange&, std::string_view body);
    void deliverResults();
    Duration pollTimeout(TimePoint now) const;
    void shutDown();

    ClientSettings settings;
    ResultHandler handler;
    ClientPolicy policy;
    CurlTransfers transfers;
    BoundedRing<Call> submittedCalls;
    detail::CallPacer pacer;
    std::mt19937_64 random;
    std::deque<PreparedCall> queuedCalls;
    std::map<TransferId, PreparedCall> activeCalls;
    std::map<CallId, WatchState> watches;
    std::map<TransferId, CallId> watchTransfers;
    std::vector<Result> results;
    // Guards accepting, so that no call enters the ring after shutDown() has drained it.
    std::mutex submitMutex;
    bool accepting { true };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

}
