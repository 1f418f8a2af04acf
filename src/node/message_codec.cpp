#include "node/message_codec.hpp"

#include "node/json_text.hpp"

#include <nlohmann/json.hpp>

namespace arbutuscrank::node {

namespace {

    using Json = nlohmann::json;
    using std::chrono::milliseconds;

    /// Raised with each change of a message that processes of an earlier version cannot decode.
    constexpr int protocolVersion = 6;

    /// First element of a message. Numbers are never reused.
    enum class MessageKind : std::uint8_t {
        VmReport,
        DomainReport,
        Digest,
        AdmissionRequest,
        AdmissionDecision,
        TokenReturn
    };

    // Codecs of message parts. Lists of records are flat arrays, because maps would repeat the field names in each
    // record.

    Json encodeProcess(const ProcessId& process) { return { process.vm, process.incarnation }; }

    ProcessId decodeProcess(const Json& json)
    {
        return { json.at(0).get<std::string>(), json.at(1).get<Incarnation>() };
    }

    Json encodeStatuses(const std::vector<entry::VmStatus>& vms)
    {
        auto out = Json::array();
        for (const auto& it : vms) {
            out.push_back(it.vm);
            out.push_back((it.ready ? 1 : 0) + (it.leaving ? 2 : 0));
        }
        return out;
    }

    std::vector<entry::VmStatus> decodeStatuses(const Json& json)
    {
        std::vector<entry::VmStatus> out;
        for (std::size_t i = 0; i + 1 < json.size(); i += 2) {
            const auto flags = json.at(i + 1).get<unsigned>();
            out.push_back({ json.at(i).get<std::string>(), (flags & 1U) != 0, (flags & 2U) != 0 });
        }
        return out;
    }

    Json encodeDemand(const entry::ServiceDemands& demand)
    {
        auto out = Json::object();
        for (const auto& [service, perSecond] : demand)
            out[service] = static_cast<float>(perSecond);
        return out;
    }

    entry::ServiceDemands decodeDemand(const Json& json) { return json.get<entry::ServiceDemands>(); }

    Json encodeMixes(const entry::ServiceMixes& mixes)
    {
        auto out = Json::object();
        for (const auto& [service, mix] : mixes) {
            auto restricted = Json::object();
            for (const auto& [region, perSecond] : mix.restrictedPerSecond)
                restricted[region] = static_cast<float>(perSecond);
            auto slots = Json::array();
            for (const auto& [rank, busy] : mix.slotsByRank) {
                slots.push_back(rank.priority);
                slots.push_back(rank.routePriority);
                slots.push_back(static_cast<float>(busy));
            }
            auto movable = Json::array();
            for (const auto& [slack, perSecond] : mix.movableByClass) {
                movable.push_back(slack);
                movable.push_back(static_cast<float>(perSecond));
            }
            // Empty parts at the end are omitted.
            auto& parts = out[service] = Json::array({ std::move(restricted) });
            if (!slots.empty() || !movable.empty())
                parts.push_back(std::move(slots));
            if (!movable.empty())
                parts.push_back(std::move(movable));
        }
        return out;
    }

    entry::ServiceMixes decodeMixes(const Json& json)
    {
        entry::ServiceMixes out;
        for (const auto& [service, parts] : json.items()) {
            auto& mix = out[service];
            for (const auto& [region, perSecond] : parts.at(0).items())
                mix.restrictedPerSecond[region] = perSecond.get<double>();
            if (parts.size() < 2)
                continue; // the sender does not share room
            const auto& slots = parts.at(1);
            for (std::size_t i = 0; i + 2 < slots.size(); i += 3)
                mix.slotsByRank[{ slots.at(i).get<std::uint32_t>(), slots.at(i + 1).get<std::uint32_t>() }]
                    = slots.at(i + 2).get<double>();
            if (parts.size() < 3)
                continue;
            const auto& movable = parts.at(2);
            for (std::size_t i = 0; i + 1 < movable.size(); i += 2)
                mix.movableByClass[movable.at(i).get<std::uint32_t>()] = movable.at(i + 1).get<double>();
        }
        return out;
    }

    Json encodeInFlight(const entry::InFlightCounts& inFlight)
    {
        auto out = Json::array();
        for (const auto& [target, n] : inFlight) {
            out.push_back(target);
            out.push_back(n);
        }
        return out;
    }

    entry::InFlightCounts decodeInFlight(const Json& json)
    {
        entry::InFlightCounts out;
        const auto values = json.get<std::vector<std::uint32_t>>();
        for (std::size_t i = 0; i + 1 < values.size(); i += 2)
            out[values[i]] = values[i + 1];
        return out;
    }

