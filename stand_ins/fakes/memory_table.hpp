// The platform's table in memory, shared by the platform stand-in and the tests.
#pragma once

#include "plantaindoor/common/table.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace plantaindoor::fakes {

/// Versioned rows; transactions are applied immediately. Not synchronised.
class memory_table {
public:
    [[nodiscard]] std::vector<table_row> read(const std::vector<std::string>& keys) const
    {
        std::vector<table_row> rows;
        for (const std::string& key : keys) {
            if (const auto found = m_rows.find(key); found != m_rows.end()) {
                rows.push_back(found->second);
            }
        }
        return rows;
    }

    [[nodiscard]] std::vector<table_row> scan(const scan_options& options) const
    {
        std::vector<table_row> rows;
        auto row = options.after.empty() || options.after < options.prefix
                       ? m_rows.lower_bound(options.prefix)
                       : m_rows.upper_bound(options.after);
        for (; row != m_rows.end() && rows.size() < options.limit; ++row) {
            if (!row->first.starts_with(options.prefix)) {
                break;
            }
            rows.push_back(row->second);
        }
        return rows;
    }

    transact_result transact(const table_transaction& transaction)
    {
        for (const row_condition& condition : transaction.conditions) {
            if (version_of(condition.key) != condition.version) {
                return {.outcome = transact_outcome::conflict, .present = present(transaction)};
            }
        }
        ++m_version;
        for (const row_write& write : transaction.writes) {
            if (write.value) {
                m_rows.insert_or_assign(write.key, table_row{write.key, *write.value, m_version});
            }
            else {
                m_rows.erase(write.key);
            }
        }
        return {.outcome = transact_outcome::applied, .version = m_version};
    }

private:
    [[nodiscard]] row_version version_of(const std::string& key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? absent_row : found->second.version;
    }

    [[nodiscard]] std::vector<table_row> present(const table_transaction& transaction) const
    {
        std::vector<std::string> keys;
        for (const row_condition& condition : transaction.conditions) {
            keys.push_back(condition.key);
        }
        return read(keys);
    }

    std::map<std::string, table_row> m_rows;
    row_version m_version = 0;
};

} // namespace plantaindoor::fakes
