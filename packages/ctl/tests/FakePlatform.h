#pragma once

#include "flamingowick/configuration/Documents.h"
#include "flamingowick/ctl/Ports.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

// A platform in memory that loses answers, delays writes and lets others write in between, with a fleet
// that accepts documents.
namespace flamingowick::ctl {

// Shares of calls, 0 to 1.
struct Faults {
    // The write takes effect, its answer is lost.
    double lostAnswer { 0 };
    // The write has no effect and no answer.
    double lostCall { 0 };
    // No answer, and the write is made some calls later, under its condition.
    double lateWrite { 0 };
    double unavailable { 0 };
    // Another operator writes or removes the document just before the call.
    double race { 0 };
    // The fleet doesn't look at the document now.
    double fleetAway { 0 };
};

// A write that took effect on a document.
struct TakenWrite {
    std::string changeId;
    // "" for one that created the document.
    std::string replacedVersion;
};

class FakePlatform {
public:
    explicit FakePlatform(std::uint64_t seed, Faults = {});

    // Makes a call, with the faults that the seed gives.
    platform::Result call(const platform::Call&);

    // Lets the writes that are still under way take effect now.
    void deliverLateWrites();

    // Writes a document as another operator.
    void writeAsOther(const std::string& service, const std::string& text);

    Ports ports();

    // What the platform holds, without faults.
    std::map<std::string, platform::Object>& objects(platform::Plural);

    std::vector<TakenWrite> taken;
    // The document's version that the first read gave; unset when there was no read.
    std::optional<std::string> firstReadVersion;
    // Daemons' answers by address and path.
    std::map<std::string, DaemonAnswer> daemonAnswers;

private:
    bool happens(double share);
    platform::Result read(const platform::Get&);
    platform::Result write(const platform::Call&);
    platform::Result writeNow(const platform::Call&);
    void runFleet(const std::string& service);

    std::mt19937_64 random;
    Faults faults;
    std::uint64_t version { 0 };
    std::uint64_t others { 0 };
    std::map<platform::Plural, std::map<std::string, platform::Object>> stored;
    std::vector<platform::Call> late;
};

// Returns a valid document of the service "ledger" with that queue length.
std::string makeText(unsigned maxWaiting);

}