    Json encodeDuration(Duration duration) { return duration / milliseconds(1); }

    Duration decodeDuration(const Json& json) { return milliseconds(json.get<std::int64_t>()); }

    Json encodeColdTimes(const entry::ColdTimes& coldTargets)
    {
        auto out = Json::array();
        for (const auto& [target, remaining] : coldTargets) {
            out.push_back(target);
            out.push_back(encodeDuration(remaining));
        }
        return out;
    }

    entry::ColdTimes decodeColdTimes(const Json& json)
    {
        entry::ColdTimes out;
        for (std::size_t i = 0; i + 1 < json.size(); i += 2)
            out[json.at(i).get<std::uint32_t>()] = decodeDuration(json.at(i + 1));
        return out;
    }

    Json encodeNamedRates(const entry::NamedRates& rates)
    {
        auto out = Json::array();
        for (const auto& [target, report] : rates) {
            out.push_back(target);
            out.push_back(report.perSecond ? Json(static_cast<float>(*report.perSecond)) : Json());
            out.push_back(encodeDuration(report.age));
        }
        return out;
    }

    entry::NamedRates decodeNamedRates(const Json& json)
    {
        entry::NamedRates out;
        for (std::size_t i = 0; i + 2 < json.size(); i += 3) {
            auto& report = out[json.at(i).get<std::uint32_t>()];
            if (!json.at(i + 1).is_null())
                report.perSecond = json.at(i + 1).get<double>();
            report.age = decodeDuration(json.at(i + 2));
        }
        return out;
    }

    Json encodeEvacuations(const entry::EvacuationReading& reading)
    {
        auto held = Json::array();
        for (const auto& [failureDomain, remaining] : reading.held) {
            held.push_back(failureDomain);
            held.push_back(encodeDuration(remaining));
        }
        return { reading.revision, reading.failureDomains, reading.era, std::move(held) };
    }

    entry::EvacuationReading decodeEvacuations(const Json& json)
    {
        entry::EvacuationReading out { .revision = json.at(0).get<std::uint64_t>(),
            .failureDomains = json.at(1).get<std::set<std::string>>(),
            .era = json.at(2).get<StoreEra>() };
        const auto& held = json.at(3);
        for (std::size_t i = 0; i + 1 < held.size(); i += 2)
            out.held[held.at(i).get<std::string>()] = decodeDuration(held.at(i + 1));
        return out;
    }

    Json encodeAccounts(const entry::AccountUsages& accounts)
    {
        auto out = Json::array();
        for (const auto& [name, use] : accounts) {
            if (use.admitted == 0 && use.demandPerSecond <= 0)
                continue;
            out.push_back(name);
            out.push_back(use.admitted);
            out.push_back(static_cast<float>(use.demandPerSecond));
        }
        return out;
    }

    entry::AccountUsages decodeAccounts(const Json& json)
    {
        entry::AccountUsages out;
        for (std::size_t i = 0; i + 2 < json.size(); i += 3)
            out[json.at(i).get<std::string>()] = { json.at(i + 1).get<std::uint64_t>(), json.at(i + 2).get<double>() };
        return out;
    }

    Json encodeReceivedReports(const std::map<std::string, entry::ReportId>& heard)
    {
        auto out = Json::object();
        for (const auto& [domain, report] : heard)
            out[domain] = { report.incarnation, report.sequence };
        return out;
    }

    std::map<std::string, entry::ReportId> decodeReceivedReports(const Json& json)
    {
        std::map<std::string, entry::ReportId> out;
        for (const auto& [domain, report] : json.items())
            out[domain] = { report.at(0).get<Incarnation>(), report.at(1).get<std::uint64_t>() };
        return out;
    }

    Json encodeAge(std::optional<Duration> age) { return age ? encodeDuration(*age) : Json(); }

    std::optional<Duration> decodeAge(const Json& json)
    {
        return json.is_null() ? std::nullopt : std::optional(decodeDuration(json));
    }

    Json encode(const entry::VmReport& it)
    {
        return { MessageKind::VmReport, encodeProcess(it.process), it.sequence, it.ready, it.leaving,
            encodeDuration(it.storeUptime), encodeDemand(it.demand), encodeInFlight(it.inFlight),
            encodeColdTimes(it.coldTargets), encodeEvacuations(it.evacuations), encodeNamedRates(it.namedRates),
            encodeAge(it.storeContactAge), it.servesFeed, encodeMixes(it.mixes) };
    }

