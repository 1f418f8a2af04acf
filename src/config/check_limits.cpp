#include "config/checks.hpp"
#include "config/fields.hpp"

namespace arbutuscrank::config {

namespace {

    /// \brief Visitor for visitFields() that checks the format, range or number of elements of each field.
    class LimitChecker {
    public:
        LimitChecker(const Path& path, FaultList& faults)
            : m_path(path)
            , m_faults(faults)
        {
        }

        void visitText(std::string_view name, const std::string& value, Format format)
        {
            checkFormat(value, format, m_path.field(name));
        }

        void visitTexts(
            std::string_view name, const std::vector<std::string>& values, Format format, std::size_t maxElements)
        {
            const auto path = m_path.field(name);
            checkCount(values.size(), maxElements, path);
            for (std::size_t n = 0; n < values.size(); ++n)
                checkFormat(values[n], format, path.element(n));
        }

        template <typename T>
        void visitList(std::string_view name, const std::vector<T>& values, std::size_t maxElements)
        {
            const auto path = m_path.field(name);
            checkCount(values.size(), maxElements, path);
            for (std::size_t n = 0; n < values.size(); ++n) {
                const auto elementPath = path.element(n);
                LimitChecker checker(elementPath, m_faults);
                visitFields(values[n], checker);
            }
        }

        template <typename T> void visitObject(std::string_view name, const T& value)
        {
            const auto path = m_path.field(name);
            LimitChecker checker(path, m_faults);
            visitFields(value, checker);
        }

        template <typename T> void visitNumber(std::string_view name, T value, const limits::Range& range)
        {
            const auto n = static_cast<double>(value);
            // The negated condition also reports NaN, for which every comparison is false.
            if (!(n >= range.minimum && n <= range.maximum))
                m_faults.add(m_path.field(name), describe(range), formatNumber(n));
        }

        void visitFlag(std::string_view /*name*/, bool /*value*/) { }

        void visitKind(std::string_view name, DrainKind value)
        {
            if (value < DrainKind::Target || value > DrainKind::Site)
                m_faults.add(m_path.field(name), "a drain kind from 0 to 4", std::to_string(static_cast<int>(value)));
        }

    private:
        void checkFormat(std::string_view value, Format format, const Path& path)
        {
            if (!hasFormat(value, format))
                m_faults.add(path, std::string(describe(format)), quote(value));
        }

        void checkCount(std::size_t count, std::size_t maxElements, const Path& path)
        {
            if (count > maxElements)
                m_faults.add(path, "at most " + std::to_string(maxElements) + " elements", std::to_string(count));
        }

        const Path& m_path;
        FaultList& m_faults;
    };

} // namespace

void checkLimits(const Document& document, FaultList& faults)
{
    const Path root;
    LimitChecker checker(root, faults);
    visitFields(document, checker);
}

} // namespace arbutuscrank::config
