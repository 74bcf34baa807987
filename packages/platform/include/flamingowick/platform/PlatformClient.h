#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/platform/Port.h"
#include "flamingowick/platform/Verdict.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

// HTTP client of the platform's object store.
namespace flamingowick::platform {

struct ClientSettings {
    // Base URL of the object store, as "http://ip:port", without a slash at the end.
    std::string url;
    // Name of this VM, sent with each request in the header X-Vm.
    std::string vm;
    Duration connectTimeout { std::chrono::seconds(1) };
    // Limits the time from the start of a call to its complete response, and also the time that a call may be queued.
    Duration callTimeout { std::chrono::seconds(3) };
    // Time after which the store ends a watch request and the client sends the next. Rounded up to whole seconds.
    Duration watchTimeout { std::chrono::seconds(10) };
    // Delay before a failed watch request is retried: doubles with each failure from minBackoff to maxBackoff, with
    // jitter.
    Duration minBackoff { std::chrono::milliseconds(100) };
    Duration maxBackoff { std::chrono::seconds(5) };
    // Maximum number of requests started in any second, including those of watches. At least 1.
    unsigned maxCallsPerSecond { 50 };
    // Maximum number of calls in flight at a time, not counting watches. At least 1.
    unsigned maxOutstanding { 16 };
    // Capacity of the submission ring and of the queue of calls not yet started, each. When the ring is full, submit()
    // returns false. At least 1.
    std::size_t maxWaiting { 256 };
    // Maximum size of a response body; a longer one ends the call as if there were no response.
    std::size_t maxAnswerBytes { 64U << 20U };
    // Maximum size of one line of a watch response.
    std::size_t maxEventBytes { 4U << 20U };
    // Seed of the random number generator for jitter.
    std::uint64_t seed { 1 };
};

// Decisions that tests can replace.
struct ClientPolicy {
    Verdict (*judge)(const Exchange&) noexcept { &platform::judge };
};

// Runs all calls on a thread that it owns. Members may be called from any thread.
class PlatformClient {
public:
    // Starts the thread, which calls handler for each result. The handler must not throw, call stop() or destroy the
    // client. Throws PlatformError 200 when a setting is invalid.
    PlatformClient(const ClientSettings&, ResultHandler handler, ClientPolicy = {});

    // Calls stop().
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    // See Port::submit.
    bool submit(Call);

    // Returns a port that submits to this client. The client must outlive the port.
    Port port();

    // Rejects further calls, cancels calls and watches without waiting for their responses, delivers the result of
    // every accepted call and joins the thread. Must not be called from the handler.
    void stop();

private:
    class Worker;
    std::unique_ptr<Worker> worker;
};

}
