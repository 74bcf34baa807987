#pragma once

#include <boost/circular_buffer.hpp>

#include <cstddef>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

// The queue that joins two threads.
namespace flamingowick {

// A first-in, first-out queue of fixed capacity for any number of producers and consumers. All
// members may be called from any thread. A full ring refuses; it never blocks and never grows.
template <typename T>
class BoundedRing {
public:
    // Makes a ring for at most capacity elements. wake, when set, is called by the producer whose
    // element finds the ring empty, outside the ring's lock; it must not throw. May throw
    // std::bad_alloc.
    explicit BoundedRing(std::size_t capacity, std::function<void()> wake = {})
        : elements(capacity)
        , wake(std::move(wake))
    {
    }

    BoundedRing(const BoundedRing&) = delete;
    BoundedRing& operator=(const BoundedRing&) = delete;

    // Appends element. Returns false, and drops element, when the ring is full. Constant time;
    // throws only what moving T throws, and then leaves the ring as it was.
    [[nodiscard]] bool tryPush(T element)
    {
        bool wasEmpty = false;
        {
            const std::scoped_lock lock(this->mutex);
            if (this->elements.full())
                return false;
            wasEmpty = this->elements.empty();
            this->elements.push_back(std::move(element));
        }
        if (wasEmpty && this->wake)
            this->wake();
        return true;
    }

    // Moves the oldest element into element. Returns false when the ring is empty. Constant time.
    [[nodiscard]] bool tryPop(T& element)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->elements.empty())
            return false;
        element = std::move(this->elements.front());
        this->elements.pop_front();
        return true;
    }

    // Moves all elements to the end of destination, oldest first, and returns their number. Linear
    // in that number; throws std::bad_alloc before any element is moved.
    std::size_t popAll(std::vector<T>& destination)
    {
        const std::scoped_lock lock(this->mutex);
        const std::size_t count = this->elements.size();
        destination.reserve(destination.size() + count);
        for (T& element : this->elements)
            destination.push_back(std::move(element));
        this->elements.clear();
        return count;
    }

    // Returns the number of elements at the time of the call. Constant time.
    [[nodiscard]] std::size_t size() const
    {
        const std::scoped_lock lock(this->mutex);
        return this->elements.size();
    }

    // Returns the capacity given at construction. Constant time; never throws.
    [[nodiscard]] std::size_t capacity() const noexcept { return this->elements.capacity(); }

private:
    boost::circular_buffer<T> elements;
    std::function<void()> wake;
    mutable std::mutex mutex;
};

}
