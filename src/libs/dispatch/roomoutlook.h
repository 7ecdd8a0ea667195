// What one executor will have free, judged by the expected ends of its runs.
#pragma once

#include "executorstate.h"

#include <optional>
#include <vector>

namespace Dispatch {

/// A copy as of one moment. Runs that are overdue are expected to take somewhat longer still, and
/// never to have ended already: their resources are free only once their end is listed.
class RoomOutlook
{
public:
    RoomOutlook(const ExecutorState &executor, Base::TimePoint now);

    /// Resources that are certainly free now.
    const Resources &room() const { return m_room; }
    /// Resources that are expected to be free at \a time if nothing else is started.
    Resources roomAt(Base::TimePoint time) const;
    /// When \a shape is expected to fit if nothing else is started. No value if it exceeds the
    /// capacity, or if a run there is not known well enough.
    std::optional<Base::TimePoint> fitsFrom(const Resources &shape) const;

    /// A task is started that is expected to run until \a end.
    void add(const Resources &shape, Base::TimePoint end);
    /// The executor gets no other tasks: one that has to run alone is there, or it is kept free for
    /// it.
    void setAlone()
    {
        m_room = {};
        m_isPlannable = false;
    }

private:
    struct Occupied
    {
        Base::TimePoint until;
        Resources shape;
    };

    Base::TimePoint m_now;
    Resources m_capacity;
    Resources m_room;
    std::vector<Occupied> m_runs; // by ascending end
    /// Nothing can be started although resources are free: orders to the executor are restricted.
    bool m_isHeldUp = false;
    bool m_isPlannable = true; // the shapes of all runs are known
};

} // namespace Dispatch
