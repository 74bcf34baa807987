#include "flamingowick/standins/detail/ObjectStore.h"

#include <CppUTest/TestHarness.h>

using namespace flamingowick;
using namespace flamingowick::standins::detail;

namespace {

constexpr std::string_view kind = "targetlists";
constexpr TimePoint start { std::chrono::seconds(100) };

StoredObject named(std::string name, std::uint64_t version = 0)
{
    return { std::move(name), version, "{}", "{}" };
}

}

TEST_GROUP(ObjectStore)
{
    ObjectStore store { { .maxHistory = 3 } };
};

TEST(ObjectStore, ReplacesOnlyTheVersionThatIsNamed)
{
    const StoreWrite created = this->store.create(kind, named("a"), start);
    CHECK(created.status == StoreStatus::Done);
    CHECK(this->store.create(kind, named("a"), start).status == StoreStatus::Conflict);
    CHECK(this->store.replace(kind, named("a", created.object.version + 1), start).status == StoreStatus::Conflict);
    CHECK(this->store.replace(kind, named("a", created.object.version), start).status == StoreStatus::Done);
    CHECK(this->store.replace(kind, named("b", 1), start).status == StoreStatus::NotFound);
    CHECK(this->store.remove(kind, "a", created.object.version, start).status == StoreStatus::Conflict);
}

TEST(ObjectStore, HidesChangesThatAreYoungerThanTheLag)
{
    const StoreWrite created = this->store.create(kind, named("a"), start);
    this->store.advance(kind, start + std::chrono::milliseconds(9), std::chrono::milliseconds(10));
    CHECK(this->store.find(kind, "a") == nullptr);
    std::vector<const StoreEvent*> events;
    CHECK(this->store.eventsAfter(kind, 0, events));
    CHECK(events.empty());
    this->store.advance(kind, start + std::chrono::milliseconds(10), std::chrono::milliseconds(10));
    CHECK(this->store.find(kind, "a") != nullptr);
    CHECK(this->store.eventsAfter(kind, 0, events));
    LONGS_EQUAL(1, events.size());
    LONGS_EQUAL(created.object.version, this->store.readableVersion(kind));
}

TEST(ObjectStore, SaysWhenItsHistoryNoLongerReachesBack)
{
    for (const char* name : { "a", "b", "c", "d", "e" }) {
        CHECK(this->store.create(kind, named(name), start).status == StoreStatus::Done);
        this->store.advance(kind, start, Duration::zero());
    }
    std::vector<const StoreEvent*> events;
    CHECK_FALSE(this->store.eventsAfter(kind, 1, events));
    CHECK_FALSE(this->store.eventsAfter(kind, 99, events));
    CHECK(this->store.eventsAfter(kind, 2, events));
    LONGS_EQUAL(3, events.size());
}
