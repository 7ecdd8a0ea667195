// The platform's table, object store and membership list over HTTP.
#pragma once

#include <http/client.h>
#include <kernel/service.h>
#include <settings/runtime.h>
#include <storage/membershipsource.h>
#include <storage/table.h>

#include <memory>

namespace PlatformClient {

/// Implements the platform protocol of docs/protocols.md. Its only state is requests in progress.
class PlatformClientService : public Kernel::Service,
                              public Storage::Table,
                              public Storage::ObjectStore,
                              public Storage::MembershipSource
{
public:
    explicit PlatformClientService(const Settings::Runtime &runtime);

    absl::Status start(const Kernel::ServiceRegistry &registry) override;

    void read(std::string_view key, ReadCallback callback) override;
    void compareAndSet(Storage::ConditionalWrite write, WriteCallback callback) override;
    void get(std::string_view key, GetCallback callback) override;
    void put(std::string_view key, std::string body, PutCallback callback) override;
    void fetchHosts(Callback callback) override;

private:
    Http::ClientRequest makeRequest(std::string_view method, std::string_view path) const;

    const Settings::DaemonSettings &m_settings;
    Http::Client m_client;
};

} // namespace PlatformClient
