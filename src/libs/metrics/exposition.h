// Building blocks of the Prometheus text format.
#pragma once

#include "metricsregistry.h"

#include <string>
#include <string_view>

namespace Metrics::Internal {

/// Whether \a name is allowed as the name of a metric.
bool isMetricName(std::string_view name);

/// The HELP and TYPE lines of a metric.
void appendHeader(std::string &out, std::string_view name, std::string_view help,
                  std::string_view type);
/// One sample line. \a bound is the value of the label "le"; empty if there is none.
void appendSample(std::string &out, std::string_view name, const Labels &labels,
                  std::string_view bound, std::string_view value);

std::string numberText(double value);

/// \a value cut to the bound on label values, between characters.
std::string boundedLabelValue(const std::string &value);

} // namespace Metrics::Internal
