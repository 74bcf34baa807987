#pragma once

#include "flamingowick/proxy/Entry.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

// One caller's request on its way: asks for a target, sends, judges, and answers.
namespace flamingowick::proxy {

class RequestCourse : public std::enable_shared_from_this<RequestCourse> {
public:
    RequestCourse(Entry&, std::shared_ptr<CallerConnection>, std::shared_ptr<const ConfigurationInForce>, const Route&, std::string service);

    // Begins; the course ends by itself and leaves the entry.
    void begin();

    // The word on its question.
    void takeWord(const std::string& granter, const WordMessage&);

    // Adds the attempts that run in the group, or in any when it is empty.
    void listRunning(std::string_view group, std::vector<RunningMessage>&) const;

private:
    struct Question {
        std::uint64_t number { 0 };
        std::string group;
        // Targets of the group to which this daemon holds an idle connection.
        std::vector<std::string> warm;
        std::vector<std::string> dispatchers;
        std::size_t index { 0 };
        unsigned tries { 0 };
        bool repeat { false };
        bool waits { false };
        TimePoint due;
        TimePoint since;
    };
    struct Attempt {
        std::uint64_t number { 0 };
        std::string instance;
        std::string group;
        std::string granter;
        std::uint64_t link { 0 };
        TimePoint startedAt;
    };

    unsigned groupTotal() const;
    void ask(bool repeat);
    void openQuestion(bool repeat);
    void askNext();
    void decideAlone();
    AskMessage question() const;
    void dropQuestion();
    void granted(const grants::Decision&, const std::string& granter);
    void refused(const grants::Decision&, const std::string& granter);
    bool knowsTarget() const;
    void send(const grants::Decision&, const std::string& granter);
    void ended(std::uint64_t number, AttemptResult);
    void report(const Attempt&, grants::Outcome, Duration lasted);
    bool mayAskAgain() const;
    void failedOrShed();
    void concludeWithout(Duration retryAfter);
    void pass(const HttpMessage& answer);
    void answerOwn(unsigned status, std::string_view reason, std::optional<Duration> retryAfter);
    void finish(unsigned status, std::string_view reason, const std::string& instance);
    void callerLeft();
    void cancelAttempts(grants::Outcome);
    void deadlineReached();
    void onTimer();
    void planTimer();
    std::string requestBytes(const std::string& instance);
    std::vector<std::string> warmInstances() const;
    unsigned chooseGroup(std::span<const std::string> warm, unsigned count) const;

    Entry& entry;
    EntryContext& context;
    std::shared_ptr<CallerConnection> caller;
    // Keeps the route alive.
    std::shared_ptr<const ConfigurationInForce> configuration;
    const Route& route;
    std::string service;
    std::string requestId;
    TimePoint began;
    TimePoint deadline;
    std::uint64_t workload { 0 };
    Timer timer;
    std::optional<Question> asked;
    std::vector<Attempt> attempts;
    std::vector<std::string> tried;
    // Groups that had no room.
    std::vector<std::string> refusedGroups;
    // A whole answer that tells of a failure, kept while another target is tried.
    std::optional<HttpMessage> failure;
    std::optional<TimePoint> hedgeAt;
    unsigned sentCount { 0 };
    bool mayHaveRun { false };
    bool done { false };
    Duration lastRetryAfter { std::chrono::milliseconds(500) };
    std::string lastReason { "no-target" };
};

}
