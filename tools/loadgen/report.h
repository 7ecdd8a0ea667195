// Table and JSON of a load run.
#pragma once

#include "audit.h"

#include <nlohmann/json.hpp>

namespace LoadGen {

/// Counts and response times in ms per kind, and the audit.
nlohmann::json makeReport(const std::vector<RequestRecord> &records, const Audit &audit);
std::string formatTable(const nlohmann::json &report);

} // namespace LoadGen
