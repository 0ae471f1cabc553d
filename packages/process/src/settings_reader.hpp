// The one layer through which settings are read: a typed constant in, a checked value out. Faults
// are gathered rather than thrown, so that all are reported at once.
#pragma once

#include "plantaindoor/process/settings.hpp"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantaindoor::process {

/// One setting: its path, its default (none: the key is required), and the bounds of a number.
template<class T>
struct setting {
    std::string_view path;
    std::optional<T> fallback;
    std::uint64_t least = 0;
    std::uint64_t most = std::numeric_limits<std::uint64_t>::max();
};

/// Reads one document. Not synchronised.
class settings_reader {
public:
    settings_reader(const YAML::Node& root, std::string file);

    /// The setting's value; its default, or a default-made value, where it is absent or faulty.
    template<class T>
    [[nodiscard]] T get(const setting<T>& wanted);
    /// A list of values that may be absent.
    [[nodiscard]] std::vector<endpoint> get_list(const setting<endpoint>& wanted);

    /// Records a fault at a setting, found by comparing it with others.
    void fault(std::string_view path, std::string value, std::string expected);
    /// Records a fault for each key that no get() asked for, and for each key given twice.
    void check_keys();
    [[nodiscard]] const std::vector<settings_fault>& faults() const { return m_faults; }

private:
    [[nodiscard]] YAML::Node find(std::string_view path);
    void fault_at(const YAML::Node& node, std::string_view path, std::string expected);
    void check_keys_of(const YAML::Node& map, const std::string& prefix);

    YAML::Node m_root;
    std::string m_file;
    /// Paths that were asked for, with those of the maps above them.
    std::set<std::string, std::less<>> m_known;
    std::vector<settings_fault> m_faults;
};

} // namespace plantaindoor::process
