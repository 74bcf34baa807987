#pragma once

#include "OwnThread.h"

#include "flamingowick/standins/StandinPlatform.h"
#include "flamingowick/standins/detail/HttpServer.h"
#include "flamingowick/standins/detail/ObjectStore.h"

#include <boost/circular_buffer.hpp>

#include <list>
#include <random>

// The thread behind StandinPlatform: it answers the API's calls and plays the faults.
namespace flamingowick::standins {

class StandinPlatform::Service {
public:
    explicit Service(const PlatformStandinOptions&);
    Service(const Service&) = delete;
    Service& operator=(const Service&) = delete;

    // Runs function on the service's thread and returns its result.
    template <typename Function>
    auto run(Function function) -> decltype(function())
    {
        return this->thread.run(std::move(function));
    }

    void setFaults(const PlatformFaults&);
    std::string url() const { return this->baseUrl; }

    // Declared first: the server and the timer are made on it.
    asio::io_context context;
    detail::HttpServer server;
    PlatformFaults faults;
    PlatformCounters counters;
    boost::circular_buffer<std::string> appliedChanges;
    std::string baseUrl;

private:
    using ConnectionPointer = std::shared_ptr<detail::HttpConnection>;

    // A call with its path taken apart.
    struct ApiCall {
        detail::HttpRequest request;
        std::string plural;
        std::string name;
    };

    struct OpenWatch {
        ConnectionPointer connection;
        std::string plural;
        // The client as the deaf fault names it, and its IP number.
        std::string vm;
        std::string peer;
        std::uint64_t version { 0 };
        TimePoint until;
    };

    static constexpr std::size_t maxAppliedChanges = 200000;

    void handle(const ConnectionPointer&, detail::HttpRequest);
    void handleControl(const ConnectionPointer&, const detail::HttpRequest&);
    void handleApi(const ConnectionPointer&, ApiCall);
    void handleWrite(const ConnectionPointer&, ApiCall);
    void finishWrite(const ConnectionPointer&, const ApiCall&, bool loseAnswer);
    void beginWatch(const ConnectionPointer&, const ApiCall&);
    bool withinRate();
    bool isDeaf(std::string_view vm, std::string_view peer) const;
    bool chance(double probability);
    Duration lagOf(std::string_view plural) const;
    detail::HttpAnswer read(const ApiCall&);
    detail::HttpAnswer write(const ApiCall&);
    detail::HttpAnswer writeAnswer(std::string_view plural, const detail::StoreWrite&, unsigned doneStatus);
    void answerLater(const ConnectionPointer&, detail::HttpAnswer);
    void after(Duration, std::function<void()>);
    void tick();
    void pumpWatches();
    bool pump(OpenWatch&);

    detail::ObjectStore store;
    std::mt19937_64 random;
    std::list<OpenWatch> watches;
    asio::steady_timer timer;
    std::uint64_t presentSecond { 0 };
    std::uint64_t callsInSecond { 0 };
    // Last, so that it is joined before what it works on goes.
    OwnThread thread { this->context };
};

}
