#include "Commands.h"

#include <anvilwalk/toml.h>
#include <anvilwalk/version.h>

#include <cstdlib>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <optional>

using namespace anvilwalk;

namespace {

constexpr const char* helpText = R"(anvilwalk controls the anvilwalk load balancer.

Usage:
  anvilwalk validate DIR...   check service files without changing anything
  anvilwalk publish DIR...    put the services that the files describe in force
  anvilwalk status            show which version is in force where, and what is missing
  anvilwalk report            show flows, refusals, drops and imbalance of every service
  anvilwalk explain ID FILE.. print the log events of a request or flow from anvilwalk-edge logs, in order of time
  anvilwalk where             show where a balancer would send a new connection now, and why; sends nothing to it

DIR is a service file or a directory that is searched for files named anvilwalk.toml or NAME.anvilwalk.toml.
Run anvilwalk COMMAND --help for the options of a command.

A first publish:
  anvilwalk validate services/
  anvilwalk publish services/ --platform http://10.0.0.5:8001 --dry-run
  anvilwalk publish services/ --platform http://10.0.0.5:8001 --wait

Exit codes:
  0  success
  1  the files have errors, or the publish would violate a rule; nothing was put in force
  2  invalid arguments
  3  another publish modified the same services first; nothing was put in force
  4  the platform did not accept the change; nothing was put in force, and the publish cannot take effect later
  5  it is not known whether the change is in force
  6  the change was in force and has been replaced by another publish
  7  accepted, but not reported in force by every balancer before the timeout (--wait)
  8  the output has missing or outdated parts (status, report); nothing found (explain); the
     connection would be refused (where)
  9  the platform could not be read (status, report); the balancer could not be asked (where)
)";

using Command = std::function<ExitCode(const CommandOptions&)>;

struct CommandEntry {
    const char* description;
    bool takesPaths;
    bool takesPlatform;
    Command run;
};

const std::map<std::string, CommandEntry>& commands()
{
    static const std::map<std::string, CommandEntry> entries {
        { "validate", { "Checks service files and lists all errors with their location.", true, false, runValidate } },
        { "publish", { "Puts the services that the files describe in force.", true, true, runPublish } },
        { "status", { "Shows which version is in force where, and what is missing.", false, true, runStatus } },
        { "report", { "Shows the figures of every service (docs/report.md).", false, true, runReport } },
        { "explain", { "Prints the log events of a request or flow, in order of time.", true, false, runExplain } },
        { "where", { "Shows where a balancer would send a new connection now, and why.", false, false, runWhere } },
    };
    return entries;
}

// Returns the value of the option, else that of the environment variable, else an empty string.
std::string optionOrEnvironment(const cxxopts::ParseResult& result, const char* option, const char* variable)
{
    if (result.count(option) > 0)
        return result[option].as<std::string>();
    const char* value = std::getenv(variable);
    return value == nullptr ? "" : value;
}

cxxopts::Options makeOptions(const std::string& name, const CommandEntry& entry)
{
    cxxopts::Options options("anvilwalk " + name, entry.description);
    auto add = options.add_options();
    add("help", "show this help");
    if (entry.takesPaths) {
        const bool isExplain = name == "explain";
        add("paths", isExplain ? "an id, then log files (- for standard input)" : "service files or directories",
            cxxopts::value<std::vector<std::string>>());
        options.parse_positional("paths");
        options.positional_help(isExplain ? "ID FILE..." : "DIR...");
    }
    if (entry.takesPlatform)
        add("platform", "URL of the platform's object API, http://ADDRESS:PORT (default: $ANVILWALK_PLATFORM)",
            cxxopts::value<std::string>());
    if (name == "publish" || name == "where")
        add("json", "print the result as JSON");
    if (name == "where") {
        add("balancer", "metrics address of an anvilwalk-edge, ADDRESS:PORT", cxxopts::value<std::string>());
        add("client", "source of the connection, ADDRESS:PORT", cxxopts::value<std::string>());
        add("service", "address that the client connects to, ADDRESS:PORT", cxxopts::value<std::string>());
    }
    if (name == "publish") {
        add("dry-run", "show what would change and write nothing");
        add("wait", "wait until the version is in force on every balancer");
        add("operator", "name that the publish is recorded under (default: $USER)", cxxopts::value<std::string>());
        add("timeout", "time after which the command gives up, for example 30s",
            cxxopts::value<std::string>()->default_value("30s"));
    }
    if (name == "report")
        add("over",
            "count new flows, refused, dropped and relayed packets over this time, for example 10s, instead "
            "of since the start of the balancers",
            cxxopts::value<std::string>()->default_value("0s"));
    return options;
}

