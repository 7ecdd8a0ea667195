// Checks references between the parts of a manifest.
#pragma once

#include "manifest.h"

#include <nlohmann/json_fwd.hpp>
#include <settings/faultlist.h>

namespace Manifest::Internal {

/// Parts that were read without a fault. References into a faulty part are not checked, since they
/// would be reported as unknown.
struct ReadParts
{
    bool domains = false;
    bool upstreams = false;
};

/// Checks that the groups and domains that \a manifest names exist, that no two upstreams share a
/// URL, and that each kind fits an upstream in every domain that has upstreams of its groups.
/// \a document is the JSON source of \a manifest and supplies the paths of faults. Skips items
/// without a valid id, which have already been reported.
void checkReferences(const nlohmann::json &document, const Manifest &manifest,
                     const ReadParts &parts, Settings::FaultList &faults);

} // namespace Manifest::Internal
