// Collects faults and combines them into one status.
#include "faultlist.h"

#include <utility>

namespace Settings {

void FaultList::add(std::string path, Base::FailureCode code, std::string message)
{
    m_faults.push_back({std::move(path), code, std::move(message)});
}

absl::Status FaultList::status() const
{
    if (m_faults.empty())
        return absl::OkStatus();
    std::string text;
    for (const Fault &it : m_faults) {
        if (!text.empty())
            text += "; ";
        // An empty JSON pointer refers to the whole document.
        if (!it.path.empty())
            text += it.path + ": ";
        text += it.message;
    }
    return Base::makeFailure(m_faults.front().code, text);
}

} // namespace Settings
