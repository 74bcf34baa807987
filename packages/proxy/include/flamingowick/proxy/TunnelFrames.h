#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>

// Framing of the bytes that a daemon passes on from a target to another daemon. A frame is the size of its content, in four bytes
// with the most significant first, and the content. An empty frame states that the target has ended its connection; without
// one, the end of the passing daemon could not be told from the end of a response that has no length. Deterministic, no I/O.
namespace flamingowick::proxy {

inline constexpr std::size_t tunnelFrameHeaderBytes = 4;

// Returns the header of a frame with that many bytes of content; 0 for the frame that ends the stream.
std::array<char, tunnelFrameHeaderBytes> tunnelFrameHeader(std::uint32_t contentBytes) noexcept;

// Takes the content out of frames that arrive in parts.
class TunnelFrameReader {
public:
    // Moves the content within the received bytes to their start and returns its size. Ignores what follows the empty frame.
    // Linear in the bytes.
    std::size_t extractContent(std::span<char> received) noexcept;

    // Whether the empty frame has been received.
    bool hasEnded() const noexcept { return this->ended; }

private:
    std::size_t headerBytesRead { 0 };
    // Of the current frame.
    std::uint32_t contentBytesLeft { 0 };
    bool ended { false };
};

}
