#include "flamingowick/standins/Signals.h"
#include "flamingowick/standins/StandinPlatform.h"

#include <gflags/gflags.h>

#include <iostream>

// Runs the stand-in platform until SIGTERM or SIGINT.

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 18080, "port to listen on; 0 takes a free one");
DEFINE_uint64(seed, 1, "seed of the faults that come by chance");

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    flamingowick::standins::blockStopSignals();
    try {
        const flamingowick::standins::StandinPlatform platform({ FLAGS_address, static_cast<std::uint16_t>(FLAGS_port), FLAGS_seed });
        std::cout << "listening on " << platform.url() << std::endl;
        flamingowick::standins::awaitStopSignal();
    } catch (const std::exception& error) {
        std::cerr << "standin-platform: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
