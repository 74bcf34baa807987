#include "flamingowick/standins/Signals.h"
#include "flamingowick/standins/StandinTargets.h"

#include <gflags/gflags.h>

#include <iostream>
#include <stdexcept>

// Runs stand-in targets until SIGTERM or SIGINT.

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_uint32(port, 18100, "first port to listen on; 0 takes free ones");
DEFINE_uint32(count, 1, "targets on consecutive ports");
DEFINE_uint32(control_port, 0, "port on 127.0.0.1 that controls all targets by ?port=; 0 for none");
DEFINE_uint32(slots, 2, "requests that a target runs at a time");
DEFINE_double(service_time_ms, 10, "mean service time in milliseconds");
DEFINE_string(distribution, "exponential", "of the service times: fixed, exponential or lognormal");
DEFINE_uint64(answer_bytes, 0, "least size of an answer's body");
DEFINE_uint64(max_ledger, 20000, "runs that each target's ledger keeps");
DEFINE_uint64(seed, 1, "seed of the service times and of faults that come by chance");

namespace {

using namespace flamingowick;

standins::ServiceTimes distributionOf(const std::string& name)
{
    if (name == "fixed")
        return standins::ServiceTimes::Fixed;
    if (name == "exponential")
        return standins::ServiceTimes::Exponential;
    if (name == "lognormal")
        return standins::ServiceTimes::LogNormal;
    throw std::invalid_argument("no such distribution: " + name);
}

standins::TargetOptions optionsFromFlags()
{
    standins::TargetOptions options;
    options.address = FLAGS_address;
    options.firstPort = static_cast<std::uint16_t>(FLAGS_port);
    options.count = FLAGS_count;
    options.slots = FLAGS_slots;
    options.serviceTime = Duration(static_cast<Duration::rep>(FLAGS_service_time_ms * 1e6));
    options.distribution = distributionOf(FLAGS_distribution);
    options.answerBytes = FLAGS_answer_bytes;
    options.maxLedger = FLAGS_max_ledger;
    options.seed = FLAGS_seed;
    return options;
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    standins::blockStopSignals();
    try {
        standins::StandinTargets targets(optionsFromFlags());
        if (FLAGS_control_port != 0)
            targets.openControl(static_cast<std::uint16_t>(FLAGS_control_port));
        for (const std::uint16_t port : targets.ports())
            std::cout << "listening on " << FLAGS_address << ":" << port << std::endl;
        standins::awaitStopSignal();
    } catch (const std::exception& error) {
        std::cerr << "standin-target: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
