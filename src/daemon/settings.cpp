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

    constexpr auto usage = R"(arbutuscrankd: entry daemon of arbutuscrank.

Usage:
  arbutuscrankd [options]
  arbutuscrankd --help

Each option can also be given as an environment variable: ARBUTUSCRANK_ and the name in capitals, with '_' for '-'.

Options:
  --help                       Show this text.
  --vm=NAME                    Name of this VM, unique in the fleet.
  --region=NAME                Region of this VM.
  --failure-domain=NAME        Failure domain of this VM.
  --listen=ADDRESS             ip:port for callers.
  --admin-listen=ADDRESS       ip:port for operators.
  --peer-listen=ADDRESS        ip:port for other daemons.
  --platform=ADDRESS           ip:port of the platform's object API.
  --admin-key-digest=HEX       SHA-256 of the operators' key, 64 hex digits.
  --caller-threads=N           Callers' connections served at a time, 1 to 4096 [default: 256].
  --forward-threads=N          Forwarded requests served at a time, 1 to 1024 [default: 64].
  --max-body-bytes=N           Largest request body, 0 to 16777216 [default: 1048576].
  --stop-timeout-ms=N          Longest graceful stop, 0 to 600000 [default: 30000].
  --log-level=LEVEL            debug, info, warn or error [default: info].
)";

    using Values = std::map<std::string, std::string>;

    std::string environmentName(std::string_view flag)
    {
        std::string name = "ARBUTUSCRANK_";
        for (const char c : flag.substr(2))
            name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
        return name;
    }

    bool isGiven(std::span<const std::string> arguments, const std::string& flag)
    {
        return std::any_of(arguments.begin(), arguments.end(),
            [&flag](const std::string& it) { return it == flag || it.starts_with(flag + "="); });
    }

    /// Flags go before environment variables, which go before defaults.
    Values merge(std::span<const std::string> arguments, const std::map<std::string, docopt::value>& parsed)
    {
        Values values;
        for (const auto& [flag, value] : parsed) {
            if (flag == "--help")
                continue;
            values[flag] = value.isString() ? value.asString() : std::string();
            // NOLINTNEXTLINE(concurrency-mt-unsafe): runs before any thread starts
            const char* text = std::getenv(environmentName(flag).c_str());
            if (text != nullptr && !isGiven(arguments, flag))
                values[flag] = text;
        }
        return values;
    }

    /// Checks values one by one and collects what is wrong.
    class Checker {
    public:
        explicit Checker(const Values& values)
            : m_values(values)
        {
        }

        std::string name(const std::string& flag)
        {
            const auto& value = m_values.at(flag);
            const bool valid = !value.empty() && value.size() <= 64
                && std::all_of(value.begin(), value.end(),
                    [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.'; });
            if (!valid)
                fault(flag, "1 to 64 letters, digits, '-', '_' or '.'");
            return value;
        }

        std::string address(const std::string& flag)
        {
            const auto& value = m_values.at(flag);
            if (!parseEndpoint(value))
                fault(flag, "an IPv4 address and a port from 1 to 65535, as ip:port");
            return value;
        }

        std::string digest(const std::string& flag)
        {
            const auto& value = m_values.at(flag);
            const bool valid = value.size() == 64 && value.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (!valid)
                fault(flag, "64 lower-case hex digits");
            return value;
        }

        std::uint32_t number(const std::string& flag, std::uint32_t least, std::uint32_t most)
        {
            const auto& text = m_values.at(flag);
            std::uint32_t value = 0;
            const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
            if (ec != std::errc {} || end != text.data() + text.size() || value < least || value > most)
                fault(flag, std::to_string(least) + " to " + std::to_string(most));
            return value;
        }

        std::string choice(const std::string& flag, std::span<const std::string_view> choices)
        {
            const auto& value = m_values.at(flag);
            if (std::find(choices.begin(), choices.end(), value) == choices.end()) {
                std::string list;
                for (const auto it : choices)
                    list.append(list.empty() ? "" : ", ").append(it);
                fault(flag, "one of " + list);
            }
            return value;
        }

        [[nodiscard]] const std::string& faults() const noexcept { return m_faults; }

    private:
        void fault(const std::string& flag, const std::string& limit)
        {
            if (!m_faults.empty())
                m_faults += "; ";
            m_faults += flag + ": expected " + limit + ", found \"" + m_values.at(flag) + "\"";
        }

        const Values& m_values;
        std::string m_faults;
    };

    Result<std::variant<Settings, HelpText>> check(const Values& values)
    {
        constexpr std::array<std::string_view, 4> levels { "debug", "info", "warn", "error" };
        Checker checker(values);
        Settings settings;
        settings.vm = checker.name("--vm");
        settings.region = checker.name("--region");
        settings.failureDomain = checker.name("--failure-domain");
        settings.listen = checker.address("--listen");
        settings.adminListen = checker.address("--admin-listen");
        settings.peerListen = checker.address("--peer-listen");
        settings.platform = checker.address("--platform");
        settings.adminKeyDigest = checker.digest("--admin-key-digest");
        settings.callerThreads = checker.number("--caller-threads", 1, 4096);
        settings.forwardThreads = checker.number("--forward-threads", 1, 1024);
        settings.maxBodyBytes = checker.number("--max-body-bytes", 0, 16'777'216);
        settings.stopTimeoutMs = checker.number("--stop-timeout-ms", 0, 600'000);
        settings.logLevel = checker.choice("--log-level", levels);
        if (!checker.faults().empty())
            return Error { ErrorCode::InvalidArgument, "settings.read", {}, checker.faults() };
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
    return check(merge(arguments, parsed));
}

} // namespace arbutuscrank
