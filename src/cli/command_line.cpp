#include "cli/command_line.hpp"

#include "cli/check_command.hpp"

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

    constexpr auto usage = R"(arbutuscrank: command-line tool for operators of arbutuscrank daemons.

Usage:
  arbutuscrank validate FILE
  arbutuscrank check FILE [--in-force=OLD] [--json] [--strict]
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

Commands:
  validate   Check a configuration document and list its faults; needs no daemon.
  check      Check a configuration document and list errors, entries that can never take effect, limits that contradict
             each other, and the differences to the document in force; needs no daemon.
  digest     Print the SHA-256 digest of a key for a configuration document; needs no daemon.
  show       Print the configuration document and its version.
  diff       List the differences between the current document and FILE.
  apply      Replace the current document with FILE.
  status     Print the status of the daemon.
  withdraw   Withdraw an account, or one of its keys.
  drain      Take an object out of service, or put it back.
  shift      Move part of a service's traffic to another region, or cancel this.
  prove      Check that all daemons refuse a withdrawn account.
  dump       Print the state of the daemon.
  metrics    Print the metrics of the daemon in the Prometheus format.

FILE is the path of a configuration document in JSON, or - for standard input.
KIND is target, vm, failureDomain, region or site.

Exit status: 0 success; 1 the document is not valid, the daemon refused the request, or the withdrawal is not proven;
2 the command line is invalid or FILE cannot be read; 3 no response, so a change may or may not have taken effect.
Of check: 0 no errors; 1 warnings, with --strict; 2 errors, or as above.

