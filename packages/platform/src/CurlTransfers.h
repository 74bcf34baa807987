#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/platform/Verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// HTTP transfers by libcurl, many at a time on the calling thread. The only place that knows libcurl.
namespace flamingowick::platform {

using TransferId = std::uint64_t;

struct TransferRequest {
    std::string method;
    std::string url;
    std::string body;
    // Value of the header X-Vm.
    std::string vm;
    // Whether the request changes anything; then it is sent at most once, on a connection of its own.
    bool write { false };
    Duration connectTimeout { 0 };
    Duration timeout { 0 };
    std::size_t maxAnswerBytes { 0 };
    // Called when an answer of status 200 has begun; may be empty.
    std::function<void()> onBegin;
    // Takes the body of an answer of status 200 piece by piece instead of keeping it, and returns
    // false to break off; may be empty.
    std::function<bool(std::string_view)> onBytes;
};

struct TransferEnd {
    TransferId id { 0 };
    Exchange exchange;
    std::string body;
};

// All members but wake() belong to one thread.
class CurlTransfers {
public:
    // Throws PlatformError 201 when libcurl can't be set up.
    CurlTransfers();
    ~CurlTransfers();
    CurlTransfers(const CurlTransfers&) = delete;
    CurlTransfers& operator=(const CurlTransfers&) = delete;

    // Begins a transfer. Throws PlatformError 201 when libcurl refuses it, and then nothing is sent.
    TransferId start(TransferRequest);

    // Breaks off a transfer and returns the facts so far.
    Exchange cancel(TransferId);

    // Moves transfers on as far as they go now and adds those that ended to ends.
    void perform(std::vector<TransferEnd>& ends);

    // Waits for network traffic, wake() or the end of limit.
    void wait(Duration limit);

    // Ends the present or next wait(). Safe from any thread.
    void wake() noexcept;

private:
    struct State;
    std::unique_ptr<State> state;
};

}
