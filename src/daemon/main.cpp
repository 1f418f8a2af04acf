#include "daemon/daemon.hpp"

#include <csignal>
#include <iostream>
#include <thread>

namespace {

using namespace arbutuscrank;

sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

/// Ends the process at the next stop signal, without waiting for the graceful shutdown.
void exitAtNextSignal(const Daemon& daemon)
{
    std::thread([&daemon] {
        const auto signals = stopSignals();
        int signal = 0;
        sigwait(&signals, &signal);
        daemon.log().write(LogEvent::StopForced, "cause=second-signal");
        std::_Exit(1);
    }).detach();
}

int run(const Settings& settings)
{
    const auto signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Daemon daemon(settings);
    if (const auto started = daemon.start(); !started) {
        std::cerr << "arbutuscrankd: " << describe(started.error()) << '\n';
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    exitAtNextSignal(daemon);
    daemon.requestGracefulStop();
    if (!daemon.waitForStop()) {
        daemon.log().write(LogEvent::StopForced, "cause=time-limit");
        std::_Exit(1);
    }
    daemon.shutdown();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        const auto settings = readSettings(arguments);
        if (!settings) {
            std::cerr << "arbutuscrankd: " << describe(settings.error()) << '\n';
            return 2;
        }
        if (const auto* help = std::get_if<HelpText>(&settings.value())) {
            std::cout << help->text;
            return 0;
        }
        return run(std::get<Settings>(settings.value()));
    } catch (const std::exception& ec) {
        std::cerr << "arbutuscrankd: " << ec.what() << '\n';
        return 1;
    }
}
