#include "cli/command_line.hpp"

#include <arbutuscrank/config.hpp>
#include <arbutuscrank/store/http_client.hpp>

#include <docopt/docopt.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <random>

namespace arbutuscrank {

namespace {

    using Json = nlohmann::json;
    using Arguments = std::map<std::string, docopt::value>;

    constexpr auto usage = R"(arbutuscrank: operators' tool of arbutuscrank.

Usage:
  arbutuscrank validate FILE
  arbutuscrank digest KEY
  arbutuscrank [options] show
  arbutuscrank [options] diff FILE
  arbutuscrank [options] apply FILE [--based-on=VERSION] [--change-id=ID]
  arbutuscrank [options] status
  arbutuscrank [options] withdraw ACCOUNT [KEY]
  arbutuscrank [options] drain KIND NAME [--undo]
  arbutuscrank [options] shift NAME (--undo | --service=S --from=R --to=R --percent=P --cap=N [--step=P] [--every=S])
  arbutuscrank [options] prove ACCOUNT
  arbutuscrank [options] dump
  arbutuscrank [options] metrics
  arbutuscrank --help

validate and digest need no daemon. FILE may be - for standard input. KIND is target, vm, failureDomain, region or
site. Exit codes: 0 done, 1 refused or not proven, 2 wrong command line, 3 no answer.

Options:
  --help               Show this text.
  --admin=ADDRESS      ip:port of a daemon's operators' interface; environment ARBUTUSCRANK_ADMIN.
  --admin-key=KEY      Operators' key; environment ARBUTUSCRANK_ADMIN_KEY.
  --based-on=VERSION   Version that the change is based on; default: the version now in the store.
  --change-id=ID       Name of the change; repeating a change with its name has no further effect.
  --undo               Take the drain or shift back.
  --service=S          Service of the shift.
  --from=R             Region that traffic leaves.
  --to=R               Region that traffic goes to.
  --percent=P          Final share of the traffic, 0 to 100.
  --cap=N              Most moved requests per second.
  --step=P             Growth of the share at each step, in percent [default: 10].
  --every=S            Seconds between steps [default: 30].
)";

    constexpr std::chrono::seconds callTimeout { 15 };

