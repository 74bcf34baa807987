#include "flamingowick/proxy/TunnelFrames.h"

#include <algorithm>

namespace flamingowick::proxy {

std::array<char, tunnelFrameHeaderBytes> tunnelFrameHeader(std::uint32_t contentBytes) noexcept
{
    std::array<char, tunnelFrameHeaderBytes> header {};
    for (std::size_t index = 0; index < header.size(); ++index)
        header.at(index) = static_cast<char>(contentBytes >> (8U * (tunnelFrameHeaderBytes - 1 - index)));
    return header;
}

std::size_t TunnelFrameReader::extractContent(std::span<char> received) noexcept
{
    std::size_t written = 0;
    std::size_t position = 0;
    while (position < received.size() && !this->ended) {
        if (this->headerBytesRead < tunnelFrameHeaderBytes) {
            this->contentBytesLeft = (this->contentBytesLeft << 8U) | static_cast<unsigned char>(received[position]);
            ++position;
            ++this->headerBytesRead;
            this->ended = this->headerBytesRead == tunnelFrameHeaderBytes && this->contentBytesLeft == 0;
            continue;
        }
        const std::size_t size = std::min<std::size_t>(this->contentBytesLeft, received.size() - position);
        std::copy_n(received.begin() + static_cast<std::ptrdiff_t>(position), size, received.begin() + static_cast<std::ptrdiff_t>(written));
        written += size;
        position += size;
        this->contentBytesLeft -= static_cast<std::uint32_t>(size);
        if (this->contentBytesLeft == 0)
            this->headerBytesRead = 0;
    }
    return written;
}

}
