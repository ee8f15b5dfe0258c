#include "EdgeBalancer.h"
#include "EdgeSettings.h"
#include "EdgeTiming.h"

#include <platform/ObjectApiReader.h>
#include <platform/PacketCodec.h>
#include <platform/TokenPacketFormat.h>

#include <anvilwalk/discovery.h>
#include <anvilwalk/eventlog.h>

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <unistd.h>

namespace {

using namespace anvilwalk;

enum ExitCode : int {
    Ok = 0,
    Failure = 1,
    // Invalid arguments or settings.
    Usage = 2,
};

int run(const EdgeSettings& settings, const std::string& settingsPath)
{
    const SystemClock clock;
    LineWriter writer(STDOUT_FILENO);
    EventLogOptions logOptions;
    logOptions.balancer = settings.balancer.value();
    EventLog log(logOptions, writer, clock);
    boost::asio::io_context context(1);
    platform::StoreEraTracker storeEra;
    platform::ObjectApiReader targets({ .store = settings.storeAddress,
                                          .kind = platform::targetsKind,
                                          .decode = &platform::decodeTargetObject,
                                          .callTimeout = storeCallTimeout },
        context, storeEra);
    platform::ObjectApiReader routes({ .store = settings.storeAddress,
                                         .kind = platform::routesKind,
                                         .decode = &platform::decodeRoutesObject,
                                         .callTimeout = storeCallTimeout },
        context, storeEra);
    platform::ObjectApiReader evacuations({ .store = settings.storeAddress,
                                              .kind = platform::evacuationsKind,
                                              .decode = &platform::decodeEvacuationObject,
                                              .callTimeout = storeCallTimeout },
        context, storeEra);
    HttpPeerReader peers(HttpPeerReaderOptions {}, context);
    const auto peerList = [settingsPath, known = settings.peers]() mutable {
        // The file may change without a SIGHUP. Errors in it are logged at the next reload.
        const auto reloaded = loadEdgeSettings(settingsPath);
        if (const auto* current = std::get_if<EdgeSettings>(&reloaded))
            known = current->peers;
        return known;
    };
    const platform::TokenPacketFormat packets;
    EdgeBalancer balancer(settings, context,
        { .packets = packets,
            .targets = targets,
            .routes = routes,
            .evacuations = evacuations,
            .peers = peers,
            .peerList = peerList,
            .readyPath = platform::readyPath },
        log, writer, clock);
    balancer.onReload([&] {
        const auto reloaded = loadEdgeSettings(settingsPath);
        const bool valid = std::holds_alternative<EdgeSettings>(reloaded);
        log.write(EventKind::Process, valid ? "settings_read" : "settings_invalid",
            logField("findings", valid ? std::string() : std::get<Findings>(reloaded).toString()));
    });
    const Status started = balancer.start();
    if (!isOk(started)) {
        std::cerr << "anvilwalk-edge: " << errorOf(started).message << "\n";
        return Failure;
    }
    log.write(EventKind::Process, "started", logField("data_centre", std::string_view(settings.dataCentre.value())));
    context.run();
    return Ok;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "anvilwalk-edge", "Load balancer for flows whose packets carry the token of their target.");
    options.add_options()(
        "settings", "settings file (default: the file named by ANVILWALK_CONFIG)", cxxopts::value<std::string>())(
        "check", "check the settings and exit")("version", "print the version")("help", "print this help");
    std::string path;
    bool checkOnly = false;
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") != 0) {
            std::cout << options.help();
            return Ok;
        }
        if (arguments.count("version") != 0) {
            std::cout << "anvilwalk-edge " << ANVILWALK_VERSION << "\n";
            return Ok;
        }
        checkOnly = arguments.count("check") != 0;
        if (arguments.count("settings") != 0)
            path = arguments["settings"].as<std::string>();
        else if (const char* variable = std::getenv("ANVILWALK_CONFIG"))
            path = variable;
    } catch (const cxxopts::exceptions::exception& error) {
        std::cerr << "anvilwalk-edge: " << error.what() << "\n";
        return Usage;
    }
    if (path.empty()) {
        std::cerr << "anvilwalk-edge: no settings file; use --settings FILE or set ANVILWALK_CONFIG\n";
        return Usage;
    }
    const auto settings = loadEdgeSettings(path);
    if (const auto* findings = std::get_if<Findings>(&settings)) {
        std::cerr << findings->toString();
        return Usage;
    }
    if (checkOnly)
        return Ok;
    return run(std::get<EdgeSettings>(settings), path);
}
