// The platform's object store in memory; replies are posted to the loop.
#pragma once

#include "plantaindoor/common/event_loop.hpp"
#include "plantaindoor/common/platform.hpp"

#include <map>
#include <string>
#include <utility>

namespace plantaindoor::fakes {

/// The loop must outlive this object.
class memory_store final : public object_store {
public:
    explicit memory_store(event_loop& loop) : m_loop(loop) {}

    std::map<std::string, std::string> objects;

    void put(std::string name, std::string bytes, std::function<void(bool)> done) override
    {
        objects.insert_or_assign(std::move(name), std::move(bytes));
        m_loop.post([done = std::move(done)] { done(true); });
    }

    void get(std::string name, std::function<void(std::optional<std::string>)> done) override
    {
        const auto found = objects.find(name);
        std::optional<std::string> bytes;
        if (found != objects.end()) {
            bytes = found->second;
        }
        m_loop.post([done = std::move(done), bytes = std::move(bytes)] { done(bytes); });
    }

    void remove(std::string name, std::function<void(bool)> done) override
    {
        objects.erase(name);
        m_loop.post([done = std::move(done)] { done(true); });
    }

private:
    event_loop& m_loop;
};

} // namespace plantaindoor::fakes
