#include "ExampleFiles.h"

#include "flamingowick/settings/DaemonSettingsText.h"
#include "flamingowick/settings/FindingText.h"
#include "flamingowick/settings/ServiceDocumentText.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <random>

using namespace flamingowick::settings;
using namespace flamingowick::settings::tests;

namespace {

constexpr std::uint64_t defaultSeed = 20261203;
constexpr int rounds = 20'000;

std::uint64_t numberFromEnvironment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : otherwise;
}

// Changes text at a few random places: bytes replaced, spans doubled or cut out, JSON marks put in.
std::string mutate(std::string text, std::mt19937_64& random)
{
    constexpr std::string_view marks = "{}[],:\"/*\n\\-.eE0~";
    const auto below = [&random](std::size_t bound) { return static_cast<std::size_t>(random() % bound); };
    const std::size_t edits = 1 + below(6);
    for (std::size_t edit = 0; edit < edits && !text.empty(); ++edit) {
        const std::size_t place = below(text.size());
        const std::size_t length = below(40);
        switch (below(4)) {
        case 0:
            text[place] = static_cast<char>(below(256));
            break;
        case 1:
            text.insert(place, text.substr(place, length));
            break;
        case 2:
            text.erase(place, length);
            break;
        default:
            text.insert(place, 1, marks[below(marks.size())]);
        }
    }
    return text;
}

unsigned countLines(std::string_view text)
{
    return 1 + static_cast<unsigned>(std::count(text.begin(), text.end(), '\n'));
}

}

TEST_GROUP(RandomTexts) {};

TEST(RandomTexts, neverCrashTheReadersAndKeepLinesInRange)
{
    using WallClock = std::chrono::steady_clock;
    const auto end = WallClock::now() + std::chrono::seconds(numberFromEnvironment("FLAMINGOWICK_SECONDS", 0));
    std::mt19937_64 random(numberFromEnvironment("FLAMINGOWICK_SEED", defaultSeed));
    std::vector<std::string> texts = { readExample("daemon.jsonc") };
    for (const std::string& name : serviceExamples())
        texts.push_back(readExample(name));
    int accepted = 0;
    for (int round = 0; round < rounds || WallClock::now() < end; ++round) {
        const std::string text = mutate(texts[random() % texts.size()], random);
        const auto document = parseServiceDocument(text);
        const auto settings = parseDaemonSettings(text);
        for (const auto& finding : document.findings)
            CHECK(finding.line <= countLines(text));
        if (document.accepted()) {
            ++accepted;
            const auto again = parseServiceDocument(serviceDocumentJson(document.value));
            CHECK(again.value == document.value);
        }
        CHECK(document.accepted() || !renderFindings(document.findings, "f").empty());
        CHECK(!document.accepted() || !settings.accepted());
    }
    CHECK(accepted > 0);
}
