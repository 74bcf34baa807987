#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

// The exception family. Each failure has a stable number, listed in docs/ERRORS.md.
namespace flamingowick {

// The base of all exceptions that the project throws. what() reads "[flamingowick.<part>.<number>]
// <message>".
class Error : public std::runtime_error {
public:
    Error(std::string_view part, int number, std::string_view message);

    // Returns the stable number of the failure.
    int number() const noexcept { return this->id; }

private:
    int id;
};

// Settings or documents that can't be used. Numbers 100 to 199.
class SettingsError : public Error {
public:
    SettingsError(int number, std::string_view message)
        : Error("settings", number, message)
    {
    }
};

// The platform's object API failed or refused. Numbers 200 to 299.
class PlatformError : public Error {
public:
    PlatformError(int number, std::string_view message)
        : Error("platform", number, message)
    {
    }
};

// A message between daemons could not be sent or understood. Numbers 300 to 399.
class PeerError : public Error {
public:
    PeerError(int number, std::string_view message)
        : Error("peers", number, message)
    {
    }
};

// An HTTP endpoint could not be opened or used. Numbers 400 to 499.
class GatewayError : public Error {
public:
    GatewayError(int number, std::string_view message)
        : Error("gateway", number, message)
    {
    }
};

// A promise of the system was found broken in memory. Numbers 900 to 999. The process logs it and
// stops: it must not go on.
class InvariantViolation : public Error {
public:
    InvariantViolation(int number, std::string_view message)
        : Error("invariant", number, message)
    {
    }
};

}
