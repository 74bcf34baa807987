#pragma once

#include <cstdint>
#include <string>
#include <unistd.h>

// Addresses for servers of tests.
namespace flamingowick::proxy {

// Returns an address on a loopback IP that only this process uses, with a port that it has not used before. Another
// program, or a connection of this one, can't take the port before the server opens it.
inline std::string freeAddress()
{
    constexpr unsigned byteMask = 0xff;
    constexpr std::uint16_t firstPort = 20'000;
    static std::uint16_t nextPort = firstPort;
    const auto process = static_cast<unsigned>(::getpid());
    // 127.0.x.y is left out, since other programs listen on 127.0.0.1.
    const unsigned second = 1 + (process >> 16U) % 254;
    return "127." + std::to_string(second) + "." + std::to_string((process >> 8U) & byteMask) + "." + std::to_string(process & byteMask) + ":" + std::to_string(nextPort++);
}

}