    Json encode(const entry::DomainReport& it)
    {
        return { MessageKind::DomainReport, encodeProcess(it.coordinator), it.sequence, it.failureDomain, it.region,
            encodeDuration(it.storeUptime), encodeStatuses(it.vms), encodeAccounts(it.accounts),
            encodeDemand(it.demand), encodeInFlight(it.inFlight), encodeReceivedReports(it.acknowledgedReports),
            encodeColdTimes(it.coldTargets), encodeEvacuations(it.evacuations), encodeNamedRates(it.namedRates),
            encodeAge(it.storeContactAge), it.servesFeed, encodeMixes(it.mixes) };
    }

    Json encode(const entry::Digest& it)
    {
        auto demand = Json::object();
        for (const auto& [region, services] : it.demandByRegion)
            demand[region] = encodeDemand(services);
        auto mixes = Json::object();
        for (const auto& [region, services] : it.mixesByRegion)
            mixes[region] = encodeMixes(services);
        auto domains = Json::array();
        for (const auto& domain : it.domains)
            domains.push_back(encode(domain));
        return { MessageKind::Digest, encodeProcess(it.coordinator), it.sequence, it.leaving,
            encodeDuration(it.storeUptime), encodeStatuses(it.vms), std::move(demand), encodeInFlight(it.inFlight),
            std::move(domains), encodeColdTimes(it.coldTargets), encodeEvacuations(it.evacuations),
            encodeNamedRates(it.namedRates), encodeAge(it.storeContactAge), it.heardFraction, it.feed,
            std::move(mixes) };
    }

    Json encode(const entry::AdmissionRequest& it)
    {
        return { MessageKind::AdmissionRequest, it.vm, it.request, it.account };
    }

    Json encode(const entry::AdmissionDecision& it)
    {
        return { MessageKind::AdmissionDecision, it.request, it.admitted, encodeDuration(it.retryAfter) };
    }

    Json encode(const entry::TokenReturn& it) { return { MessageKind::TokenReturn, it.account }; }

    entry::VmReport decodeReport(const Json& json)
    {
        return { .process = decodeProcess(json.at(1)),
            .sequence = json.at(2).get<std::uint64_t>(),
            .ready = json.at(3).get<bool>(),
            .leaving = json.at(4).get<bool>(),
            .storeUptime = decodeDuration(json.at(5)),
            .storeContactAge = decodeAge(json.at(11)),
            .servesFeed = json.at(12).get<bool>(),
            .demand = decodeDemand(json.at(6)),
            .mixes = decodeMixes(json.at(13)),
            .inFlight = decodeInFlight(json.at(7)),
            .coldTargets = decodeColdTimes(json.at(8)),
            .namedRates = decodeNamedRates(json.at(10)),
            .evacuations = decodeEvacuations(json.at(9)) };
    }

    entry::DomainReport decodeDomainReport(const Json& json)
    {
        return { .coordinator = decodeProcess(json.at(1)),
            .sequence = json.at(2).get<std::uint64_t>(),
            .failureDomain = json.at(3).get<std::string>(),
            .region = json.at(4).get<std::string>(),
            .storeUptime = decodeDuration(json.at(5)),
            .storeContactAge = decodeAge(json.at(14)),
            .servesFeed = json.at(15).get<bool>(),
            .vms = decodeStatuses(json.at(6)),
            .acknowledgedReports = decodeReceivedReports(json.at(10)),
            .accounts = decodeAccounts(json.at(7)),
            .demand = decodeDemand(json.at(8)),
            .mixes = decodeMixes(json.at(16)),
            .inFlight = decodeInFlight(json.at(9)),
            .coldTargets = decodeColdTimes(json.at(11)),
            .namedRates = decodeNamedRates(json.at(13)),
            .evacuations = decodeEvacuations(json.at(12)) };
    }

    entry::Digest decodeDigest(const Json& json)
    {
        entry::Digest out { .coordinator = decodeProcess(json.at(1)),
            .sequence = json.at(2).get<std::uint64_t>(),
            .leaving = json.at(3).get<bool>(),
            .storeUptime = decodeDuration(json.at(4)),
            .storeContactAge = decodeAge(json.at(12)),
            .feed = json.at(14).get<VmId>(),
            .heardFraction = json.at(13).get<double>(),
            .vms = decodeStatuses(json.at(5)),
            .inFlight = decodeInFlight(json.at(7)),
            .coldTargets = decodeColdTimes(json.at(9)),
            .namedRates = decodeNamedRates(json.at(11)),
            .evacuations = decodeEvacuations(json.at(10)) };
        for (const auto& [region, services] : json.at(6).items())
            out.demandByRegion[region] = decodeDemand(services);
        for (const auto& [region, services] : json.at(15).items())
            out.mixesByRegion[region] = decodeMixes(services);
        for (const auto& domain : json.at(8))
            out.domains.push_back(decodeDomainReport(domain));
        return out;
    }

