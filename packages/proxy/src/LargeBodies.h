#pragma once

#include <cstdint>
#include <memory>

// Bounds the large request bodies that are held at the same time, before they are read. They are kept out of the budget for everything
// else, which one of them alone may exceed.
namespace flamingowick::proxy {

// Bodies up to this size count like all other bytes of a request.
inline constexpr std::uint64_t maxSmallBodyBytes = 64U << 10U;

// A part of the room for large bodies, which it returns at its end.
class BodyReservation {
public:
    explicit BodyReservation(std::shared_ptr<std::uint64_t> sharedTotal)
        : total(std::move(sharedTotal))
    {
    }
    ~BodyReservation() { *this->total -= this->reserved; }
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    std::uint64_t bytes() const noexcept { return this->reserved; }

    // Grows to the number of bytes, and returns whether there is room: for any one body, and for others within the limit; 0 for no
    // limit. Unchanged if there isn't. Constant time.
    bool growTo(std::uint64_t needed, std::uint64_t limit) noexcept
    {
        const std::uint64_t others = *this->total - this->reserved;
        if (limit > 0 && others > 0 && others + needed > limit)
            return false;
        *this->total = others + needed;
        this->reserved = needed;
        return true;
    }

private:
    // Over all reservations, and owned by all of them, since requests may outlive their server.
    std::shared_ptr<std::uint64_t> total;
    std::uint64_t reserved { 0 };
};

}
