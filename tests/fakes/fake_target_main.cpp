#include "fakes/target_server.hpp"

#include <docopt/docopt.h>

#include <exception>
#include <iostream>

namespace {

constexpr auto usage = R"(Stand-in for a target.

Usage: fake_target --listen=ADDRESS --name=NAME
)";

} // namespace

int main(int argc, char** argv)
{
    try {
        arbutuscrank::fakes::blockStopSignals();
        const auto args = docopt::docopt(usage, { argv + 1, argv + argc });
        const arbutuscrank::fakes::TargetServer server(
            args.at("--listen").asString(), args.at("--name").asString(), 64);
        arbutuscrank::fakes::waitForStopSignal();
    } catch (const std::exception& ec) {
        std::cerr << "fake_target: " << ec.what() << '\n';
        return 1;
    }
    return 0;
}
