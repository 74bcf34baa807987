#include "flamingowick/standins/Load.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <sstream>

// Makes open-loop load on the fleet's entries and prints a JSON report.

DEFINE_string(entries, "127.0.0.1:8080", "entries as ip:port, separated by commas");
DEFINE_double(rate, 100, "mean requests a second");
DEFINE_double(seconds, 10, "how long requests are started");
DEFINE_uint64(max_requests, 1000000, "requests at most, resends not counted");
DEFINE_uint32(connections, 50, "connections to each entry at most");
DEFINE_double(timeout_seconds, 15, "how long a request waits for its answer");
DEFINE_string(host, "localhost", "value of the Host header");
DEFINE_string(get_path, "/", "path of the GET requests");
DEFINE_string(post_path, "/", "path of the POST requests");
DEFINE_double(post_share, 0, "share of requests that are POST with an Idempotency-Key");
DEFINE_double(resend_share, 0, "share of POST requests that are sent twice at once with the same key");
DEFINE_uint32(callers, 10, "callers that the header X-Caller names in turn");
DEFINE_uint64(seed, 1, "seed of the load");
DEFINE_string(told_file, "", "file that takes a JSON line on each request's end");

namespace {

using namespace flamingowick;

Duration secondsOf(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e9)); }

standins::LoadOptions optionsFromFlags()
{
    standins::LoadOptions options;
    std::istringstream entries(FLAGS_entries);
    for (std::string entry; std::getline(entries, entry, ',');)
        options.entries.push_back(entry);
    options.rate = FLAGS_rate;
    options.time = secondsOf(FLAGS_seconds);
    options.maxRequests = FLAGS_max_requests;
    options.connectionsPerEntry = FLAGS_connections;
    options.timeout = secondsOf(FLAGS_timeout_seconds);
    options.host = FLAGS_host;
    options.getPath = FLAGS_get_path;
    options.postPath = FLAGS_post_path;
    options.postShare = FLAGS_post_share;
    options.resendShare = FLAGS_resend_share;
    options.callers = FLAGS_callers;
    options.seed = FLAGS_seed;
    options.toldFile = FLAGS_told_file;
    options.stopOnSignals = true;
    return options;
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    try {
        std::cout << standins::renderReport(standins::runLoad(optionsFromFlags())) << std::endl;
    } catch (const std::exception& error) {
        std::cerr << "load: " << error.what() << std::endl;
        return 1;
    }
    return 0;
}
