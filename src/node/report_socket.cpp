#include "node/report_socket.hpp"

#include <nlohmann/json.hpp>

namespace arbutuscrank::node {

namespace {

    using Json = nlohmann::json;

    Json encodeAccounts(const entry::Report& report)
    {
        auto out = Json::object();
        for (const auto& [name, use] : report.accounts) {
            if (use.admitted != 0)
                out[name] = { use.admitted, static_cast<float>(use.demand) };
        }
        return out;
    }

    /// Keys and counts in turn: shorter than a map of texts.
    Json encodeInFlight(const entry::Report& report)
    {
        auto out = Json::array();
        for (const auto& [target, n] : report.inFlight) {
            out.push_back(target);
            out.push_back(n);
        }
        return out;
    }

} // namespace

std::string encodeReport(const entry::Report& report)
{
    const Json message {
        { "v", report.process.vm },
        { "i", report.process.incarnation },
        { "s", report.sequence },
        { "r", report.ready },
        { "l", report.leaving },
        { "u", report.storeUpFor / std::chrono::milliseconds(1) },
        { "a", encodeAccounts(report) },
        { "d", report.serviceDemand },
        { "t", encodeInFlight(report) },
    };
    std::string out;
    Json::to_cbor(message, out);
    return out;
}

Result<entry::Report> decodeReport(std::string_view bytes)
{
    try {
        const auto message = Json::from_cbor(bytes.begin(), bytes.end());
        entry::Report report;
        report.process.vm = message.at("v").get<std::string>();
        report.process.incarnation = message.at("i").get<Incarnation>();
        report.sequence = message.at("s").get<std::uint64_t>();
        report.ready = message.at("r").get<bool>();
        report.leaving = message.at("l").get<bool>();
        report.storeUpFor = std::chrono::milliseconds(message.at("u").get<std::int64_t>());
        for (const auto& [name, use] : message.at("a").items())
            report.accounts[name] = { use.at(0).get<std::uint64_t>(), use.at(1).get<double>() };
        for (const auto& [service, perSecond] : message.at("d").items())
            report.serviceDemand[service] = perSecond.get<double>();
        const auto inFlight = message.at("t").get<std::vector<std::uint32_t>>();
        for (std::size_t i = 0; i + 1 < inFlight.size(); i += 2)
            report.inFlight[inFlight[i]] = inFlight[i + 1];
        return report;
    } catch (const Json::exception& ec) {
        return Error { ErrorCode::Protocol, "report.decode", {}, ec.what() };
    }
}

ReportSocket::ReportSocket(asio::io_context& context, Received received)
    : m_socket(context)
    , m_received(std::move(received))
{
}

Result<void> ReportSocket::open(const std::string& address)
{
    BOOST_OUTCOME_TRY(endpoint, parseEndpoint(address));
    SystemError ec;
    m_socket.open(Udp::v4(), ec);
    if (!ec)
        m_socket.bind({ endpoint.address(), endpoint.port() }, ec);
    if (!ec)
        m_socket.non_blocking(true, ec);
    if (ec)
        return Error { ErrorCode::Unavailable, "report.bind", address, ec.message() };
    receive();
    return outcome::success();
}

void ReportSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_bytes), m_sender, [this](SystemError ec, std::size_t n) {
        if (ec == asio::error::operation_aborted)
            return;
        // An error belongs to an earlier datagram that could not be delivered; the socket goes on.
        if (!ec)
            m_received(decodeReport({ m_bytes.data(), n }));
        receive();
    });
}

void ReportSocket::send(const std::string& bytes, const std::string& address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return;
    SystemError ec;
    m_socket.send_to(
        asio::buffer(bytes), { endpoint.value().address(), endpoint.value().port() }, 0, ec); // may be lost anyway
}

} // namespace arbutuscrank::node
