#include "flamingowick/proxy/PipelineQueue.h"

#include <algorithm>
#include <iterator>
#include <numeric>

namespace flamingowick::proxy {

namespace {

    // Bytes held now and, as far as earlier responses tell, bytes that the responses still to come will need.
    std::uint64_t expectedBytes(const PipelineQueue& queue) noexcept
    {
        const auto unanswered = std::count_if(queue.requests.begin(), queue.requests.end(), [](const PipelinedRequest& request) { return request.stage != PipelineStage::Answered; });
        return heldBytes(queue) + static_cast<std::uint64_t>(unanswered) * queue.largestResponseBytes;
    }

}

std::uint64_t heldBytes(const PipelineQueue& queue) noexcept
{
    return std::accumulate(queue.requests.begin(), queue.requests.end(), std::uint64_t { 0 }, [](std::uint64_t sum, const PipelinedRequest& request) { return sum + request.heldBytes; });
}

bool mayReadNext(const PipelineQueue& queue, bool stopping) noexcept
{
    if (queue.requests.empty())
        return true;
    const PipelinedRequest& newest = queue.requests.back();
    return !stopping && newest.concurrent && !newest.last && queue.requests.size() < queue.limits.maxRequests && expectedBytes(queue) < queue.limits.maxBytes;
}

std::uint64_t addRequest(PipelineQueue& queue, bool concurrent, bool last, std::uint64_t bytes)
{
    queue.requests.push_back({ ++queue.lastNumber, concurrent, last, PipelineStage::Waiting, bytes });
    return queue.lastNumber;
}

std::optional<std::uint64_t> startNext(PipelineQueue& queue, bool stopping) noexcept
{
    const auto next = std::find_if(queue.requests.begin(), queue.requests.end(), [](const PipelinedRequest& request) { return request.stage == PipelineStage::Waiting; });
    if (next == queue.requests.end())
        return std::nullopt;
    const bool isFirst = next == queue.requests.begin();
    if (!isFirst && (stopping || !std::all_of(queue.requests.begin(), std::next(next), [](const PipelinedRequest& request) { return request.concurrent; })))
        return std::nullopt;
    next->stage = PipelineStage::Running;
    return next->number;
}

void recordResponse(PipelineQueue& queue, std::uint64_t number, std::uint64_t bytes) noexcept
{
    const auto found = std::find_if(queue.requests.begin(), queue.requests.end(), [number](const PipelinedRequest& request) { return request.number == number; });
    if (found == queue.requests.end() || found->stage == PipelineStage::Answered)
        return;
    found->stage = PipelineStage::Answered;
    found->heldBytes += bytes;
    queue.largestResponseBytes = std::max(queue.largestResponseBytes / 4 * 3, bytes);
}

std::optional<NextResponse> nextResponse(const PipelineQueue& queue, bool stopping) noexcept
{
    if (queue.requests.empty() || queue.requests.front().stage != PipelineStage::Answered)
        return std::nullopt;
    const bool startedBehind = std::any_of(std::next(queue.requests.begin()), queue.requests.end(), [](const PipelinedRequest& request) { return request.stage != PipelineStage::Waiting; });
    return NextResponse { queue.requests.front().number, queue.requests.front().last || (stopping && !startedBehind) };
}

void endWithNewest(PipelineQueue& queue) noexcept
{
    if (!queue.requests.empty())
        queue.requests.back().last = true;
}

void removeFirst(PipelineQueue& queue)
{
    queue.requests.pop_front();
}

std::vector<std::uint64_t> removeBehindFirst(PipelineQueue& queue)
{
    std::vector<std::uint64_t> removed;
    for (auto request = std::next(queue.requests.begin()); request != queue.requests.end(); ++request)
        removed.push_back(request->number);
    queue.requests.resize(1);
    return removed;
}

}
