#include "BalancerProcess.h"

#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace anvilwalk::soak {

namespace {

    constexpr mode_t logMode = 0644;
    // Exit status of a child that could not become the program.
    constexpr int cannotRun = 127;

    std::string describe(int status)
    {
        if (WIFEXITED(status))
            return fmt::format("status {}", WEXITSTATUS(status));
        return fmt::format("signal {}", WTERMSIG(status));
    }

} // namespace

BalancerProcess::BalancerProcess(BalancerProcessOptions options)
    : m_options(std::move(options))
{
}

BalancerProcess::~BalancerProcess()
{
    if (m_pid <= 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

std::string BalancerProcess::name() const { return fmt::format("balancer-{}", m_options.number + 1); }

void BalancerProcess::writeSettings() const
{
    const SoakNetwork& network = m_options.network;
    std::string seeds;
    for (const std::size_t seed : m_options.seeds)
        seeds += fmt::format("{}\"{}\"", seeds.empty() ? "" : ", ", network.peers(seed).toString());
    std::ofstream file(fmt::format("{}/{}.toml", m_options.folder, name()), std::ios::trunc);
    file << fmt::format(
        "[balancer]\nid = \"{}\"\ndata_centre = \"{}\"\n"
        "[listen]\npackets = \"{}\"\nready = \"{}\"\nmetrics = \"{}\"\npeers = \"{}\"\nheartbeats = \"{}\"\n"
        "[peers]\nseeds = [{}]\n[store]\naddress = \"{}\"\n[limits]\nmemory_mb = 64\n"
        "[bounds]\nconfig_in_force_ms = 3000\ndrain_in_force_ms = 3000\ncalm_window_ms = 4000\nstop_seconds = 6\n",
        name(), m_options.dataCentre, network.packets(m_options.number).toString(),
        network.ready(m_options.number).toString(), network.metrics(m_options.number).toString(),
        network.peers(m_options.number).toString(), network.heartbeats(m_options.number).toString(), seeds,
        network.storeProxy(m_options.number).toString());
    if (!file.flush())
        throw std::runtime_error("cannot write the settings of " + name() + " in " + m_options.folder);
}

void BalancerProcess::start()
{
    writeSettings();
    const std::string settings = fmt::format("{}/{}.toml", m_options.folder, name());
    const std::string log = fmt::format("{}/{}.log", m_options.folder, name());
    const pid_t parent = ::getpid();
    m_pid = ::fork();
    if (m_pid < 0)
        throw std::runtime_error("cannot start " + name());
    if (m_pid == 0) {
        // No balancer outlives the soak, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent)
            ::_exit(cannotRun);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, logMode);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        // The sockets of the stand-ins stay with the soak.
        ::close_range(STDERR_FILENO + 1, ~0U, 0);
        ::execl(m_options.program.c_str(), m_options.program.c_str(), "--settings", settings.c_str(), nullptr);
        ::_exit(cannotRun);
    }
    m_endExpected = false;
}

void BalancerProcess::terminate() { sendExpectingEnd(SIGTERM); }

void BalancerProcess::kill() { sendExpectingEnd(SIGKILL); }

void BalancerProcess::sendExpectingEnd(int signal)
{
    if (!isRunning())
        return;
    m_endExpected = true;
    ::kill(m_pid, signal);
}

void BalancerProcess::killUnannounced()
{
    if (isRunning())
        ::kill(m_pid, SIGKILL);
}

void BalancerProcess::pause()
{
    if (isRunning())
        ::kill(m_pid, SIGSTOP);
}

void BalancerProcess::resume()
{
    if (isRunning())
        ::kill(m_pid, SIGCONT);
}

void BalancerProcess::reload(std::vector<std::size_t> seeds)
{
    m_options.seeds = std::move(seeds);
    writeSettings();
    if (isRunning())
        ::kill(m_pid, SIGHUP);
}

std::optional<BalancerProcess::End> BalancerProcess::takeEnd()
{
    int status = 0;
    if (!isRunning() || ::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return std::nullopt;
    m_pid = 0;
    return End { .expected = m_endExpected, .how = describe(status) };
}

} // namespace anvilwalk::soak
