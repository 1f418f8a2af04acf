#include "system/cluster.hpp"

#include <arbutuscrank/config/codec.hpp>

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <stdexcept>
#include <thread>

namespace arbutuscrank::tests {

namespace {

    constexpr std::chrono::seconds callTimeout { 20 };

    /// Each cluster on the machine reserves one of these blocks of ports. The blocks lie below the ephemeral port
    /// range: otherwise an outgoing connection occasionally takes a daemon's port before the daemon starts.
    constexpr std::uint16_t firstPort = 10'000;
    constexpr std::uint16_t portsPerBlock = 64;
    constexpr std::uint16_t portBlocks = 150;

    int bindPort(std::uint16_t port)
    {
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        name.sin_port = htons(port);
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0)
            return fd;
        close(fd);
        return -1;
    }

    std::string findProgram(const std::string& name) { return std::string(ARBUTUSCRANK_BUILD_DIR) + "/" + name; }

} // namespace

// --- Process ---------------------------------------------------------------------------------------------------------

Process::Process(const std::vector<std::string>& arguments, const std::string& outputFile)
{
    std::vector<char*> argv;
    argv.reserve(arguments.size() + 1);
    for (const auto& it : arguments)
        argv.push_back(const_cast<char*>(it.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int ec = posix_spawn(&m_pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (ec != 0)
        throw std::runtime_error("cannot start " + arguments.front());
}

Process::~Process()
{
    if (m_pid <= 0)
        return;
    signal(SIGKILL);
    wait();
}

void Process::signal(int number) const { kill(m_pid, number); }

int Process::wait()
{
    int status = 0;
    waitpid(std::exchange(m_pid, -1), &status, 0);
    return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool eventually(const std::function<bool()>& condition, std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return true;
}

int statusOf(const Result<HttpAnswer>& answer) { return answer ? answer.value().status : 0; }

std::string outcomeOf(const Result<HttpAnswer>& answer)
{
    return answer ? std::string(answer.value().header("X-Request-Outcome")) : "no answer";
}

// --- Cluster ---------------------------------------------------------------------------------------------------------

Cluster::Cluster(const ClusterShape& shape)
    : m_shape(shape)
{
    std::string pattern = std::filesystem::temp_directory_path() / "arbutuscrank-test-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary directory for the logs of the cluster");
    m_directory = pattern;
    const auto daemonCount = shape.regions.size() * static_cast<std::size_t>(shape.vmsPerRegion);
    const auto targetCount = shape.regions.size() * static_cast<std::size_t>(shape.targetsPerRegion);
    auto addresses = reservePortBlock(1 + 3 * daemonCount + targetCount);
    const auto takeAddresses = [&addresses](std::size_t count) {
        std::vector<std::string> taken(addresses.end() - static_cast<std::ptrdiff_t>(count), addresses.end());
        addresses.resize(addresses.size() - count);
        return taken;
    };
    m_platformAddress = takeAddresses(1).front();
    m_callerAddresses = takeAddresses(daemonCount);
    m_adminAddresses = takeAddresses(daemonCount);
    m_peerAddresses = takeAddresses(daemonCount);
    m_targetAddresses = takeAddresses(targetCount);
    m_daemons.resize(daemonCount);
    m_targets.resize(targetCount);

    auto regions = nlohmann::json::array();
    auto targets = nlohmann::json::array();
    for (const auto& it : shape.regions)
        regions.push_back({ { "name", it }, { "failureDomains", { it + "-a", it + "-b" } } });
    for (std::size_t n = 0; n < targetCount; ++n) {
        const auto region = findRegion(n, shape.targetsPerRegion);
        targets.push_back({ { "name", "kitty-" + std::to_string(n) }, { "address", m_targetAddresses[n] },
            { "region", region }, { "failureDomain", region + (n % 2 == 0 ? "-a" : "-b") } });
    }
    document = { { "schema", 1 }, { "regions", regions },
        { "services",
            { { { "name", "kitty" }, { "pathPrefix", "/kitty/" }, { "openPathPrefixes", { "/kitty/public/" } },
                { "slotsPerTarget", 6 }, { "connectionsPerTarget", 100 },
                { "defaultTimeoutMs", shape.defaultTimeoutMs }, { "spill", nlohmann::json::array() },
                { "targets", targets } } } },
        { "links", nlohmann::json::array() }, { "shifts", nlohmann::json::array() },
        { "drains", nlohmann::json::array() },
        { "steering",
            { { "sites", nlohmann::json::array() }, { "groups", nlohmann::json::array() },
                { "blocks", nlohmann::json::array() } } },
        { "accounts",
            { { { "name", "acme" }, { "keys", { { { "id", "k1" }, { "digest", sha256Hex(callerKey) } } } },
                { "ratePerSecond", shape.ratePerSecond }, { "burst", shape.burst }, { "services", { "kitty" } },
                { "regions", shape.regions } } } } };
}

Cluster::~Cluster()
{
    m_daemons.clear();
    m_targets.clear();
    m_platform.reset();
    close(m_portLockSocket);
    std::error_code ec;
    std::filesystem::remove_all(m_directory, ec);
}

std::vector<std::string> Cluster::reservePortBlock(std::size_t count)
{
    if (count >= portsPerBlock)
        throw std::runtime_error("the cluster needs more ports than a block of 64 holds");
    for (int n = 0; n < portBlocks && m_portLockSocket < 0; ++n) {
        const auto base = static_cast<std::uint16_t>(firstPort + (getpid() + n) % portBlocks * portsPerBlock);
        m_portLockSocket = bindPort(base);
        if (m_portLockSocket < 0)
            continue;
        std::vector<std::string> addresses;
        for (std::size_t portOffset = 1; portOffset <= count; ++portOffset)
            addresses.push_back("127.0.0.1:" + std::to_string(base + portOffset));
        return addresses;
    }
    throw std::runtime_error("no free block of ports at 127.0.0.1:10000 to 19599");
}

std::string Cluster::findRegion(std::size_t n, int perRegion) const
{
    return m_shape.regions.at(n / static_cast<std::size_t>(perRegion));
}

void Cluster::publishVmList() const
{
    auto vms = nlohmann::json::array();
    for (std::size_t n = 0; n < m_daemons.size(); ++n) {
        const auto region = findRegion(n, m_shape.vmsPerRegion);
        vms.push_back({ { "vm", "vm-" + std::to_string(n) }, { "region", region },
            { "failureDomain", region + (n % 2 == 0 ? "-a" : "-b") }, { "callerAddress", m_callerAddresses[n] },
            { "peerAddress", m_peerAddresses[n] }, { "state", "live" } });
    }
    HttpClient client(m_platformAddress);
    const auto answer = client.request("PUT", "/vms", {}, vms.dump(), callTimeout);
    if (statusOf(answer) != 200)
        std::cerr << "cannot publish the list of VMs: status " << statusOf(answer) << '\n';
}

void Cluster::startDaemon(std::size_t n)
{
    const auto region = findRegion(n, m_shape.vmsPerRegion);
    m_daemons.at(n).reset();
    m_daemons.at(n) = std::make_unique<Process>(
        std::vector<std::string> { findProgram("arbutuscrankd"), "--vm=vm-" + std::to_string(n), "--region=" + region,
            "--failure-domain=" + region + (n % 2 == 0 ? "-a" : "-b"), "--listen=" + m_callerAddresses[n],
            "--admin-listen=" + m_adminAddresses[n], "--peer-listen=" + m_peerAddresses[n],
            "--platform=" + m_platformAddress, "--admin-key-digest=" + sha256Hex(operatorKey), "--caller-threads=32",
            "--forward-threads=16" },
        m_directory + "/vm-" + std::to_string(n) + ".log");
}

bool Cluster::start()
{
    m_platform = std::make_unique<Process>(
        std::vector<std::string> { findProgram("fake_platform"), "--listen=" + m_platformAddress },
        m_directory + "/platform.log");
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        m_targets[n]
            = std::make_unique<Process>(std::vector<std::string> { findProgram("fake_target"),
                                            "--listen=" + m_targetAddresses[n], "--name=kitty-" + std::to_string(n) },
                m_directory + "/target-" + std::to_string(n) + ".log");
    }
    const auto isPlatformUp = [this] {
        return statusOf(HttpClient(m_platformAddress).request("GET", "/stats", {}, {}, callTimeout)) == 200;
    };
    if (!eventually(isPlatformUp))
        return reportFailedStart("the stand-in of the platform does not answer");
    publishVmList();
    for (std::size_t n = 0; n < m_daemons.size(); ++n)
        startDaemon(n);
    if (!eventually([this] { return !dumpState(0).is_null(); }))
        return reportFailedStart("the first daemon does not answer");
    const auto applyAnswer = sendAdminRequest(0, "PUT", "/v1/config", { "If-Match: 0" }, document.dump());
    if (!applyAnswer || applyAnswer.value().status != 200)
        return reportFailedStart(
            "cannot apply the document: " + (applyAnswer ? applyAnswer.value().body : describe(applyAnswer.error())));
    if (!eventually([this] { return areAllSlotsUsable(); }))
        return reportFailedStart("not all slots are usable");
    const auto isServedByAllDaemons = [this] {
        for (std::size_t n = 0; n < m_daemons.size(); ++n) {
            if (statusOf(request(n, "GET", "/kitty/ready")) != 200)
                return false;
        }
        return true;
    };
    return eventually(isServedByAllDaemons) || reportFailedStart("not every daemon serves requests");
}

bool Cluster::reportFailedStart(std::string_view reason) const
{
    std::cerr << "the cluster did not start: " << reason;
    for (std::size_t n = 0; n < m_daemons.size(); ++n)
        std::cerr << "\nstate of daemon " << n << ": " << dumpState(n).dump();
    std::cerr << readLogs();
    return false;
}

bool Cluster::areAllSlotsUsable() const
{
    std::uint64_t usableSlots = 0;
    std::uint64_t slots = 0;
    for (std::size_t n = 0; n < m_daemons.size(); ++n) {
        const auto tree = dumpState(n);
        if (!tree.is_object())
            return false;
        for (const auto& it : tree.at("targets")) {
            usableSlots += it.at("slotsUsable").get<std::uint64_t>();
            slots += it.at("ownedHere").get<bool>() ? it.at("slots").get<std::uint64_t>() : 0;
        }
    }
    return usableSlots == slots && slots == m_targets.size() * 6;
}

Result<HttpAnswer> Cluster::request(std::size_t n, std::string_view method, const std::string& path,
    std::vector<std::string> headers, std::string_view body, bool sendsKey) const
{
    if (sendsKey)
        headers.push_back(std::string("Authorization: Bearer ") + callerKey);
    HttpClient client(m_callerAddresses.at(n));
    return client.request(method, path, headers, body, callTimeout);
}

Result<HttpAnswer> Cluster::sendAdminRequest(std::size_t n, std::string_view method, const std::string& path,
    std::vector<std::string> headers, std::string_view body) const
{
    headers.push_back(std::string("Authorization: Bearer ") + operatorKey);
    HttpClient client(m_adminAddresses.at(n));
    return client.request(method, path, headers, body, callTimeout);
}

void Cluster::setTargetBehaviour(std::size_t n, const nlohmann::json& behaviour) const
{
    HttpClient client(m_targetAddresses.at(n));
    (void)client.request("PUT", "/control", {}, behaviour.dump(), callTimeout);
}

void Cluster::setPlatformFaults(const nlohmann::json& faults) const
{
    HttpClient client(m_platformAddress);
    (void)client.request("PUT", "/faults", {}, faults.dump(), callTimeout);
}

nlohmann::json Cluster::fetchExecutionReport(std::size_t n) const
{
    HttpClient client(m_targetAddresses.at(n));
    const auto answer = client.request("GET", "/executed", {}, {}, callTimeout);
    return answer ? nlohmann::json::parse(answer.value().body, nullptr, false) : nlohmann::json();
}

std::size_t Cluster::countExecutions(const std::string& tag) const
{
    std::size_t count = 0;
    for (std::size_t n = 0; n < m_targets.size(); ++n) {
        const auto report = fetchExecutionReport(n);
        if (!report.is_object())
            continue;
        for (const auto& it : report.at("executed"))
            count += it.at("tag") == tag ? 1 : 0;
    }
    return count;
}

std::string Cluster::readLogs() const
{
    std::string text = "\n";
    for (std::size_t n = 0; n < m_daemons.size(); ++n) {
        std::ifstream file(m_directory + "/vm-" + std::to_string(n) + ".log");
        text.append(std::istreambuf_iterator<char>(file), {});
    }
    return text;
}

nlohmann::json Cluster::dumpState(std::size_t n) const
{
    const auto answer = sendAdminRequest(n, "GET", "/v1/dump");
    return answer && answer.value().status == 200 ? nlohmann::json::parse(answer.value().body, nullptr, false)
                                                  : nlohmann::json();
}

} // namespace arbutuscrank::tests