    Result<entry::FleetMessage> decode(const Json& json)
    {
        switch (static_cast<MessageKind>(json.at(0).get<std::uint8_t>())) {
        case MessageKind::VmReport:
            return entry::FleetMessage { decodeReport(json) };
        case MessageKind::DomainReport:
            return entry::FleetMessage { decodeDomainReport(json) };
        case MessageKind::Digest:
            return entry::FleetMessage { decodeDigest(json) };
        case MessageKind::AdmissionRequest:
            return entry::FleetMessage { entry::AdmissionRequest {
                json.at(1).get<std::string>(), json.at(2).get<RequestId>(), json.at(3).get<std::string>() } };
        case MessageKind::AdmissionDecision:
            return entry::FleetMessage { entry::AdmissionDecision {
                json.at(1).get<RequestId>(), json.at(2).get<bool>(), decodeDuration(json.at(3)) } };
        case MessageKind::TokenReturn:
            return entry::FleetMessage { entry::TokenReturn { json.at(1).get<std::string>() } };
        }
        return Error { ErrorCode::Protocol, "message.decode", {}, "message kind " + json.at(0).dump() + " is unknown" };
    }

    /// Reads a message without storing it, and stops where it is nested too deep: reading one takes stack for each
    /// level.
    class NestingCheck : public nlohmann::json_sax<Json> {
    public:
        bool null() override { return true; }
        bool boolean(bool /*value*/) override { return true; }
        bool number_integer(number_integer_t /*value*/) override { return true; }
        bool number_unsigned(number_unsigned_t /*value*/) override { return true; }
        bool number_float(number_float_t /*value*/, const string_t& /*text*/) override { return true; }
        bool string(string_t& /*value*/) override { return true; }
        bool binary(binary_t& /*value*/) override { return false; }
        bool key(string_t& /*value*/) override { return true; }
        bool start_object(std::size_t /*elements*/) override { return ++m_depth <= maxJsonDepth; }
        bool start_array(std::size_t /*elements*/) override { return ++m_depth <= maxJsonDepth; }
        bool end_object() override { return leave(); }
        bool end_array() override { return leave(); }
        bool parse_error(std::size_t /*position*/, const std::string& /*token*/, const Json::exception& error) override
        {
            m_error = error.what();
            return false;
        }
        [[nodiscard]] const std::string& error() const noexcept { return m_error; }

    private:
        bool leave()
        {
            --m_depth;
            return true;
        }

        std::size_t m_depth = 0;
        std::string m_error = "the message is nested too deep or contains binary data";
    };

} // namespace

std::string encodeMessage(const entry::FleetMessage& message)
{
    std::string out;
    Json::to_cbor({ protocolVersion, std::visit([](const auto& it) { return encode(it); }, message) }, out);
    return out;
}

Result<entry::FleetMessage> decodeMessage(std::string_view bytes)
{
    try {
        NestingCheck check;
        if (!Json::sax_parse(bytes.begin(), bytes.end(), &check, Json::input_format_t::cbor))
            return Error { ErrorCode::Protocol, "message.decode", {}, check.error() };
        const auto message = Json::from_cbor(bytes.begin(), bytes.end());
        const auto version = message.at(0).get<int>();
        if (version != protocolVersion)
            return Error { ErrorCode::Protocol, "message.decode", {},
                "protocol version must be " + std::to_string(protocolVersion) + ", found " + std::to_string(version) };
        return decode(message.at(1));
    } catch (const Json::exception& ec) {
        return Error { ErrorCode::Protocol, "message.decode", {}, ec.what() };
    }
}

namespace {

    struct ToEvent {
        entry::EntryEvent operator()(entry::VmReport it) const { return entry::VmReportReceived { std::move(it) }; }
        entry::EntryEvent operator()(entry::DomainReport it) const
        {
            return entry::DomainReportReceived { std::move(it) };
        }
        entry::EntryEvent operator()(entry::Digest it) const { return entry::DigestReceived { std::move(it) }; }
        entry::EntryEvent operator()(entry::AdmissionRequest it) const
        {
            return entry::AdmissionRequestReceived { std::move(it) };
        }
        entry::EntryEvent operator()(entry::AdmissionDecision it) const
        {
            return entry::AdmissionDecisionReceived { it };
        }
        entry::EntryEvent operator()(entry::TokenReturn it) const
        {
            return entry::TokenReturnReceived { std::move(it) };
        }
    };

} // namespace

entry::EntryEvent toEvent(entry::FleetMessage message) { return std::visit(ToEvent {}, std::move(message)); }

} // namespace arbutuscrank::node
