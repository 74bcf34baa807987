#include "Fleet.h"
#include "Journal.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

// Compares schemes that run keyed requests at most once, under the same seeded load and disturbances.
// Usage: flamingowick_keys_bench [seed [json file]]
namespace {

using namespace flamingowick;
using namespace flamingowick::keys::bench;

struct Row {
    std::string scheme;
    std::string disturbance;
    double minutes;
    Measurements measured;
};

struct NamedDisturbance {
    Disturbance disturbance;
    const char* name;
    Duration length;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto index = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[index];
}

double percent(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

double writesPerSecond(const Row& row)
{
    return static_cast<double>(row.measured.storeWrites) / (row.minutes * 60);
}

void printRow(const Row& row)
{
    const Measurements& measured = row.measured;
    std::printf("%-16s %-22s %8llu %9.3f%% %9.3f%% %8llu %8llu %7.2f %7.2f %9.2f %6llu\n", row.scheme.c_str(), row.disturbance.c_str(),
        static_cast<unsigned long long>(measured.keys), percent(measured.refusedFirst, measured.keys),
        percent(measured.neverAnswered, measured.keys), static_cast<unsigned long long>(measured.ranTwice),
        static_cast<unsigned long long>(measured.falseNotRun), quantile(measured.addedMs, 0.5), quantile(measured.addedMs, 0.99),
        writesPerSecond(row), static_cast<unsigned long long>(measured.peakWritesPerSecond));
}

void writeJson(const std::string& path, const std::vector<Row>& rows)
{
    std::ofstream file(path);
    file << "[\n";
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const Row& row = rows[index];
        const Measurements& measured = row.measured;
        file << R"(  {"way": ")" << row.scheme << R"(", "disturbance": ")" << row.disturbance << R"(", "keys": )" << measured.keys
             << R"(, "refusedFirst": )" << measured.refusedFirst << R"(, "neverAnswered": )" << measured.neverAnswered
             << R"(, "doubled": )" << measured.ranTwice << R"(, "falseNotRun": )" << measured.falseNotRun
             << R"(, "addedP50Ms": )" << quantile(measured.addedMs, 0.5) << R"(, "addedP99Ms": )" << quantile(measured.addedMs, 0.99)
             << R"(, "storeWritesPerSecond": )" << writesPerSecond(row)
             << R"(, "peakStoreWritesPerSecond": )" << measured.peakWritesPerSecond << "}" << (index + 1 < rows.size() ? ",\n" : "\n");
    }
    file << "]\n";
}

std::vector<NamedDisturbance> disturbances()
{
    constexpr std::chrono::minutes defaultLength(15);
    constexpr std::chrono::minutes outage(130);
    return {
        { Disturbance::None, "none", defaultLength },
        { Disturbance::KillOne, "kill one VM", defaultLength },
        { Disturbance::KillTwo, "kill two VMs", defaultLength },
        { Disturbance::KillFailureDomain, "kill failure domain", defaultLength },
        { Disturbance::RollingReplacement, "rolling replacement", defaultLength },
        { Disturbance::StoreOutage, "2 h store outage", outage },
        { Disturbance::StoreOutageWithDeath, "2 h outage and a kill", outage },
        { Disturbance::Pauses, "20 s pauses", defaultLength },
    };
}

Measurements runScheme(const std::string& scheme, const Setup& base)
{
    Setup setup = base;
    if (scheme == "journal")
        return runJournal(setup);
    setup.scheme = scheme == "lease" ? OwnershipScheme::Lease : scheme == "lease with wait" ? OwnershipScheme::LeaseWithWait
                                                                                            : OwnershipScheme::SoleOwner;
    return runFleet(setup);
}

}

int main(int argc, char** argv)
{
    Setup setup;
    setup.seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::vector<Row> rows;
    std::printf("%-16s %-22s %8s %10s %10s %8s %8s %7s %7s %9s %6s\n", "way", "disturbance", "keys", "refused", "no answer",
        "doubled", "false nr", "p50 ms", "p99 ms", "writes/s", "peak");
    for (const NamedDisturbance& named : disturbances()) {
        for (const char* scheme : { "sole owner", "lease", "lease with wait", "journal" }) {
            setup.disturbance = named.disturbance;
            setup.length = named.length;
            double minutes = std::chrono::duration<double, std::ratio<60>>(named.length).count();
            rows.push_back({ scheme, named.name, minutes, runScheme(scheme, setup) });
            printRow(rows.back());
        }
    }
    if (argc > 2)
        writeJson(argv[2], rows);
    bool doubled = std::any_of(rows.begin(), rows.end(), [](const Row& row) { return row.scheme == "sole owner" && row.measured.ranTwice > 0; });
    return doubled ? EXIT_FAILURE : EXIT_SUCCESS;
}
