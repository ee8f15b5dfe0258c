#pragma once

#include "SoakNetwork.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace anvilwalk::soak {

struct BalancerProcessOptions {
    std::string program;
    // Folder for the settings file and the log.
    std::string folder;
    std::size_t number = 0;
    std::string dataCentre;
    SoakNetwork network;
    // Balancers that are named as peers in the settings.
    std::vector<std::size_t> seeds;
};

// One balancer as a process of its own, run after run. Ends only processes that it started.
class BalancerProcess {
public:
    explicit BalancerProcess(BalancerProcessOptions);
    // Kills the process.
    ~BalancerProcess();
    BalancerProcess(const BalancerProcess&) = delete;
    BalancerProcess& operator=(const BalancerProcess&) = delete;

    std::string name() const;
    bool isRunning() const { return m_pid > 0; }
    // It was asked to end and has not yet.
    bool isEnding() const { return m_endExpected; }
    // Throws if the program cannot be started.
    void start();
    void terminate();
    void kill();
    // Kills the process as if it had ended by itself.
    void killUnannounced();
    void pause();
    void resume();
    // Writes the settings anew with other seeds, and tells the process.
    void reload(std::vector<std::size_t> seeds);

    struct End {
        // The end was asked for.
        bool expected = false;
        std::string how;
    };
    // The end of the process, once, if it has ended since the last call.
    std::optional<End> takeEnd();

private:
    void sendExpectingEnd(int signal);
    void writeSettings() const;

    BalancerProcessOptions m_options;
    pid_t m_pid = 0;
    bool m_endExpected = false;
};

} // namespace anvilwalk::soak
