#pragma once

#include "flamingowick/proxy/Entry.h"

#include "flamingowick/organisations/Allotment.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

// Tracks one caller's request from its arrival to the response.
namespace flamingowick::proxy {

// Requests a grant from a dispatcher, sends the attempt, retries or hedges it, and responds to the caller.
class ActiveRequest : public std::enable_shared_from_this<ActiveRequest> {
public:
    ActiveRequest(Entry&, std::shared_ptr<CallerExchange>, std::shared_ptr<const AppliedConfiguration>, const Route&, std::string service, const organisations::Organisation*);

    // Starts to process the request. The object removes itself from the entry once it has responded or the
    // caller has disconnected.
    void start();

    // As Entry::handleConfigurationChange().
    void handleConfigurationChange();

    // Goes on with the request if a token of its organisation's allotment was spent for it, and responds 429 otherwise.
    void handleAllotmentDecision(const AllotmentDecision&);

    // Handles the reply to the pending grant request; ignores replies to earlier ones.
    void handleGrantReply(const std::string& dispatcher, const GrantReplyMessage&);

    // Responds if no attempt is in flight and none may begin before the daemon ends: with the failure of the last one, or that the
    // request has not run.
    void endWait();

    // As Entry::breakOff().
    void breakOff();

    // Appends the attempts that are in flight in the group, or in all groups when the group is empty.
    void appendRunningAttempts(std::string_view group, std::vector<RunningAttemptMessage>&) const;

private:
    // A grant request that has not been granted or refused yet.
    struct PendingGrantRequest {
        std::uint64_t number { 0 };
        std::string group;
        // Targets of the group to which this daemon has an idle connection.
        std::vector<std::string> idleConnectionInstances;
        // In order of preference.
        std::vector<std::string> dispatchers;
        std::size_t dispatcherIndex { 0 };
        // How often the current dispatcher was sent the request without a reply.
        unsigned sendCount { 0 };
        bool isRetry { false };
        // Another attempt was in flight when the grant request was last sent, so that no dispatcher queued it.
        bool isHedge { false };
        // The dispatcher has the request in its queue.
        bool queued { false };
        // When the request is sent again, or goes to the next dispatcher.
        TimePoint dueAt;
        TimePoint requestedAt;
    };
    struct Attempt {
        std::uint64_t number { 0 };
        std::string instance;
        std::string address;
        std::string group;
        std::string dispatcher;
        // Start of the target's incarnation, as TargetEntry::startedAt.
        std::int64_t targetStartedAt { 0 };
        // Identifies the attempt to TargetConnections::cancel().
        std::uint64_t connectionAttempt { 0 };
        TimePoint startedAt;
        // The dispatcher knows of a limit on the target's requests.
        bool limited { false };
    };

    // Whether the request has a token of its organisation's allotment.
    enum class TokenState : std::uint8_t {
        None,
        Waiting,
        Spent,
    };

