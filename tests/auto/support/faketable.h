// A transactional table in memory with the faults of the real one. Each simulated process has its
// own client.
#pragma once

#include "manualtimers.h"

#include <base/failure.h>
#include <storage/table.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace TestSupport {

/// What happens to one access.
enum class TableFault {
    None,
    Unavailable, ///< Reported as platformUnavailable, certainly without effect.
    LostBefore,  ///< A write is lost; reported as fateUnknown.
    LostAfter,   ///< A write takes effect; reported as fateUnknown.
    Delayed,     ///< A write is reported as fateUnknown and takes effect after delayedEffect.
};

class FakeTable
{
public:
    explicit FakeTable(ManualTimers &clockOfTest)
        : clock(clockOfTest)
    {}

    Storage::Row row(const std::string &key) const
    {
        const auto it = m_rows.find(key);
        return it == m_rows.end() ? Storage::Row() : it->second;
    }

    absl::Status apply(const Storage::ConditionalWrite &write, std::uint64_t &version)
    {
        if (const auto done = m_transactions.find(write.transaction);
            done != m_transactions.end()) {
            version = done->second;
            return absl::OkStatus();
        }
        const Storage::Row before = row(write.key);
        if (before.version != write.expectedVersion)
            return Base::makeFailure(Base::FailureCode::VersionMismatch, "fake");
        version = before.version + 1;
        m_rows[write.key] = {write.value, version, write.transaction};
        m_transactions[write.transaction] = version;
        if (rowChanged)
            rowChanged(write.key, before, m_rows[write.key]);
        return absl::OkStatus();
    }

    ManualTimers &clock;
    bool down = false;
    Base::Duration latency = std::chrono::milliseconds(4);   // there and back
    Base::Duration timeout = std::chrono::milliseconds(500); // until fateUnknown is reported
    Base::Duration delayedEffect = std::chrono::seconds(5);
    /// Asked for each access without a scripted fault.
    std::function<TableFault()> chooseFault;
    std::function<void(const std::string &key, const Storage::Row &before,
                       const Storage::Row &after)>
        rowChanged;
    std::uint64_t readCount = 0;
    std::uint64_t writeCount = 0;

private:
    std::map<std::string, Storage::Row> m_rows;
    std::map<std::string, std::uint64_t> m_transactions;
};

/// Requests travel on the clock of the test, so that they take effect even if the process dies;
/// replies arrive through the timers of the process.
class FakeTableClient : public Storage::Table
{
public:
    FakeTableClient(FakeTable &table, Base::Timers &timers)
        : m_table(table)
        , m_timers(timers)
    {}

    /// Scripts the fates of the next writes.
    void scriptWrites(std::initializer_list<TableFault> faults) { m_script.assign(faults); }

    void read(std::string_view key, ReadCallback callback) override
    {
        ++m_table.readCount;
        const bool fails =
            down || (m_table.chooseFault && m_table.chooseFault() != TableFault::None);
        arrive([this, fails, name = std::string(key), callback = std::move(callback)](auto alive) {
            if (alive.expired())
                return;
            const bool unavailable = fails || m_table.down;
            reply(m_table.latency / 2, [unavailable, row = m_table.row(name), callback] {
                callback(unavailable ? unavailableStatus() : absl::OkStatus(),
                         unavailable ? Storage::Row() : row);
            });
        });
    }

    void compareAndSet(Storage::ConditionalWrite write, WriteCallback callback) override
    {
        ++m_table.writeCount;
        TableFault fault = m_table.chooseFault ? m_table.chooseFault() : TableFault::None;
        if (!m_script.empty()) {
            fault = m_script.front();
            m_script.pop_front();
        }
        if (down)
            fault = TableFault::Unavailable;
        FakeTable *table = &m_table;
        arrive([=, this](auto alive) {
            std::uint64_t version = 0;
            absl::Status status = unavailableStatus();
            Base::Duration delay = table->latency / 2;
            if (fault == TableFault::None && !table->down)
                status = table->apply(write, version);
            if (fault == TableFault::LostAfter)
                table->apply(write, version).IgnoreError();
            if (fault == TableFault::Delayed) {
                table->clock.schedule(table->delayedEffect, [table, write] {
                    std::uint64_t ignored = 0;
                    table->apply(write, ignored).IgnoreError();
                });
            }
            if (fault != TableFault::None && fault != TableFault::Unavailable) {
                status = Base::makeFailure(Base::FailureCode::FateUnknown, "fake");
                delay = table->timeout;
            }
            if (!alive.expired())
                reply(delay, [=] { callback(status, version); });
        });
    }

    bool down = false; // this process can't reach the table

private:
    static absl::Status unavailableStatus()
    {
        return Base::makeFailure(Base::FailureCode::PlatformUnavailable, "fake");
    }

    void arrive(std::function<void(std::weak_ptr<bool>)> effect)
    {
        m_table.clock.schedule(
            m_table.latency / 2,
            [effect = std::move(effect), alive = std::weak_ptr(m_alive)] { effect(alive); });
    }

    void reply(Base::Duration delay, std::function<void()> callback)
    {
        m_timers.schedule(delay, std::move(callback));
    }

    FakeTable &m_table;
    Base::Timers &m_timers;
    std::deque<TableFault> m_script;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true); // expires with the process
};

} // namespace TestSupport
