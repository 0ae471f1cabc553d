// The platform over HTTP and JSON: one small adapter for each of its interfaces.
#pragma once

#include "plantaindoor/common/platform.hpp"
#include "plantaindoor/common/table.hpp"
#include "plantaindoor/connection/http_client.hpp"
#include "plantaindoor/connection/traffic_meter.hpp"

#include <memory>
#include <string>
#include <vector>

namespace plantaindoor::connection {

struct platform_options {
    endpoint at;
    /// After this long a call counts as unanswered.
    milliseconds timeout{2000};
    /// Counts what each part's calls cost; may be null, else it must outlive the adapters.
    traffic_meter* traffic = nullptr;
};

/// The table service. A transaction whose request may have arrived and whose reply is not
/// understood is reported as unknown. Loop thread only; the client must outlive it.
class http_table final : public table {
public:
    http_table(http_client& client, platform_options options);

    void read(std::vector<std::string> keys, read_callback done) override;
    void scan(scan_options options, read_callback done) override;
    void transact(table_transaction transaction, transact_callback done) override;

private:
    http_client& m_client;
    platform_options m_options;
};

/// The instance list and reboots. Where the platform gives the list an entity tag, an unchanged
/// list is not sent again: the platform is asked at each reading, and says that nothing changed.
/// Loop thread only; the client must outlive it.
class http_instances final : public instance_list, public instance_control {
public:
    http_instances(http_client& client, platform_options options);

    void list(list_callback done) override;
    void reboot(const instance_id& instance, const operation_guard& guard,
                operation_callback done) override;
    void boot_count(const instance_id& instance,
                    std::function<void(std::optional<std::uint64_t>)> done) override;

private:
    struct tagged_list {
        std::string tag;
        std::vector<listed_instance> lines;
    };

    http_client& m_client;
    platform_options m_options;
    struct list_memory {
        std::shared_ptr<const tagged_list> newest;
    };

    /// The newest list that had a tag; shared with calls under way.
    std::shared_ptr<list_memory> m_memory = std::make_shared<list_memory>();
};

/// Tasks on workers. Loop thread only; the client must outlive it.
class http_tasks final : public task_control {
public:
    http_tasks(http_client& client, platform_options options);

    void command(const task_command& command, const operation_guard& guard,
                 operation_callback done) override;
    void reports(report_callback done) override;

private:
    http_client& m_client;
    platform_options m_options;
};

/// The object store. Loop thread only; the client must outlive it.
class http_objects final : public object_store {
public:
    http_objects(http_client& client, platform_options options);

    void put(std::string name, std::string bytes, std::function<void(bool)> done) override;
    void get(std::string name, std::function<void(std::optional<std::string>)> done) override;
    void remove(std::string name, std::function<void(bool)> done) override;

private:
    http_client& m_client;
    platform_options m_options;
};

} // namespace plantaindoor::connection
