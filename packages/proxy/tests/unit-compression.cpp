#include "flamingowick/proxy/Compression.h"

#include <CppUTest/TestHarness.h>

#include <random>
#include <string>

using namespace flamingowick::proxy;

namespace {

constexpr std::size_t anySize = 1U << 20U;

// Returns text that can't be compressed by itself.
std::string randomText(std::size_t size)
{
    std::mt19937 random(1);
    std::string text(size, '\0');
    for (char& letter : text)
        letter = static_cast<char>(random());
    return text;
}

}

TEST_GROUP(Compression) {};

TEST(Compression, RestoresTheContent)
{
    for (const std::string& content : { std::string(), std::string("x"), std::string(100'000, 'x'), randomText(300'000) })
        CHECK(decompress(compress(content, {}).value(), {}, anySize) == content);
}

TEST(Compression, SendsLittleMoreThanTheDifferenceToTheBase)
{
    const std::string base = randomText(600'000);
    const std::string content = base.substr(0, 300'000) + "changed" + base.substr(300'000);
    const std::string compressed = compress(content, base).value();
    CHECK_COMPARE(compressed.size(), <, 1000U);
    CHECK(decompress(compressed, base, anySize) == content);
}

TEST(Compression, RestoresNothingWithAnotherBase)
{
    const std::string base = randomText(50'000);
    const std::string compressed = compress(base + "more", base).value();
    CHECK_FALSE(decompress(compressed, {}, anySize).has_value());
    CHECK_FALSE(decompress(compressed, std::string(50'000, 'y'), anySize).has_value());
}

TEST(Compression, RestoresNothingFromMalformedBytes)
{
    const std::string compressed = compress(std::string(1000, 'x'), {}).value();
    CHECK_FALSE(decompress({}, {}, anySize).has_value());
    CHECK_FALSE(decompress("no frame", {}, anySize).has_value());
    CHECK_FALSE(decompress(std::string_view(compressed).substr(0, compressed.size() - 1), {}, anySize).has_value());
    for (std::size_t position = 0; position < compressed.size(); ++position) {
        std::string damaged = compressed;
        damaged[position] = static_cast<char>(damaged[position] ^ 0x10);
        const auto restored = decompress(damaged, {}, anySize);
        CHECK(!restored || *restored == std::string(1000, 'x'));
    }
}

TEST(Compression, RestoresNoMoreThanTheLimit)
{
    const std::string compressed = compress(std::string(1001, 'x'), {}).value();
    CHECK_FALSE(decompress(compressed, {}, 1000).has_value());
    CHECK(decompress(compressed, {}, 1001).has_value());
}
