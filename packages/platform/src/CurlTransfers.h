#pragma once

#include "flamingowick/model/Clock.h"
#include "flamingowick/platform/Verdict.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// Concurrent HTTP transfers on the calling thread. In this package, only CurlTransfers.cpp uses libcurl.
namespace flamingowick::platform {

using TransferId = std::uint64_t;

struct TransferRequest {
    std::string method;
    std::string url;
    std::string body;
    // Value of the header X-Vm.
    std::string vm;
    // Whether the request changes stored data. Such a request is sent at most once, on a new connection.
    bool isWrite { false };
    Duration connectTimeout { 0 };
    Duration timeout { 0 };
    std::size_t maxResponseBytes { 0 };
    // Called after the headers of a response with status 200; may be empty.
    std::function<void()> onResponseStart;
    // Called with each part of the body of a response with status 200, which is then not stored in
    // FinishedTransfer::body. Returns false to cancel the transfer. May be empty.
    std::function<bool(std::string_view)> onBodyBytes;
};

struct FinishedTransfer {
    TransferId id { 0 };
    Exchange exchange;
    std::string body;
};

// All members except wake() must be called from the same thread.
class CurlTransfers {
public:
    // Throws PlatformError 201 when libcurl can't be initialised.
    CurlTransfers();
    ~CurlTransfers();
    CurlTransfers(const CurlTransfers&) = delete;
    CurlTransfers& operator=(const CurlTransfers&) = delete;

    // Starts a transfer. Throws PlatformError 201 when libcurl rejects it; nothing is sent then.
    TransferId start(TransferRequest);

    // Cancels a transfer and returns the state of its exchange.
    Exchange cancel(TransferId);

    // Performs all network operations that are possible without blocking and adds the transfers that ended to finished.
    void perform(std::vector<FinishedTransfer>& finished);

    // Waits until there is network activity, wake() is called or the timeout has passed.
    void wait(Duration timeout);

    // Ends the current wait(), or the next one if none is active. Thread-safe.
    void wake() noexcept;

private:
    struct State;
    std::unique_ptr<State> state;
};

}
