#include "cli/check_command.hpp"

#include <arbutuscrank/config.hpp>

#include <nlohmann/json.hpp>

#include <ostream>

namespace arbutuscrank {

namespace {

    using Json = nlohmann::json;

    struct CheckReport {
        std::vector<Fault> errors;
        std::vector<Fault> warnings;
        std::vector<Difference> differences;
    };

    ParsedDocument parseInForce(std::string_view text)
    {
        const auto tree = Json::parse(text, nullptr, false);
        const bool isShown = tree.is_object() && tree.contains("document");
        return parseDocument(isShown ? tree["document"].dump() : std::string(text));
    }

    CheckReport makeReport(std::string_view text, std::optional<std::string_view> inForce)
    {
        CheckReport report;
        auto parsed = parseDocument(text);
        if (auto* faults = std::get_if<std::vector<Fault>>(&parsed))
            report.errors = std::move(*faults);
        const auto* document = std::get_if<Document>(&parsed);
        if (document)
            report.warnings = advise(*document);
        if (!inForce)
            return report;
        const auto before = parseInForce(*inForce);
        if (const auto* faults = std::get_if<std::vector<Fault>>(&before)) {
            for (const auto& it : *faults)
                report.errors.push_back({ "in force: " + it.path, it.limit, it.found });
        } else if (document) {
            report.differences = diffDocuments(std::get<Document>(before), *document);
        }
        return report;
    }

    Json toJson(const std::vector<Fault>& faults)
    {
        auto list = Json::array();
        for (const auto& it : faults)
            list.push_back({ { "path", it.path }, { "limit", it.limit }, { "found", it.found } });
        return list;
    }

    void printJson(const CheckReport& report, std::ostream& out)
    {
        auto differences = Json::array();
        for (const auto& it : report.differences)
            differences.push_back({ { "path", it.path }, { "before", it.before }, { "after", it.after } });
        const Json tree { { "errors", toJson(report.errors) }, { "warnings", toJson(report.warnings) },
            { "differences", std::move(differences) } };
        out << tree.dump(2, ' ', false, Json::error_handler_t::replace) << '\n';
    }

    void printText(const CheckReport& report, std::ostream& out)
    {
        for (const auto& it : report.errors)
            out << "error: " << it.path << ": expected " << it.limit << ", found " << it.found << '\n';
        for (const auto& it : report.warnings)
            out << "warning: " << it.path << ": expected " << it.limit << ", found " << it.found << '\n';
        for (const auto& it : report.differences)
            out << "change: " << it.path << ": " << (it.before.empty() ? "(none)" : it.before) << " -> "
                << (it.after.empty() ? "(none)" : it.after) << '\n';
        out << report.errors.size() << " errors, " << report.warnings.size() << " warnings, "
            << report.differences.size() << " changes\n";
    }

} // namespace

ExitCode checkDocuments(
    std::string_view text, std::optional<std::string_view> inForce, const CheckOptions& options, std::ostream& out)
{
    const auto report = makeReport(text, inForce);
    if (options.json)
        printJson(report, out);
    else
        printText(report, out);
    if (!report.errors.empty())
        return ExitCode::CheckErrors;
    return options.strict && !report.warnings.empty() ? ExitCode::CheckWarnings : ExitCode::Success;
}

} // namespace arbutuscrank
