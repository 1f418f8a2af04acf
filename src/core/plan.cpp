#include <arbutuscrank/core/plan.hpp>

#include <nlohmann/json.hpp>

namespace arbutuscrank {

namespace {

    std::optional<ShiftProgress> progressFromJson(const nlohmann::json& tree)
    {
        if (!tree.is_object())
            return std::nullopt;
        for (const auto* name : { "service", "from", "to" }) {
            if (!tree.contains(name) || !tree[name].is_string())
                return std::nullopt;
        }
        const auto percent = tree.find("percent");
        if (percent == tree.end() || !percent->is_number())
            return std::nullopt;
        const auto value = percent->get<double>();
        if (!(value >= 0 && value <= 100))
            return std::nullopt;
        return ShiftProgress { tree["service"].get<std::string>(), tree["from"].get<std::string>(),
            tree["to"].get<std::string>(), value };
    }

} // namespace

std::string planToJson(const Plan& plan)
{
    auto shifts = nlohmann::json::object();
    for (const auto& [name, it] : plan.shifts)
        shifts[name] = { { "service", it.service }, { "from", it.from }, { "to", it.to }, { "percent", it.percent } };
    return nlohmann::json {
        { "version", plan.version }, { "manifestVersion", plan.manifestVersion }, { "weights", plan.weights },
        { "shifts", shifts }
    }.dump();
}

std::optional<Plan> planFromJson(std::string_view json)
{
    const auto tree = nlohmann::json::parse(json, nullptr, false);
    if (!tree.is_object())
        return std::nullopt;
    const auto version = tree.find("version");
    const auto manifestVersion = tree.find("manifestVersion");
    const auto weights = tree.find("weights");
    const auto shifts = tree.find("shifts");
    if (version == tree.end() || !version->is_number_unsigned() || manifestVersion == tree.end()
        || !manifestVersion->is_number_unsigned() || weights == tree.end() || !weights->is_object()
        || shifts == tree.end() || !shifts->is_object())
        return std::nullopt;
    Plan plan;
    plan.manifestVersion = manifestVersion->get<std::uint64_t>();
    plan.version = version->get<std::uint64_t>();
    for (const auto& [service, regions] : weights->items()) {
        if (!regions.is_object())
            return std::nullopt;
        for (const auto& [region, weight] : regions.items()) {
            if (!weight.is_number_unsigned())
                return std::nullopt;
            plan.weights[service][region] = weight.get<std::uint32_t>();
        }
    }
    for (const auto& [name, it] : shifts->items()) {
        const auto progress = progressFromJson(it);
        if (!progress)
            return std::nullopt;
        plan.shifts[name] = *progress;
    }
    return plan;
}

} // namespace arbutuscrank
