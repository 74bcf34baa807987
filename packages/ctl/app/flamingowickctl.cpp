#include "flamingowick/ctl/Adapters.h"
#include "flamingowick/ctl/Apply.h"
#include "flamingowick/ctl/Commands.h"
#include "flamingowick/ctl/RequestStory.h"
#include "flamingowick/model/Error.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <span>
#include <sstream>
#include <thread>

// The operators' tool.

DEFINE_string(platform, "", "Base address of the platform's object API, as http://ip:port.");
DEFINE_string(daemons, "", "Administration addresses of daemons, as ip:port,ip:port.");
DEFINE_string(daemon, "", "Administration address of one daemon; as --daemons.");
DEFINE_string(token, "", "Bearer token of the administration API; FLAMINGOWICK_TOKEN when absent.");
DEFINE_string(by, "", "Who makes the change; the user's name when absent.");
DEFINE_string(base, "", "File with the text that the change began from.");
DEFINE_string(expect_version, "", "The platform's version that the change began from.");
DEFINE_string(log, "", "Log files of daemons, as FILE,FILE; standard input when absent.");
DEFINE_string(output, "text", "text or json.");
DEFINE_double(wait_seconds, 6, "How long apply settles a lost answer, and how long it waits for the verdict; 0 to 3600.");

namespace {

using namespace flamingowick;

constexpr std::string_view usage = R"(flamingowickctl COMMAND [ARGUMENTS] [FLAGS]
  validate FILE            check a document
  diff FILE                compare it with the platform's, in three ways with --base FILE
  apply FILE               write it on condition, and wait for the fleet's verdict
  get SERVICE              show a document
  history SERVICE          show its audit trail
  status                   show daemons and services
  explain SERVICE TARGET   show why a target is treated as it is
  explain REQUEST-ID       tell a request's course from daemons' logs, --log FILES or standard input
Flags:
  --platform URL           base address of the platform's object API, as http://ip:port
  --daemons ADDRESSES      administration addresses of daemons, as ip:port,ip:port
  --daemon ADDRESS         one more of them
  --token TOKEN            bearer token of the daemons; FLAMINGOWICK_TOKEN when absent
  --by NAME                who makes the change; the user's name when absent
  --base FILE              the text that the change began from
  --expect-version VERSION the platform's version that the change began from
  --wait-seconds SECONDS   for settling a lost answer, and again for the verdict; 6 when absent
  --log FILES              log files of daemons, as FILE,FILE
  --output text|json
get, history and status ask the platform, or daemons when they are given; explain asks daemons.
Exit codes: 0 ok, 1 failure, 2 bad usage or bad document, 3 conflict, 4 outcome unknown, 5 unreachable.
)";

constexpr double maxWaitSeconds = 3600;

// A command line that can't be carried out.
struct UsageError {
    std::string message;
};

std::string readFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream content;
    if (!file || !(content << file.rdbuf()))
        throw UsageError { "can't read file '" + path + "'" };
    return content.str();
}

std::optional<std::string> readBase()
{
    return FLAGS_base.empty() ? std::nullopt : std::optional(readFile(FLAGS_base));
}

std::string environment(const char* name)
{
    const char* value = std::getenv(name);
    return value == nullptr ? std::string() : std::string(value);
}

std::vector<std::string> daemonAddresses()
{
    std::vector<std::string> addresses;
    std::stringstream list(FLAGS_daemons + "," + FLAGS_daemon);
    for (std::string address; std::getline(list, address, ',');) {
        if (!address.empty())
            addresses.push_back(address);
    }
    return addresses;
}

ctl::Ports makePorts()
{
    const std::string token = FLAGS_token.empty() ? environment("FLAMINGOWICK_TOKEN") : FLAGS_token;
    ctl::Ports ports;
    ports.callPlatform = ctl::connectPlatform(FLAGS_platform);
    ports.getFromDaemon = [token](std::string_view address, std::string_view path) { return ctl::getFromDaemon(address, path, token); };
    ports.pause = [](Duration duration) { std::this_thread::sleep_for(duration); };
    return ports;
}

std::string makeChangeId()
{
    std::random_device random;
    std::ostringstream id;
    id << "ctl-" << wallClockMilliseconds() << "-" << std::hex << random() << random();
    return id.str();
}

ctl::ApplyRequest makeApplyRequest(const std::string& fileName)
{
    ctl::ApplyRequest request;
    request.fileName = fileName;
    request.text = readFile(fileName);
    if (!FLAGS_expect_version.empty())
        request.expectedVersion = FLAGS_expect_version;
    request.baseText = readBase();
    request.by = FLAGS_by.empty() ? environment("USER") : FLAGS_by;
    if (request.by.empty())
        throw UsageError { "say with --by who makes the change" };
    request.changeId = makeChangeId();
    if (!(FLAGS_wait_seconds >= 0 && FLAGS_wait_seconds <= maxWaitSeconds))
        throw UsageError { "--wait-seconds must be from 0 to 3600" };
    request.wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(FLAGS_wait_seconds));
    return request;
}

