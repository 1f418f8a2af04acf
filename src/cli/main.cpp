#include "cli/command_line.hpp"

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char** argv)
{
    try {
        const std::vector<std::string> arguments(argv + 1, argv + argc);
        return static_cast<int>(arbutuscrank::runCommand(arguments, std::cout, std::cerr));
    } catch (const std::exception& ex) {
        std::cerr << "arbutuscrank: " << ex.what() << '\n';
        return static_cast<int>(arbutuscrank::ExitCode::Unreachable);
    }
}
