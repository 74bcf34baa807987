#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

// Decides which of the requests that a caller has sent on one connection run, and in which order their responses go out.
// Deterministic, no I/O.
namespace flamingowick::proxy {

enum class PipelineStage : std::uint8_t {
    Waiting,
    Running,
    // The response is known, but hasn't been written completely.
    Answered,
};

struct PipelinedRequest {
    // Unique on the connection.
    std::uint64_t number { 0 };
    // The request may be repeated, so that it may run beside others of its kind.
    bool concurrent { false };
    // Its response closes the connection.
    bool last { false };
    PipelineStage stage { PipelineStage::Waiting };
    // Of the request, and of the response once it is known.
    std::uint64_t heldBytes { 0 };
};

struct PipelineLimits {
    // Beyond what callers send ahead, and a small part of the slots of a service.
    std::size_t maxRequests { 32 };
    // Requests and responses of a connection. With room for one more it may be exceeded by that one.
    std::uint64_t maxBytes { 1U << 20U };
};

struct PipelineQueue {
    PipelineLimits limits;
    // In the order of arrival. Responses go out in this order.
    std::deque<PipelinedRequest> requests {};
    std::uint64_t lastNumber { 0 };
    // Of the responses so far, earlier ones counting less; what each request without a response is expected to need.
    std::uint64_t largestResponseBytes { 0 };
};

// The response that is to be written next.
struct NextResponse {
    std::uint64_t number { 0 };
    // The connection is closed after it.
    bool closes { false };
};

// Returns whether another request is to be read. Only one that can be served soon is: behind requests that run concurrently,
// within the limits, and not while a stop leaves the connection only the requests that run. Linear in the requests.
bool mayReadNext(const PipelineQueue&, bool stopping) noexcept;

// Adds a request and returns its number.
std::uint64_t addRequest(PipelineQueue&, bool concurrent, bool last, std::uint64_t bytes);

// Starts the next request that may run now, and returns its number; none if there is none. A concurrent one runs beside
// concurrent ones; any other waits until the responses before it have been written. While stopping, no request starts
// behind another. Linear in the requests.
std::optional<std::uint64_t> startNext(PipelineQueue&, bool stopping) noexcept;

// Records that the response to a request is known. Unknown numbers are ignored. Linear in the requests.
void recordResponse(PipelineQueue&, std::uint64_t number, std::uint64_t bytes) noexcept;

// Returns the response that may be written now; none while the first request has none. While stopping, the last request
// that was started closes the connection. Linear in the requests.
std::optional<NextResponse> nextResponse(const PipelineQueue&, bool stopping) noexcept;

// Lets the response to the newest request, if there is one, close the connection. Constant time.
void endWithNewest(PipelineQueue&) noexcept;

// Removes the first request, whose response has been written.
void removeFirst(PipelineQueue&);

// Removes all requests behind the first, whose response closes the connection, and returns their numbers.
std::vector<std::uint64_t> removeBehindFirst(PipelineQueue&);

// Returns the bytes of all requests and responses. Linear in the requests.
std::uint64_t heldBytes(const PipelineQueue&) noexcept;

}
