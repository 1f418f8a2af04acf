#include "config/checks.hpp"
#include "config/fields.hpp"

namespace arbutuscrank::config {

namespace {

    /// \brief Visitor of `visitFields` that checks formats, ranges and numbers of elements.
    class LimitChecker {
    public:
        LimitChecker(const Path& path, FaultList& faults)
            : m_path(path)
            , m_faults(faults)
        {
        }

        void text(std::string_view name, const std::string& value, Format format)
        {
            checkFormat(value, format, m_path.field(name));
        }

        void texts(std::string_view name, const std::vector<std::string>& values, Format format, std::size_t most)
        {
            const auto path = m_path.field(name);
            checkCount(values.size(), most, path);
            for (std::size_t n = 0; n < values.size(); ++n)
                checkFormat(values[n], format, path.element(n));
        }

        template <typename T> void list(std::string_view name, const std::vector<T>& values, std::size_t most)
        {
            const auto path = m_path.field(name);
            checkCount(values.size(), most, path);
            for (std::size_t n = 0; n < values.size(); ++n) {
                const auto elementPath = path.element(n);
                LimitChecker checker(elementPath, m_faults);
                visitFields(values[n], checker);
            }
        }

        template <typename T> void object(std::string_view name, const T& value)
        {
            const auto path = m_path.field(name);
            LimitChecker checker(path, m_faults);
            visitFields(value, checker);
        }

        template <typename T> void number(std::string_view name, T value, const limits::Range& range)
        {
            const auto n = static_cast<double>(value);
            // Written so that "not a number" is outside every range.
            if (!(n >= range.low && n <= range.high))
                m_faults.add(m_path.field(name), describe(range), formatNumber(n));
        }

        void flag(std::string_view /*name*/, bool /*value*/) { }

        void kind(std::string_view name, DrainKind value)
        {
            if (value < DrainKind::Target || value > DrainKind::Site)
                m_faults.add(m_path.field(name), "a kind of drain", std::to_string(static_cast<int>(value)));
        }

    private:
        void checkFormat(std::string_view value, Format format, const Path& path)
        {
            if (!hasFormat(value, format))
                m_faults.add(path, std::string(describe(format)), quote(value));
        }

        void checkCount(std::size_t count, std::size_t most, const Path& path)
        {
            if (count > most)
                m_faults.add(path, "at most " + std::to_string(most) + " elements", std::to_string(count));
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
