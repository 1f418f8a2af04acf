#include "daemon/settings.hpp"

#include <arbutuscrank/store/http_client.hpp>

#include <docopt/docopt.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <functional>
#include <map>

namespace arbutuscrank {

namespace {

    constexpr auto usage = R"(arbutuscrankd: traffic steering daemon of arbutuscrank.

Usage:
  arbutuscrankd [options]
  arbutuscrankd --help

Each option can also be set as an environment variable: ARBUTUSCRANK_ and the name in capitals, with '_' for '-'.
A flag on the command line takes precedence.

Options:
  --help                       Print this help and exit.
  --vm=NAME                    Name of this VM, unique in the fleet (required).
  --region=NAME                Region of this VM (required).
  --failure-domain=NAME        Failure domain of this VM (required).
  --listen=ADDRESS             ip:port to serve callers on (required).
  --admin-listen=ADDRESS       ip:port to serve operators on (required).
  --peer-listen=ADDRESS        ip:port for connections of other daemons (required).
  --platform=ADDRESS           ip:port of the platform's object API (required).
  --admin-key-digest=HEX       SHA-256 of the operators' key, 64 lower-case hex digits (required).
  --caller-threads=N           Largest number of concurrent connections of callers, 1 to 4096 [default: 256].
  --forward-threads=N          Largest number of concurrent forwarded requests, 1 to 1024 [default: 64].
  --max-body-bytes=N           Largest request body in bytes, 0 to 16777216 [default: 1048576].
  --stop-timeout-ms=N          Time limit of a graceful shutdown in milliseconds, 0 to 600000 [default: 30000].
  --log-level=LEVEL            Lowest level that is logged: debug, info, warn or error [default: info].
)";

    using Values = std::map<std::string, std::string>;

    std::string environmentName(std::string_view flag)
    {
        std::string name = "ARBUTUSCRANK_";
        for (const char c : flag.substr(2))
            name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        return name;
    }

    bool isFlagGiven(std::span<const std::string> arguments, const std::string& flag)
    {
        return std::any_of(arguments.begin(), arguments.end(),
            [&flag](const std::string& it) { return it == flag || it.starts_with(flag + "="); });
    }

    /// Merges the sources of settings: flags take precedence over environment variables, and those over defaults.
    Values mergeSources(std::span<const std::string> arguments, const std::map<std::string, docopt::value>& parsed)
    {
        Values values;
        for (const auto& [flag, value] : parsed) {
            if (flag == "--help")
                continue;
            values[flag] = value.isString() ? value.asString() : std::string();
            // NOLINTNEXTLINE(concurrency-mt-unsafe): runs before any thread starts
            const char* text = std::getenv(environmentName(flag).c_str());
            if (text != nullptr && !isFlagGiven(arguments, flag))
                values[flag] = text;
        }
        return values;
    }

    /// Converts values to settings and collects the faults of all values.
    class SettingsReader {
    public:
        explicit SettingsReader(const Values& values)
            : m_values(values)
        {
        }

        std::string readName(const std::string& flag)
        {
            const auto& value = m_values.at(flag);
            const bool isValid = !value.empty() && value.size() <= 64
                && std::all_of(value.begin(), value.end(),
                    [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
            if (!isValid)
                addFault(flag, "1 to 64 letters, digits, '-', '_' or '.'");
            return value;
        }

        std::string readAddress(const std::string& flag)
        {
            const auto& value = m_values.at(flag);
            if (!parseEndpoint(value))
                addFault(flag, "an IPv4 address and a port from 1 to 65535 as ip:port");
            return value;
        }

        std::string readDigest(const std::string& flag)
        {
            const auto& value = m_values.at(flag);
            const bool isValid = value.size() == 64 && value.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (!isValid)
                addFault(flag, "64 lower-case hex digits");
            return value;
        }

        std::uint32_t readNumber(const std::string& flag, std::uint32_t min, std::uint32_t max)
        {
            const auto& text = m_values.at(flag);
            std::uint32_t value = 0;
            const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
            if (ec != std::errc {} || end != text.data() + text.size() || value < min || value > max)
                addFault(flag, std::to_string(min) + " to " + std::to_string(max));
            return value;
        }

        std::string readChoice(const std::string& flag, std::span<const std::string_view> choices)
        {
            const auto& value = m_values.at(flag);
            if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
                std::string list;
                for (const auto it : choices)
                    list.append(list.empty() ? "" : ", ").append(it);
                addFault(flag, "one of " + list);
            }
            return value;
        }

        [[nodiscard]] const std::string& faults() const noexcept { return m_faults; }

    private:
        void addFault(const std::string& flag, const std::string& expected)
        {
            if (!m_faults.empty())
                m_faults += "; ";
            m_faults += flag + ": expected " + expected + ", found \"" + m_values.at(flag) + "\"";
        }

        const Values& m_values;
        std::string m_faults;
    };

    Result<std::variant<Settings, HelpText>> parseSettings(const Values& values)
    {
        constexpr std::array<std::string_view, 4> levels { "debug", "info", "warn", "error" };
        SettingsReader reader(values);
        Settings settings;
        settings.vm = reader.readName("--vm");
        settings.region = reader.readName("--region");
        settings.failureDomain = reader.readName("--failure-domain");
        settings.listen = reader.readAddress("--listen");
        settings.adminListen = reader.readAddress("--admin-listen");
        settings.peerListen = reader.readAddress("--peer-listen");
        settings.platform = reader.readAddress("--platform");
        settings.adminKeyDigest = reader.readDigest("--admin-key-digest");
        settings.callerThreads = reader.readNumber("--caller-threads", 1, 4096);
        settings.forwardThreads = reader.readNumber("--forward-threads", 1, 1024);
        settings.maxBodyBytes = reader.readNumber("--max-body-bytes", 0, 16'777'216);
        settings.stopTimeoutMs = reader.readNumber("--stop-timeout-ms", 0, 600'000);
        settings.logLevel = reader.readChoice("--log-level", levels);
        if (!reader.faults().empty())
            return Error { ErrorCode::InvalidArgument, "settings.read", {}, reader.faults() };
        return std::variant<Settings, HelpText>(std::move(settings));
    }

} // namespace

Result<std::variant<Settings, HelpText>> readSettings(std::span<const std::string> arguments)
{
    std::map<std::string, docopt::value> parsed;
    try {
        parsed = docopt::docopt_parse(usage, { arguments.begin(), arguments.end() }, true, false);
    } catch (const docopt::DocoptExitHelp&) {
        return std::variant<Settings, HelpText>(HelpText { usage });
    } catch (const std::exception& ec) {
        return Error { ErrorCode::InvalidArgument, "settings.read", {}, ec.what() };
    }
    return parseSettings(mergeSources(arguments, parsed));
}

} // namespace arbutuscrank