void requirePlatform(const std::vector<std::string>& daemons)
{
    if (FLAGS_platform.empty() && daemons.empty())
        throw UsageError { "give --platform or --daemons" };
}

ctl::Report tellStory(const std::string& requestId)
{
    std::vector<std::ifstream> files;
    std::stringstream list(FLAGS_log);
    for (std::string path; std::getline(list, path, ',');) {
        files.emplace_back(path);
        if (!files.back())
            throw UsageError { "can't read file '" + path + "'" };
    }
    std::vector<std::istream*> logs;
    logs.reserve(files.size() + 1);
    for (std::ifstream& file : files)
        logs.push_back(&file);
    if (logs.empty())
        logs.push_back(&std::cin);
    return ctl::tellStory(logs, requestId);
}

ctl::Report runWithFile(const ctl::Ports& ports, std::string_view command, const std::string& file)
{
    if (command == "validate")
        return ctl::validate(readFile(file), file);
    requirePlatform({});
    if (command == "diff")
        return ctl::diff(ports, readFile(file), file, readBase());
    return ctl::apply(ports, makeApplyRequest(file));
}

ctl::Report runCommand(std::span<const std::string> words)
{
    if (words.empty())
        throw UsageError { "no command" };
    const std::string_view command = words[0];
    const ctl::Ports ports = makePorts();
    const std::vector<std::string> daemons = daemonAddresses();
    const std::size_t arguments = words.size() - 1;
    if ((command == "validate" || command == "diff" || command == "apply") && arguments == 1)
        return runWithFile(ports, command, words[1]);
    if (command == "explain" && arguments == 1)
        return tellStory(words[1]);
    if (command == "explain" && arguments == 2)
        return ctl::explain(ports, words[1], words[2], daemons);
    requirePlatform(daemons);
    if (command == "get" && arguments == 1)
        return ctl::get(ports, words[1], daemons);
    if (command == "history" && arguments == 1)
        return ctl::history(ports, words[1], daemons);
    if (command == "status" && arguments == 0)
        return ctl::status(ports, daemons);
    throw UsageError { "unknown command, or a wrong number of arguments" };
}

int show(const ctl::Report& report)
{
    const bool isFailure = std::holds_alternative<ctl::FailureReport>(report);
    if (FLAGS_output == "json")
        std::cout << ctl::renderJson(report);
    else
        (isFailure ? std::cerr : std::cout) << ctl::renderText(report) << std::flush;
    if (const auto* document = std::get_if<ctl::GetReport>(&report); document != nullptr && FLAGS_output == "text")
        std::cerr << ctl::renderNote(*document);
    return static_cast<int>(ctl::exitCodeOf(report));
}

// Sets a flag. gflags would end the process with a code of its own on a wrong one.
void setFlag(std::string name, const std::string& value)
{
    std::ranges::replace(name, '-', '_');
    gflags::CommandLineFlagInfo info;
    const bool isOurs = gflags::GetCommandLineFlagInfo(name.c_str(), &info) && info.filename.ends_with("flamingowickctl.cpp");
    if (!isOurs || gflags::SetCommandLineOption(name.c_str(), value.c_str()).empty())
        throw UsageError { "unknown flag --" + name + ", or a value that doesn't fit" };
}

// Sets the flags, all of which take a value, and returns the other words.
std::vector<std::string> parseArguments(std::span<char*> arguments)
{
    std::vector<std::string> words;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        const std::string argument = arguments[index];
        if (!argument.starts_with("-")) {
            words.push_back(argument);
            continue;
        }
        std::string name = argument.substr(argument.starts_with("--") ? 2 : 1);
        if (const auto equals = name.find('='); equals != std::string::npos)
            setFlag(name.substr(0, equals), name.substr(equals + 1));
        else if (++index < arguments.size())
            setFlag(name, arguments[index]);
        else
            throw UsageError { "flag --" + name + " has no value" };
    }
    return words;
}

int run(std::span<char*> arguments)
{
    if (std::ranges::any_of(arguments, [](std::string_view word) { return word == "--help" || word == "-h"; })) {
        std::cout << usage;
        return 0;
    }
    try {
        const std::vector<std::string> words = parseArguments(arguments);
        if (FLAGS_output != "text" && FLAGS_output != "json")
            throw UsageError { "--output must be text or json" };
        return show(runCommand(words));
    } catch (const UsageError& error) {
        std::cerr << "flamingowickctl: " << error.message << "\n"
                  << usage;
        return static_cast<int>(ctl::ExitCode::BadInput);
    } catch (const PlatformError& error) {
        return show(ctl::FailureReport { ctl::ExitCode::BadInput, error.what() });
    } catch (const std::exception& error) {
        return show(ctl::FailureReport { ctl::ExitCode::Failure, error.what() });
    }
}

}

int main(int argc, char** argv)
{
    return run(std::span(argv, static_cast<std::size_t>(argc)).subspan(1));
}