    std::optional<std::string> readFile(const std::string& name)
    {
        if (name == "-")
            return std::string(std::istreambuf_iterator<char>(std::cin), {});
        std::ifstream file(name, std::ios::binary);
        if (!file)
            return std::nullopt;
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    std::string textOf(const Arguments& arguments, const std::string& name, const char* variable = nullptr)
    {
        const auto it = arguments.find(name);
        if (it != arguments.end() && it->second.isString())
            return it->second.asString();
        // NOLINTNEXTLINE(concurrency-mt-unsafe): the tool has one thread
        const char* text = variable == nullptr ? nullptr : std::getenv(variable);
        return text == nullptr ? std::string() : std::string(text);
    }

    bool isSet(const Arguments& arguments, const std::string& name)
    {
        const auto it = arguments.find(name);
        return it != arguments.end() && it->second.isBool() && it->second.asBool();
    }

    std::string drawChangeId()
    {
        std::random_device random;
        return "cli-" + std::to_string(random()) + "-" + std::to_string(random());
    }

    /// One command against a daemon.
    class Session {
    public:
        Session(const Arguments& arguments, std::ostream& out, std::ostream& err)
            : m_arguments(arguments)
            , m_out(out)
            , m_err(err)
            , m_client(textOf(arguments, "--admin", "ARBUTUSCRANK_ADMIN"))
            , m_key(textOf(arguments, "--admin-key", "ARBUTUSCRANK_ADMIN_KEY"))
        {
        }

        ExitCode run()
        {
            if (isSet(m_arguments, "show"))
                return print(call("GET", "/v1/config", {}, {}));
            if (isSet(m_arguments, "status"))
                return print(call("GET", "/v1/status", {}, {}));
            if (isSet(m_arguments, "dump"))
                return print(call("GET", "/v1/dump", {}, {}));
            if (isSet(m_arguments, "metrics"))
                return print(call("GET", "/metrics", {}, {}));
            if (isSet(m_arguments, "diff"))
                return withFile(
                    [this](const std::string& text) { return print(call("POST", "/v1/config/diff", {}, text)); });
            if (isSet(m_arguments, "apply"))
                return withFile([this](const std::string& text) { return apply(text); });
            if (isSet(m_arguments, "withdraw"))
                return withdraw();
            if (isSet(m_arguments, "drain"))
                return drain();
            if (isSet(m_arguments, "shift"))
                return shift();
            return prove();
        }

    private:
        Result<HttpAnswer> call(
            std::string_view method, const std::string& path, std::vector<std::string> headers, std::string_view body)
        {
            headers.push_back("Authorization: Bearer " + m_key);
            return m_client.request(method, path, headers, body, callTimeout);
        }

        ExitCode print(const Result<HttpAnswer>& answer)
        {
            if (!answer) {
                m_err << "arbutuscrank: " << describe(answer.error()) << '\n';
                return ExitCode::Unreachable;
            }
            m_out << answer.value().body << '\n';
            if (answer.value().status == 504)
                return ExitCode::Unreachable;
            return answer.value().status == 200 ? ExitCode::Done : ExitCode::Refused;
        }

        template <typename F> ExitCode withFile(F&& action)
        {
            const auto name = m_arguments.at("FILE").asString();
            const auto text = readFile(name);
            if (!text) {
                m_err << "arbutuscrank: cannot read " << name << '\n';
                return ExitCode::Usage;
            }
            return action(*text);
        }

        [[nodiscard]] std::vector<std::string> changeHeaders() const
        {
            const auto id = textOf(m_arguments, "--change-id");
            return { "X-Change-Id: " + (id.empty() ? drawChangeId() : id) };
        }

        ExitCode apply(const std::string& text)
        {
            auto version = textOf(m_arguments, "--based-on");
            if (version.empty()) {
                const auto current = call("GET", "/v1/config", {}, {});
                if (!current || current.value().status != 200)
                    return print(current);
                const auto tree = Json::parse(current.value().body, nullptr, false);
                version = std::to_string(tree.value("version", std::uint64_t { 0 }));
            }
            auto headers = changeHeaders();
            headers.push_back("If-Match: " + version);
            return print(call("PUT", "/v1/config", std::move(headers), text));
        }

        ExitCode withdraw()
        {
            auto path = "/v1/accounts/" + m_arguments.at("ACCOUNT").asString();
            if (m_arguments.at("KEY").isString())
                path += "/keys/" + m_arguments.at("KEY").asString();
            return print(call("POST", path + "/withdraw", changeHeaders(), {}));
        }

        ExitCode drain()
        {
            const Json body { { "kind", m_arguments.at("KIND").asString() },
                { "name", m_arguments.at("NAME").asString() } };
            return print(
                call(isSet(m_arguments, "--undo") ? "DELETE" : "POST", "/v1/drains", changeHeaders(), body.dump()));
        }

        ExitCode shift()
        {
            Json body { { "name", m_arguments.at("NAME").asString() } };
            if (isSet(m_arguments, "--undo"))
                return print(call("DELETE", "/v1/shifts", changeHeaders(), body.dump()));
            for (const auto* name : { "service", "from", "to" })
                body[name] = textOf(m_arguments, std::string("--") + name);
            const std::array<std::pair<const char*, const char*>, 4> numbers { { { "--percent", "percent" },
                { "--cap", "capPerSecond" }, { "--step", "stepPercent" }, { "--every", "stepSeconds" } } };
            for (const auto& [flag, field] : numbers) {
                const auto value = Json::parse(textOf(m_arguments, flag), nullptr, false);
                if (!value.is_number()) {
                    m_err << "arbutuscrank: " << flag << ": expected a number, found \"" << textOf(m_arguments, flag)
                          << "\"\n";
                    return ExitCode::Usage;
                }
                body[field] = value;
            }
            return print(call("POST", "/v1/shifts", changeHeaders(), body.dump()));
        }

        ExitCode prove()
        {
            const auto answer = call("GET", "/v1/prove/" + m_arguments.at("ACCOUNT").asString(), {}, {});
            const auto printed = print(answer);
            if (printed != ExitCode::Done)
                return printed;
            const auto tree = Json::parse(answer.value().body, nullptr, false);
            return tree.is_object() && tree.value("stopped", false) ? ExitCode::Done : ExitCode::Refused;
        }

        const Arguments& m_arguments;
        std::ostream& m_out;
        std::ostream& m_err;
        HttpClient m_client;
        std::string m_key;
    };

    ExitCode validateFile(const std::string& name, std::ostream& out, std::ostream& err)
    {
        const auto text = readFile(name);
        if (!text) {
            err << "arbutuscrank: cannot read " << name << '\n';
            return ExitCode::Usage;
        }
        const auto parsed = parseDocument(*text);
        if (const auto* faults = std::get_if<std::vector<Fault>>(&parsed)) {
            for (const auto& it : *faults)
                out << it.path << ": expected " << it.limit << ", found " << it.found << '\n';
            return ExitCode::Refused;
        }
        out << "valid\n";
        return ExitCode::Done;
    }

} // namespace

ExitCode runCommand(std::span<const std::string> arguments, std::ostream& out, std::ostream& err)
{
    Arguments parsed;
    try {
        parsed = docopt::docopt_parse(usage, { arguments.begin(), arguments.end() }, true, false);
    } catch (const docopt::DocoptExitHelp&) {
        out << usage;
        return ExitCode::Done;
    } catch (const std::exception& ec) {
        err << "arbutuscrank: " << ec.what() << '\n' << usage;
        return ExitCode::Usage;
    }
    if (isSet(parsed, "validate"))
        return validateFile(parsed.at("FILE").asString(), out, err);
    if (isSet(parsed, "digest")) {
        out << sha256Hex(parsed.at("KEY").asString()) << '\n';
        return ExitCode::Done;
    }
    if (const auto address = parseEndpoint(textOf(parsed, "--admin", "ARBUTUSCRANK_ADMIN")); !address) {
        err << "arbutuscrank: --admin: " << describe(address.error()) << '\n';
        return ExitCode::Usage;
    }
    return Session(parsed, out, err).run();
}

} // namespace arbutuscrank
