// Faults found in a settings file or manifest, collected so that all are reported at once.
#pragma once

#include <absl/status/status.h>
#include <base/failure.h>

#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// One fault and its location.
struct Fault
{
    std::string path; // JSON pointer such as /kinds/2/deadlineMs
    Base::FailureCode code = Base::FailureCode::InvalidSettings;
    std::string message; // what is wrong and what is expected
};

/// Faults in the order in which they were found.
class FaultList
{
public:
    void add(std::string path, Base::FailureCode code, std::string message);

    bool isEmpty() const { return m_faults.empty(); }
    const std::vector<Fault> &faults() const { return m_faults; }
    /// OK if empty; else a failure with the first fault's code and a message that lists all faults.
    absl::Status status() const;

private:
    std::vector<Fault> m_faults;
};

} // namespace Settings
