#include "flamingowick/model/BoundedRing.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <memory>
#include <thread>

using namespace flamingowick;

TEST_GROUP(BoundedRing) {};

TEST(BoundedRing, RefusesWhatExceedsItsCapacityAndKeepsTheOrder)
{
    BoundedRing<std::unique_ptr<int>> ring(2);
    CHECK(ring.tryPush(std::make_unique<int>(1)));
    CHECK(ring.tryPush(std::make_unique<int>(2)));
    CHECK_FALSE(ring.tryPush(std::make_unique<int>(3)));
    std::vector<std::unique_ptr<int>> popped;
    LONGS_EQUAL(2, ring.popAll(popped));
    LONGS_EQUAL(1, *popped[0]);
    LONGS_EQUAL(2, *popped[1]);
    LONGS_EQUAL(0, ring.size());
}

TEST(BoundedRing, WakesOnlyWhenItStopsBeingEmpty)
{
    int wakes = 0;
    BoundedRing<int> ring(4, [&wakes] { ++wakes; });
    CHECK(ring.tryPush(1));
    CHECK(ring.tryPush(2));
    LONGS_EQUAL(1, wakes);
    int element = 0;
    CHECK(ring.tryPop(element));
    CHECK(ring.tryPop(element));
    CHECK_FALSE(ring.tryPop(element));
    CHECK(ring.tryPush(3));
    LONGS_EQUAL(2, wakes);
}

TEST(BoundedRing, DeliversEveryElementOnceAndInTheOrderOfItsProducer)
{
    constexpr int producerCount = 4;
    constexpr int perProducer = 5000;
    BoundedRing<std::pair<int, int>> ring(64);
    std::vector<std::thread> producers;
    producers.reserve(producerCount);
    for (int producer = 0; producer < producerCount; ++producer) {
        producers.emplace_back([&ring, producer] {
            for (int i = 0; i < perProducer; ++i) {
                while (!ring.tryPush({ producer, i }))
                    std::this_thread::yield();
            }
        });
    }
    std::vector<int> next(producerCount, 0);
    std::vector<std::pair<int, int>> popped;
    for (int received = 0; received < producerCount * perProducer;) {
        popped.clear();
        received += static_cast<int>(ring.popAll(popped));
        for (const auto& [producer, i] : popped)
            LONGS_EQUAL(next[producer]++, i);
    }
    for (std::thread& producer : producers)
        producer.join();
    LONGS_EQUAL(0, ring.size());
}

TEST(BoundedRing, LosesNoWakeOfASleepingConsumer)
{
    constexpr int count = 20000;
    std::atomic<unsigned> wakes { 0 };
    BoundedRing<int> ring(16, [&wakes] {
        ++wakes;
        wakes.notify_one();
    });
    std::thread producer([&ring] {
        for (int i = 0; i < count; ++i) {
            while (!ring.tryPush(i))
                std::this_thread::yield();
        }
    });
    std::vector<int> popped;
    while (popped.size() < count) {
        const unsigned seen = wakes.load();
        if (ring.popAll(popped) == 0)
            wakes.wait(seen);
    }
    producer.join();
    LONGS_EQUAL(count - 1, popped.back());
}