Options:
  --help               Print this help and exit.
  --admin=ADDRESS      Address (ip:port) of a daemon's admin interface; environment variable ARBUTUSCRANK_ADMIN.
  --admin-key=KEY      Admin key of the daemon; environment variable ARBUTUSCRANK_ADMIN_KEY.
  --based-on=VERSION   Version that the change replaces; refused if it is not current. By default, the current version.
  --change-id=ID       Identifier of the change; repeating a change with the same identifier has no further effect.
  --in-force=OLD       File with the document in force, or with the output of show.
  --json               Print the result of the check as JSON.
  --strict             Exit with 1 if the check has warnings and no errors.
  --undo               Cancel the drain or shift.
  --service=S          Service whose traffic is shifted.
  --from=R             Region that the traffic is shifted from.
  --to=R               Region that the traffic is shifted to.
  --percent=P          Final share of the source region's traffic, in percent (0 to 100).
  --cap=N              Maximum shifted traffic, in requests per second.
  --step=P             Increase of the share at each step, in percent [default: 10].
  --every=S            Interval between steps, in seconds [default: 30].
)";

    constexpr std::chrono::seconds requestTimeout { 15 };

    /// Reads a file, or standard input if the name is "-". Returns nullopt if the file cannot be opened.
    std::optional<std::string> readFile(const std::string& name)
    {
        if (name == "-")
            return std::string(std::istreambuf_iterator<char>(std::cin), {});
        std::ifstream file(name, std::ios::binary);
        if (!file)
            return std::nullopt;
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    /// Value of an argument; if not given, that of an environment variable; empty if neither is set.
    std::string argumentOrEnvironment(
        const Arguments& arguments, const std::string& name, const char* environmentVariable = nullptr)
    {
        const auto it = arguments.find(name);
        if (it != arguments.end() && it->second.isString())
            return it->second.asString();
        // NOLINTNEXTLINE(concurrency-mt-unsafe): the tool is single-threaded
        const char* text = environmentVariable == nullptr ? nullptr : std::getenv(environmentVariable);
        return text == nullptr ? std::string() : std::string(text);
    }

    bool isSet(const Arguments& arguments, const std::string& name)
    {
        const auto it = arguments.find(name);
        return it != arguments.end() && it->second.isBool() && it->second.asBool();
    }

    std::string generateChangeId()
    {
        std::random_device random;
        return "cli-" + std::to_string(random()) + "-" + std::to_string(random());
    }

    /// Runs one command that calls the admin interface of a daemon.
    class DaemonCommand {
    public:
        DaemonCommand(const Arguments& arguments, std::ostream& out, std::ostream& err)
            : m_arguments(arguments)
            , m_out(out)
            , m_err(err)
            , m_client(argumentOrEnvironment(arguments, "--admin", "ARBUTUSCRANK_ADMIN"))
            , m_key(argumentOrEnvironment(arguments, "--admin-key", "ARBUTUSCRANK_ADMIN_KEY"))
        {
        }

        ExitCode run()
        {
            if (isSet(m_arguments, "show"))
                return printAnswer(sendRequest("GET", "/v1/config", {}, {}));
            if (isSet(m_arguments, "status"))
                return printAnswer(sendRequest("GET", "/v1/status", {}, {}));
            if (isSet(m_arguments, "dump"))
                return printAnswer(sendRequest("GET", "/v1/dump", {}, {}));
            if (isSet(m_arguments, "metrics"))
                return printAnswer(sendRequest("GET", "/metrics", {}, {}));
            if (isSet(m_arguments, "diff"))
                return runWithFile([this](const std::string& text) {
                    return printAnswer(sendRequest("POST", "/v1/config/diff", {}, text));
                });
            if (isSet(m_arguments, "apply"))
                return runWithFile([this](const std::string& text) { return apply(text); });
            if (isSet(m_arguments, "withdraw"))
                return applyWithdrawal();
            if (isSet(m_arguments, "drain"))
                return applyDrain();
            if (isSet(m_arguments, "shift"))
                return applyShift();
            return proveWithdrawal();
        }

    private:
        Result<HttpAnswer> sendRequest(
            std::string_view method, const std::string& path, std::vector<std::string> headers, std::string_view body)
        {
            headers.push_back("Authorization: Bearer " + m_key);
            return m_client.request(method, path, headers, body, requestTimeout);
        }

        /// Prints a response and returns the exit code for its status.
        ExitCode printAnswer(const Result<HttpAnswer>& answer)
        {
            if (!answer) {
                m_err << "arbutuscrank: " << describe(answer.error()) << '\n';
                return ExitCode::Unreachable;
            }
            m_out << answer.value().body << '\n';
            if (answer.value().status == 504)
                return ExitCode::Unreachable;
            return answer.value().status == 200 ? ExitCode::Success : ExitCode::Refused;
        }

        /// Calls a function with the content of the file that the command line names.
        template <typename F> ExitCode runWithFile(F&& action)
        {
            const auto name = m_arguments.at("FILE").asString();
            const auto text = readFile(name);
            if (!text) {
                m_err << "arbutuscrank: cannot read file " << name << '\n';
                return ExitCode::UsageError;
            }
            return action(*text);
        }

        [[nodiscard]] std::vector<std::string> makeChangeHeaders() const
        {
            const auto id = argumentOrEnvironment(m_arguments, "--change-id");
            return { "X-Change-Id: " + (id.empty() ? generateChangeId() : id) };
        }

        ExitCode apply(const std::string& text)
        {
            auto version = argumentOrEnvironment(m_arguments, "--based-on");
            if (version.empty()) {
                const auto current = sendRequest("GET", "/v1/config", {}, {});
                if (!current || current.value().status != 200)
                    return printAnswer(current);
                const auto tree = Json::parse(current.value().body, nullptr, false);
                version = std::to_string(tree.value("version", std::uint64_t { 0 }));
            }
            auto headers = makeChangeHeaders();
            headers.push_back("If-Match: " + version);
            return printAnswer(sendRequest("PUT", "/v1/config", std::move(headers), text));
        }

        ExitCode applyWithdrawal()
        {
            auto path = "/v1/accounts/" + m_arguments.at("ACCOUNT").asString();
            if (m_arguments.at("KEY").isString())
                path += "/keys/" + m_arguments.at("KEY").asString();
            return printAnswer(sendRequest("POST", path + "/withdraw", makeChangeHeaders(), {}));
        }

        ExitCode applyDrain()
        {
            const Json body { { "kind", m_arguments.at("KIND").asString() },
                { "name", m_arguments.at("NAME").asString() } };
            return printAnswer(sendRequest(
                isSet(m_arguments, "--undo") ? "DELETE" : "POST", "/v1/drains", makeChangeHeaders(), body.dump()));
        }

        ExitCode applyShift()
        {
            Json body { { "name", m_arguments.at("NAME").asString() } };
            if (isSet(m_arguments, "--undo"))
                return printAnswer(sendRequest("DELETE", "/v1/shifts", makeChangeHeaders(), body.dump()));
            for (const auto* name : { "service", "from", "to" })
                body[name] = argumentOrEnvironment(m_arguments, std::string("--") + name);
            const std::array<std::pair<const char*, const char*>, 4> numbers { { { "--percent", "percent" },
                { "--cap", "capPerSecond" }, { "--step", "stepPercent" }, { "--every", "stepSeconds" } } };
            for (const auto& [flag, field] : numbers) {
                const auto value = Json::parse(argumentOrEnvironment(m_arguments, flag), nullptr, false);
                if (!value.is_number()) {
                    m_err << "arbutuscrank: " << flag << ": expected a number, found \""
                          << argumentOrEnvironment(m_arguments, flag) << "\"\n";
                    return ExitCode::UsageError;
                }
                body[field] = value;
            }
            return printAnswer(sendRequest("POST", "/v1/shifts", makeChangeHeaders(), body.dump()));
        }

        ExitCode proveWithdrawal()
        {
            const auto answer = sendRequest("GET", "/v1/prove/" + m_arguments.at("ACCOUNT").asString(), {}, {});
            const auto printed = printAnswer(answer);
            if (printed != ExitCode::Success)
                return printed;
            const auto tree = Json::parse(answer.value().body, nullptr, false);
            return tree.is_object() && tree.value("stopped", false) ? ExitCode::Success : ExitCode::Refused;
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
            err << "arbutuscrank: cannot read file " << name << '\n';
            return ExitCode::UsageError;
        }
        const auto parsed = parseDocument(*text);
        if (const auto* faults = std::get_if<std::vector<Fault>>(&parsed)) {
            for (const auto& it : *faults)
                out << it.path << ": expected " << it.limit << ", found " << it.found << '\n';
            return ExitCode::Refused;
        }
        out << "valid\n";
        return ExitCode::Success;
    }

    ExitCode checkFile(const Arguments& arguments, std::ostream& out, std::ostream& err)
    {
        const auto readOrReport = [&err](const std::string& name) {
            auto text = readFile(name);
            if (!text)
                err << "arbutuscrank: cannot read file " << name << '\n';
            return text;
        };
        const auto inForceName = argumentOrEnvironment(arguments, "--in-force");
        if (inForceName == "-" && arguments.at("FILE").asString() == "-") {
            err << "arbutuscrank: --in-force: expected a file if FILE is -, found -\n";
            return ExitCode::UsageError;
        }
        const auto text = readOrReport(arguments.at("FILE").asString());
        if (!text)
            return ExitCode::UsageError;
        std::optional<std::string> inForce;
        if (!inForceName.empty() && !(inForce = readOrReport(inForceName)))
            return ExitCode::UsageError;
        const CheckOptions options { isSet(arguments, "--json"), isSet(arguments, "--strict") };
        return checkDocuments(*text, inForce, options, out);
    }

} // namespace

ExitCode runCommand(std::span<const std::string> arguments, std::ostream& out, std::ostream& err)
{
    Arguments parsed;
    try {
        parsed = docopt::docopt_parse(usage, { arguments.begin(), arguments.end() }, true, false);
    } catch (const docopt::DocoptExitHelp&) {
        out << usage;
        return ExitCode::Success;
    } catch (const std::exception& ex) {
        err << "arbutuscrank: " << ex.what() << '\n' << usage;
        return ExitCode::UsageError;
    }
    if (isSet(parsed, "validate"))
        return validateFile(parsed.at("FILE").asString(), out, err);
    if (isSet(parsed, "check"))
        return checkFile(parsed, out, err);
    if (isSet(parsed, "digest")) {
        out << sha256Hex(parsed.at("KEY").asString()) << '\n';
        return ExitCode::Success;
    }
    if (const auto address = parseEndpoint(argumentOrEnvironment(parsed, "--admin", "ARBUTUSCRANK_ADMIN")); !address) {
        err << "arbutuscrank: --admin: " << describe(address.error()) << '\n';
        return ExitCode::UsageError;
    }
    return DaemonCommand(parsed, out, err).run();
}

} // namespace arbutuscrank
