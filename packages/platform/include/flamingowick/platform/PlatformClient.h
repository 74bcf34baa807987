#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/platform/Port.h"
#include "flamingowick/platform/Verdict.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

// The adapter that speaks to the platform's object API over HTTP.
namespace flamingowick::platform {

struct ClientSettings {
    // Base address of the API, as "http://ip:port".
    std::string url;
    // Sent with each call as the header X-Vm.
    std::string vm;
    Duration connectTimeout { std::chrono::seconds(1) };
    // From the start of a call to its whole answer, and also the longest that a call waits to start.
    Duration callTimeout { std::chrono::seconds(3) };
    // How long one watch request is left open before it is renewed. Whole seconds.
    Duration watchTimeout { std::chrono::seconds(10) };
    // Wait before a failed watch is tried again: doubles from the least to the greatest, with jitter.
    Duration minBackoff { std::chrono::milliseconds(100) };
    Duration maxBackoff { std::chrono::seconds(5) };
    // Calls started in any second, watch requests included. At least 1.
    unsigned maxCallsPerSecond { 50 };
    // Calls in flight at a time, watches not counted. At least 1.
    unsigned maxOutstanding { 16 };
    // Calls taken in and not yet started, above which submit() refuses.
    std::size_t maxWaiting { 256 };
    std::size_t maxAnswerBytes { 64U << 20U };
    std::size_t maxEventBytes { 4U << 20U };
    // Seed of the jitter.
    std::uint64_t seed { 1 };
};

// The decisions that a test may replace.
struct ClientPolicy {
    Verdict (*judge)(const Exchange&) noexcept { &platform::judge };
};

// Runs all calls on one thread of its own. Members may be called from any thread.
class PlatformClient {
public:
    // Starts the thread; handler is called on it for each result, must not throw and must not
    // destroy the client. Throws PlatformError 200 when the settings can't be used.
    PlatformClient(const ClientSettings&, ResultHandler handler, ClientPolicy = {});

    // As stop().
    ~PlatformClient();
    PlatformClient(const PlatformClient&) = delete;
    PlatformClient& operator=(const PlatformClient&) = delete;

    // As Port::submit.
    bool submit(Call);

    // Returns a port to this client, which must outlive it.
    Port port();

    // Takes no further calls, gives every call taken in its result, ends watches and joins the
    // thread. Waits for no answer. Not to be called from the handler.
    void stop();

private:
    class Worker;
    std::unique_ptr<Worker> worker;
};

}