    // Spends a token of the organisation's allotment, if it has a limit, and requests a grant once it has one.
    void takeToken();
    // Gives back the token of a request that has not run and won't, or stops waiting for one.
    void releaseToken();
    void setOrganisation(const organisations::Organisation*);
    // Returns the fields of a log line with the request and, if it has one, its organisation.
    telemetry::EventFields identityFields() const;
    unsigned targetGroupCount() const;
    // Chooses a group and requests a grant from its dispatcher.
    void requestGrant(bool isRetry);
    // Chooses a group and sets pendingGrant, but sends nothing.
    void prepareGrantRequest(bool isRetry);
    // Sends the pending grant request, moving on to the next dispatcher when the current one did not reply.
    void sendGrantRequest();
    // Sends it again when its reply is due.
    void repeatGrantRequest();
    // Sends the pending grant request to the local pool.
    void decideLocally();
    GrantRequestMessage makeGrantRequest();
    // Appends the group's targets that are held off or leaving, up to a limit; grants for further ones are declined. The
    // dispatcher may not know of either.
    void appendUnusableInstances(std::string_view group, std::vector<std::string>& instances) const;
    // Cancels the pending grant request, if any, at its dispatcher.
    void abandonGrantRequest();
    void handleGranted(const grants::Decision&, const std::string& dispatcher);
    // Whether the daemon, if it stops, gives an attempt that begins now enough time.
    bool mayBeginAttempt() const;
    // Responds with the failure of the last attempt, or that the request has not run since the daemon stops.
    void respondStopping();
    void handleRefused(const grants::Decision&, const std::string& dispatcher);
    bool hasUntriedTarget() const;
    // Responds if the request is refused because it crashes its targets. Returns whether it did.
    bool respondIfQuarantined();
    // Finds out whether a target that has ended an attempt's connection has crashed, and reports that. A target that has answered and
    // is alive has survived the request.
    void checkForCrash(const Attempt&, bool succeeded);
    // Keeps this daemon's requests from a target that has rejected one and named a time.
    void recordHoldOff(const Attempt&, const AttemptResult&);
    // Passes on what the response says of its target's limit on requests, if the target has or had one.
    void reportLimit(const Attempt&, const LimitStatement&);
    void sendAttempt(const grants::Decision&, const std::string& dispatcher);
    void handleAttemptEnd(std::uint64_t number, AttemptResult);
    // Reports the end to the local pool, to the dispatcher that granted the attempt and to the current one.
    void reportAttemptEnd(const Attempt&, grants::AttemptOutcome, Duration duration);
    // When a hedge may be requested at the earliest, whatever is known of the targets.
    TimePoint earliestHedge() const;
    // Whether a response is on its way whose second transfer would only slow it down.
    bool isReceivingLargeResponse() const;
    // Whether the route's limits, the time left and the outcomes so far allow another attempt.
    bool mayRetry() const;
    // After a failed attempt: retries if allowed, otherwise responds, unless other attempts are still pending.
    void retryOrRespond();
    // Responds with what is known of the failed attempts: the target's error, 502 if the request may have been
    // executed, otherwise 503.
    void respondWithFailure(Duration retryAfter);
    // Forwards a target's response, or responds 502 if its status would imply that the request was not executed.
    void forwardResponse(const HttpMessage& response);
    void respondWithError(unsigned status, std::string_view reason, std::optional<Duration> retryAfter);
    // Logs and counts the response, cancels what is still pending and removes this object from the entry.
    void complete(unsigned status, std::string_view reason, const std::string& instance);
    void handleCallerDisconnect();
    void cancelAttempts(grants::AttemptOutcome);
    void handleDeadline();
    void onTimer();
    void scheduleTimer();
    std::string serializeHeader(const std::string& instance);
    std::vector<std::string> instancesWithIdleConnection() const;
    unsigned chooseGroup(std::span<const std::string> idleInstances, unsigned count) const;

    Entry& entry;
    EntryContext& context;
    std::shared_ptr<CallerExchange> caller;
    // Owns the route, which must outlive a change of the configuration.
    std::shared_ptr<const AppliedConfiguration> configuration;
    const Route& route;
    std::string service;
    // Name of the caller's organisation; empty if the request has none.
    std::string organisation;
    unsigned priority { 0 };
    organisations::Allotment allotment;
    TokenState tokenState { TokenState::None };
    // Valid while a token is spent.
    TimePoint tokenSpentAt;
    // Number and organisation with which the token was asked for.
    std::uint64_t tokenNumber { 0 };
    std::string tokenOrganisation;
    // The configuration had organisations when the request arrived, or has since: targets must not get the key.
    bool hidesKey { false };
    // The key is gone while the request is at a target, or may have been executed: no further attempt is made.
    bool keyGone { false };
    std::string requestId;
    // Equal for all requests with this content, whatever their IDs.
    std::uint64_t fingerprint { 0 };
    TimePoint receivedAt;
    TimePoint deadline;
    // Hash of the route's name.
    std::uint64_t workload { 0 };
    Timer timer;
    std::optional<PendingGrantRequest> pendingGrant;
    std::vector<Attempt> attempts;
    // Instances that must not be chosen again: attempts were sent to them, or their grants were declined.
    std::vector<std::string> triedInstances;
    // Groups that refused this request.
    std::vector<std::string> refusedGroups;
    // Complete error response of a target, forwarded to the caller if no later attempt succeeds.
    std::optional<HttpMessage> failureResponse;
    // When the next hedge is requested, unless a grant request is pending at that time.
    std::optional<TimePoint> nextHedgeAt;
    // When a retry is requested again for which the budget had no token.
    std::optional<TimePoint> nextRetryAt;
    // Attempts sent, without those that reached no target.
    unsigned sentCount { 0 };
    // A grant request with this request's credit for the retry budget was sent, though it may have been lost.
    bool retryCreditSent { false };
    // A target may have executed the request, so that it is retried only if it is idempotent.
    bool mayHaveExecuted { false };
    bool completed { false };
    // Delay before another request, as the last refusal suggested; a default until there is one.
    Duration lastRetryAfter { std::chrono::milliseconds(500) };
    // Last refusal reason or attempt outcome, sent to the caller if no target may have executed the request.
    std::string lastFailureReason { "no-target" };
};

}
