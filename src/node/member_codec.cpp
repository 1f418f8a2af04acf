#include "node/member_codec.hpp"

#include <nlohmann/json.hpp>

namespace arbutuscrank::node {

namespace {

    /// Start of the names of evacuation records.
    constexpr std::string_view evacuationPrefix = "evacuation.";

} // namespace

StoreObject encodeMember(const entry::MemberRecord& member)
{
    const nlohmann::json body {
        { "region", member.region },
        { "failureDomain", member.failureDomain },
        { "callerAddress", member.callerAddress },
        { "reportAddress", member.reportAddress },
        { "capacity", member.capacity },
    };
    return { .name = member.process.vm, .body = body.dump() };
}

Result<entry::MemberRecord> decodeMember(const StoreObject& object)
{
    try {
        const auto body = nlohmann::json::parse(object.body);
        return entry::MemberRecord {
            .process = { object.name, 0 },
            .region = body.at("region").get<std::string>(),
            .failureDomain = body.at("failureDomain").get<std::string>(),
            .callerAddress = body.at("callerAddress").get<std::string>(),
            .reportAddress = body.at("reportAddress").get<std::string>(),
            .capacity = body.value("capacity", 0.0),
        };
    } catch (const nlohmann::json::exception& ec) {
        return Error { ErrorCode::Protocol, "member.decode", object.name, ec.what() };
    }
}

StoreObject encodeEvacuationRecord(std::string_view failureDomain)
{
    const nlohmann::json body { { "evacuatedFailureDomain", failureDomain } };
    return { .name = std::string(evacuationPrefix) + std::string(failureDomain), .body = body.dump() };
}

std::optional<std::string> recordedEvacuation(const StoreObject& object)
{
    if (!object.name.starts_with(evacuationPrefix))
        return std::nullopt;
    return object.name.substr(evacuationPrefix.size());
}

} // namespace arbutuscrank::node
