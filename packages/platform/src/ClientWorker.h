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
    void takeCalls();
    void take(const Watch&);
    void take(const StopWatch&);
    template <typename Typed>
    void take(const Typed& call) { this->admit(prepare(call)); }
    void admit(Preparation);
    void giveUpLateCalls(TimePoint now);
    void startWatches(TimePoint now);
    void startCalls(TimePoint now);
    void startCall(PreparedCall, TimePoint now);
    TransferRequest requestFor(const PreparedCall&) const;
    TransferRequest requestFor(WatchCourse&);
    void endTransfers(TimePoint now);
    void endCall(const PreparedCall&, const Exchange&, std::string_view body);
    void deliver();
    Duration idleTime(TimePoint now) const;
    void shutDown();

    ClientSettings settings;
    ResultHandler handler;
    ClientPolicy policy;
    CurlTransfers transfers;
    BoundedRing<Call> calls;
    detail::CallPacer pacer;
    std::mt19937_64 random;
    std::deque<PreparedCall> waiting;
    std::map<TransferId, PreparedCall> active;
    std::map<CallId, WatchCourse> watches;
    std::map<TransferId, CallId> watchTransfers;
    std::vector<Result> results;
    // Guards accepting, so that no call slips in after the last look into the ring.
    std::mutex submitMutex;
    bool accepting { true };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

}