// Parses a duration option. Prints an error and returns nothing if it is invalid or longer than 24 h.
std::optional<std::chrono::milliseconds> readDuration(const cxxopts::ParseResult& result, const std::string& name)
{
    const auto text = result[name].as<std::string>();
    const auto duration = parseDuration(text);
    if (!duration || *duration > std::chrono::hours(24)) {
        std::cerr << "--" << name << " " << text << " is not a duration of at most 24h, for example 30s.\n";
        return std::nullopt;
    }
    return duration;
}

std::optional<CommandOptions> readOptions(
    const std::string& name, const CommandEntry& entry, const cxxopts::ParseResult& result)
{
    CommandOptions options;
    if (entry.takesPaths) {
        if (result.count("paths") == 0) {
            std::cerr << (name == "explain"
                    ? "An id and at least one log file are required: anvilwalk explain ID FILE...\n"
                    : "At least one service file or directory is required: anvilwalk " + name + " DIR...\n");
            return std::nullopt;
        }
        options.paths = result["paths"].as<std::vector<std::string>>();
    }
    if (entry.takesPlatform) {
        options.platformUrl = optionOrEnvironment(result, "platform", "ANVILWALK_PLATFORM");
        if (options.platformUrl.empty()) {
            std::cerr << "A platform URL is required: use --platform http://ADDRESS:PORT or set ANVILWALK_PLATFORM.\n";
            return std::nullopt;
        }
    }
    if (name == "publish") {
        options.dryRun = result.count("dry-run") > 0;
        options.wait = result.count("wait") > 0;
        options.json = result.count("json") > 0;
        options.operatorName = optionOrEnvironment(result, "operator", "USER");
        const auto timeout = readDuration(result, "timeout");
        if (!timeout)
            return std::nullopt;
        options.timeout = *timeout;
        if (options.operatorName.empty()) {
            std::cerr << "An operator name is required to record who published: use --operator NAME or set USER.\n";
            return std::nullopt;
        }
    }
    if (name == "where") {
        const auto text = [&](const char* option) {
            return result.count(option) > 0 ? result[option].as<std::string>() : std::string();
        };
        options.balancer = text("balancer");
        options.client = text("client");
        options.service = text("service");
        options.json = result.count("json") > 0;
    }
    if (name == "report") {
        const auto interval = readDuration(result, "over");
        if (!interval)
            return std::nullopt;
        options.interval = *interval;
    }
    return options;
}

ExitCode runCommand(const std::string& name, const CommandEntry& entry, int argc, char** argv)
{
    cxxopts::Options options = makeOptions(name, entry);
    const cxxopts::ParseResult result = options.parse(argc, argv);
    if (result.count("help") > 0) {
        std::cout << options.help();
        return ExitCode::Success;
    }
    if (!result.unmatched().empty()) {
        std::cerr << "Unexpected argument " << result.unmatched().front() << ".\n";
        return ExitCode::Usage;
    }
    const auto commandOptions = readOptions(name, entry, result);
    return commandOptions ? entry.run(*commandOptions) : ExitCode::Usage;
}

} // namespace

int main(int argc, char* argv[])
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name == "--help" || name == "help") {
        std::cout << helpText;
        return toInt(ExitCode::Success);
    }
    if (name == "--version") {
        std::cout << "anvilwalk " << ANVILWALK_VERSION << "\n";
        return toInt(ExitCode::Success);
    }
    const auto found = commands().find(name);
    if (found == commands().end()) {
        std::cerr << (name.empty() ? std::string() : "Unknown command " + name + ".\n\n") << helpText;
        return toInt(ExitCode::Usage);
    }
    try {
        return toInt(runCommand(name, found->second, argc - 1, argv + 1));
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << error.what() << "\nRun anvilwalk " << name << " --help for the options.\n";
        return toInt(ExitCode::Usage);
    }
}
