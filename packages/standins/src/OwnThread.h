#pragma once

#include "flamingowick/standins/detail/Asio.h"

#include <future>
#include <thread>

// A thread that runs one io_context.
namespace flamingowick::standins {

class OwnThread {
public:
    explicit OwnThread(asio::io_context& context)
        : context(context)
        , work(context.get_executor())
    {
    }

    // Stops the io_context and joins the thread.
    ~OwnThread()
    {
        this->context.stop();
        if (this->thread.joinable())
            this->thread.join();
    }

    OwnThread(const OwnThread&) = delete;
    OwnThread& operator=(const OwnThread&) = delete;

    void start()
    {
        this->thread = std::thread([this] { this->context.run(); });
    }

    // Runs function on the thread and returns its result, or throws what it throws.
    template <typename Function>
    auto run(Function function) -> decltype(function())
    {
        std::packaged_task<decltype(function())()> task(std::move(function));
        auto result = task.get_future();
        // Wrapped, since Asio takes a bare packaged task for a token and asks it for its future.
        asio::post(this->context, [task = std::move(task)]() mutable { task(); });
        return result.get();
    }

private:
    asio::io_context& context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

}
