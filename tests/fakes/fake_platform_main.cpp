#include "fakes/platform_server.hpp"

#include <docopt/docopt.h>

#include <exception>
#include <iostream>

namespace {

constexpr auto usage = R"(Stand-in for the platform: object store and VM list.

Usage: fake_platform --listen=ADDRESS
)";

} // namespace

int main(int argc, char** argv)
{
    try {
        arbutuscrank::fakes::blockStopSignals();
        const auto args = docopt::docopt(usage, { argv + 1, argv + argc });
        const arbutuscrank::fakes::PlatformServer server(args.at("--listen").asString(), 200);
        arbutuscrank::fakes::waitForStopSignal();
    } catch (const std::exception& ec) {
        std::cerr << "fake_platform: " << ec.what() << '\n';
        return 1;
    }
    return 0;
}
