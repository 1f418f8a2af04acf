#pragma once

#include <arbutuscrank/config/codec.hpp>
#include <arbutuscrank/config/validate.hpp>

#include <vector>

/// \file
/// \brief Findings in a valid document that probably are mistakes. They do not prevent its use.

namespace arbutuscrank {

/// \brief Lists entries that can never take effect, and limits that contradict each other.
///
/// The document has neither durations of requests nor latency objectives, so that quotas are not compared with what
/// targets can run.
/// \param document a valid document
/// \returns the findings, with the value that would have an effect as limit; empty if there are none. Paths have names
/// in place of indexes, as in \ref Difference, because parsing sorts the lists.
[[nodiscard]] std::vector<Fault> advise(const Document& document);

} // namespace arbutuscrank
