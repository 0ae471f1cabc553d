// Runs a clean-up when its scope ends, whichever way it ends.
#pragma once

#include <utility>

namespace plantaindoor {

/// Calls its action at the end of the scope unless dismissed. The action must not throw.
template<class Action>
class scope_guard {
public:
    explicit scope_guard(Action action) : m_action(std::move(action)) {}
    scope_guard(const scope_guard&) = delete;
    scope_guard& operator=(const scope_guard&) = delete;
    ~scope_guard()
    {
        if (m_armed) {
            m_action();
        }
    }

    /// Keeps the action from running.
    void dismiss() noexcept { m_armed = false; }

private:
    Action m_action;
    bool m_armed = true;
};

} // namespace plantaindoor
