// Building blocks of the Prometheus text format.
#pragma once

#include "metricsregistry.h"

#include <string>
#include <string_view>

namespace Metrics::Internal {

/// Whether \a name is a valid name of a metric.
bool isMetricName(std::string_view name);

/// Appends the HELP and TYPE lines of a metric.
void appendHeader(std::string &out, std::string_view name, std::string_view help,
                  std::string_view type);
/// Appends a sample line. \a bound is the value of the label "le"; empty if there is none.
void appendSample(std::string &out, std::string_view name, const Labels &labels,
                  std::string_view bound, std::string_view value);

std::string numberText(double value);

/// \a value truncated to Constants::MAX_LABEL_VALUE_BYTES, between characters.
std::string truncatedLabelValue(const std::string &value);

} // namespace Metrics::Internal
