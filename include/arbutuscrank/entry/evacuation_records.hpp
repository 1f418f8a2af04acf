#pragma once

#include <arbutuscrank/core/types.hpp>

#include <map>
#include <set>
#include <string>

/// \file
/// \brief Records of evacuations in the store, which outlive all processes.
///
/// The targets of a failure domain may be cold when its evacuation ends. VMs that start just afterwards have not seen
/// the evacuation, and the targets' own entries may not say yet that they are cold. A coordinator therefore records
/// each evacuation in the store, and removes the record once targets that were cold at its end are warm.

namespace arbutuscrank::entry {

/// \brief What an entry VM knows of the records of evacuations.
struct EvacuationRecords {
    /// Interval at which a change of a record is requested until the store shows it.
    static constexpr Duration requestInterval = std::chrono::seconds(2);

    std::set<std::string> failureDomains; ///< failure domains with a record in the store
    /// Failure domains that had a record in the store's earlier era. One that the store has lost is written again while
    /// targets may be cold.
    std::set<std::string> ofEarlierEra;
    /// End of the evacuation of each failure domain with a record that is no longer evacuated. A VM that has not seen
    /// the end uses the time at which it learned of the record.
    std::map<std::string, TimePoint> endedAt;
    std::map<std::string, TimePoint> additionRequestedAt; ///< newest request to add a record, by failure domain
    std::map<std::string, TimePoint> removalRequestedAt; ///< newest request to remove a record, by failure domain
};

} // namespace arbutuscrank::entry
