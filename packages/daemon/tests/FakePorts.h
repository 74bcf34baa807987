#pragma once

#include "flamingowick/daemon/Core.h"
#include "flamingowick/model/Error.h"

#include <deque>
#include <string>
#include <vector>

// Records what a core asks of the outside.
namespace flamingowick::daemon {

struct SentMessage {
    std::string address;
    Incarnation toIncarnation { 0 };
    peers::Message message;
};

struct SentResponse {
    gateway::ExchangeToken token { 0 };
    gateway::HttpResponse response;
};

struct FakePorts {
    std::vector<SentMessage> sent;
    std::vector<gateway::AttemptRequest> attempts;
    std::vector<std::uint64_t> cancelled;
    std::vector<SentResponse> responses;
    std::vector<platform::Call> calls;
    bool acceptingStopped { false };
    bool finished { false };

    Ports make()
    {
        Ports ports;
        ports.sendPeer = [this](std::string_view address, Incarnation incarnation, peers::Message message) {
            this->sent.push_back({ std::string(address), incarnation, std::move(message) });
            return true;
        };
        ports.connectPeer = [](std::string_view) {};
        ports.disconnectPeer = [](std::string_view) {};
        ports.startAttempt = [this](gateway::AttemptRequest request) {
            this->attempts.push_back(std::move(request));
            return true;
        };
        ports.cancelAttempt = [this](std::uint64_t attempt) { this->cancelled.push_back(attempt); };
        ports.respondCaller = [this](gateway::ExchangeToken token, gateway::HttpResponse response) { this->responses.push_back({ token, std::move(response) }); };
        ports.respondAdmin = ports.respondCaller;
        ports.callPlatform = [this](platform::Call call) {
            this->calls.push_back(std::move(call));
            return true;
        };
        ports.stopAccepting = [this] { this->acceptingStopped = true; };
        ports.finished = [this] { this->finished = true; };
        return ports;
    }

    // Returns the last message of one kind, or nullptr.
    template <typename Kind>
    const SentMessage* last() const
    {
        for (auto message = this->sent.rbegin(); message != this->sent.rend(); ++message) {
            if (std::holds_alternative<Kind>(message->message))
                return &*message;
        }
        return nullptr;
    }
};

// Returns the value of a response's header, "" when absent.
inline std::string headerOf(const gateway::HttpResponse& response, std::string_view name)
{
    const std::string* value = gateway::findHeader(response.headers, name);
    return value == nullptr ? std::string() : *value;
}

}
